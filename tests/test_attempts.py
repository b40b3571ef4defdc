import pytest

from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.sidecar.attempts import AttemptKey, AttemptTable, KeptAnswer

KEY = AttemptKey("dealer-1", "k")


class TestAttemptTable:
    def test_attempt_starts_once(self):
        table = AttemptTable()
        table.start(KEY, 1, 100.0, 0.0)
        with pytest.raises(RequestError) as caught:
            table.start(KEY, 1, 100.0, 0.0)
        assert caught.value.code == ResultCode.IN_PROGRESS

    def test_tombstone_refuses_a_late_dispatch(self):
        table = AttemptTable()
        assert table.resolve(KEY, 1, 100.0).state == "tombstone"
        with pytest.raises(RequestError) as caught:
            table.start(KEY, 1, 100.0, 0.0)
        assert caught.value.code == ResultCode.ATTEMPT_TOMBSTONED
        table.start(KEY, 2, 100.0, 0.0)

    def test_next_attempt_does_not_start_after_one_that_started(self):
        table = AttemptTable()
        table.start(KEY, 1, 100.0, 0.0)
        with pytest.raises(RequestError):
            table.start(KEY, 2, 100.0, 0.0)

    def test_expired_is_refused_as_not_run(self):
        with pytest.raises(RequestError) as caught:
            AttemptTable().start(KEY, 1, 5.0, 6.0)
        assert caught.value.code == ResultCode.REQUEST_EXPIRED

    def test_kept_bytes_are_bounded(self):
        table = AttemptTable(max_kept_bytes=10)
        for number in range(3):
            key = AttemptKey("a", str(number))
            attempt = table.start(key, 1, 100.0, 0.0)
            table.finish(attempt, KeptAnswer(200, (), "", b"12345678"))
        assert table.kept_bytes == 8

    def test_no_attempt_starts_after_a_lost_one(self):
        # Guards against starting an attempt after one that may have run.
        table = AttemptTable()
        table.start(KEY, 1, 100.0, 0.0).fire("lose")
        with pytest.raises(RequestError) as caught:
            table.start(KEY, 2, 100.0, 0.0)
        assert caught.value.code == ResultCode.IN_PROGRESS

    def test_expiry_is_never_shortened_and_covers_a_late_frame(self):
        table = AttemptTable()
        table.resolve(KEY, 1, 100.0)
        table.resolve(KEY, 2, 10.0)
        table.drop_expired(150.0)
        assert table.attempts[KEY].expires_s == 100.0
        table.drop_expired(161.0)
        assert not table.attempts

    def test_full_table_drops_no_live_attempt(self):
        table = AttemptTable(max_attempts=1)
        running = table.start(KEY, 1, 1.0, 0.0)
        with pytest.raises(RequestError) as caught:
            table.resolve(AttemptKey("a", "other"), 1, 100.0)
        assert caught.value.code == ResultCode.OVERLOADED
        table.drop_expired(500.0)
        assert table.attempts[KEY] is running
