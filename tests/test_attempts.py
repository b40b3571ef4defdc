import pytest

from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.sidecar.attempts import AttemptKey, AttemptTable, KeptAnswer

KEY = AttemptKey("dealer-1", "k")


class TestAttemptTable:
    def test_an_attempt_runs_once(self):
        table = AttemptTable()
        table.start(KEY, 1, 100.0, 0.0)
        with pytest.raises(RequestError) as caught:
            table.start(KEY, 1, 100.0, 0.0)
        assert caught.value.code == ResultCode.IN_PROGRESS

    def test_not_run_stays_true_when_the_original_comes_late(self):
        table = AttemptTable()
        assert table.resolve(KEY, 1, 100.0).state == "tombstone"
        with pytest.raises(RequestError) as caught:
            table.start(KEY, 1, 100.0, 0.0)
        assert caught.value.code == ResultCode.ATTEMPT_TOMBSTONED
        table.start(KEY, 2, 100.0, 0.0)

    def test_next_attempt_does_not_run_beside_one_that_began(self):
        table = AttemptTable()
        table.start(KEY, 1, 100.0, 0.0)
        with pytest.raises(RequestError):
            table.start(KEY, 2, 100.0, 0.0)

    def test_expired_is_refused_as_not_run(self):
        with pytest.raises(RequestError) as caught:
            AttemptTable().start(KEY, 1, 5.0, 6.0)
        assert caught.value.code == ResultCode.REQUEST_EXPIRED

    def test_kept_bytes_are_bounded(self):
        table = AttemptTable(kept_limit=10)
        for number in range(3):
            key = AttemptKey("a", str(number))
            attempt = table.start(key, 1, 100.0, 0.0)
            table.finish(attempt, KeptAnswer(200, (), "", b"12345678"))
        assert table.kept_bytes == 8
