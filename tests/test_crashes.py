"""Requests under which targets end, as one entry finds them out."""

import asyncio
import logging

import pytest

from tests.test_direct_dispatch import FakeAnswer, events, serve, watch
from wisteriapulley.direct.crashes import UPDATE_BATCH_S, CrashTracker
from wisteriapulley.direct.liveness import Liveness
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.registry import Target
from wisteriapulley.direct.types import CallerRequest, RefusalKind
from wisteriapulley.policy import shared_budget
from wisteriapulley.routing import Account, Route, RouteKind, Split
from wisteriapulley.wire.messages import TargetState

ROUTE = Route("r", "h", "/", RouteKind.STREAM, (Split("s", 1),), 6000, 400, 400, 1, 2)
BODY = b"body of a caller"


def admitted(body=BODY, number=1):
    request = CallerRequest(
        f"id-{number}", "POST", "/x", "h", "/x", (), body, "key-1", 0.0, 5.0
    )
    return Admitted(request, ROUTE, Account("a", ("key-1",)), 5.0)


def broke_off(crashes, request, at):
    return crashes.check_for_crash(request, at, Progress(request.request))


def target(number=1, **more):
    state = TargetState(f"i-{number}", "s", f"10.0.0.{number}:80", "z", **more)
    return Target(state, 0.0)


def lines(caplog):
    return [r for r in caplog.records if r.message == "target ended under request"]


class TestCrashTracker:
    def test_names_the_same_request_of_two_attempts(self, caplog):
        async def run():
            crashes = watch(ended=True)
            await broke_off(crashes, admitted(number=1), target(1))
            await broke_off(crashes, admitted(number=2), target(2))

        asyncio.run(run())
        first, second = lines(caplog)
        assert (first.request_id, second.request_id) == ("id-1", "id-2")
        assert (first.target, second.target) == ("i-1", "i-2")
        assert first.fingerprint == second.fingerprint

    def test_shows_neither_key_nor_body(self, caplog):
        caplog.set_level(logging.DEBUG)
        asyncio.run(broke_off(watch(ended=True), admitted(), target()))
        text = str([record.__dict__ for record in caplog.records])
        assert "key-1" not in text and BODY.decode() not in text
        assert BODY.hex() not in text

    def test_connection_that_ends_alone_is_no_crash(self, caplog):
        asyncio.run(broke_off(watch(ended=False), admitted(), target()))
        assert not lines(caplog)

    @pytest.mark.parametrize("planned", [{"leaving": True}, {"gone": True}])
    def test_planned_end_is_no_crash(self, caplog, planned):
        asyncio.run(broke_off(watch(ended=True), admitted(), target(**planned)))
        assert not lines(caplog)

    def test_what_ends_together_is_told_in_one_frame(self):
        told = []

        async def run():
            crashes = watch(ended=True)
            crashes.publish = told.append
            ended = target()
            await asyncio.gather(
                *(
                    broke_off(crashes, admitted(b"%d" % number), ended)
                    for number in range(16)
                )
            )
            await asyncio.sleep(3 * UPDATE_BATCH_S)

        asyncio.run(run())
        (news,) = told
        assert len(news.suspects) == 16

    def test_whole_answer_clears_and_is_told(self):
        told = []

        async def run():
            crashes = watch(ended=True)
            crashes.publish = told.append
            request = admitted()
            await broke_off(crashes, request, target())
            await asyncio.sleep(3 * UPDATE_BATCH_S)
            crashes.record_answered(request, Progress(request.request))
            await asyncio.sleep(3 * UPDATE_BATCH_S)

        asyncio.run(run())
        blamed, cleared = (news.suspects[0] for news in told)
        assert blamed.ended and not cleared.ended
        assert cleared.cleared == blamed.cleared + 1

    def test_failure_of_a_target_clears_nothing(self):
        """It tells nothing of how the request goes on elsewhere."""
        broken = FakeAnswer([b""], breaks=True)
        failure = FakeAnswer(status=500)
        crashes = watch(ended=True)
        serve(broken, failure, kind=RouteKind.IDEMPOTENT, crashes=crashes)
        (record,) = crashes.suspects.records.values()
        assert record.ended

    def test_word_that_is_late_is_taken_in(self):
        """A host that answers slowly: the request goes on, and is judged later."""

        async def run():
            late = asyncio.Event()

            async def refuses(address):
                await late.wait()
                return True

            crashes = CrashTracker(b"k" * 40, Liveness(refuses), lambda news: None)
            await broke_off(crashes, admitted(), target())
            assert not crashes.suspects.records
            late.set()
            await asyncio.gather(*crashes.checks)
            assert len(crashes.suspects.records) == 1

        asyncio.run(run())


class TestQuarantined:
    """A stream that breaks off at one target after the other."""

    @pytest.fixture(autouse=True)
    def ample_budget(self, monkeypatch):
        monkeypatch.setattr(shared_budget, "MIN_ENTRIES", 1)

    def test_is_not_sent_again_in_the_same_attempt(self):
        broken = [FakeAnswer([b""], breaks=True) for _ in range(5)]
        refusal, _, client = serve(*broken, attempts=5, targets=5, ended=True)
        assert len(client.plans) == 3
        # It has run, so nothing may be promised.
        assert refusal.kind is RefusalKind.FAILED

    def test_connections_that_break_alone_quarantine_nothing(self):
        broken = [FakeAnswer([b""], breaks=True) for _ in range(4)]
        whole = FakeAnswer([events(1, 2)])
        refusal, caller, client = serve(*broken, whole, attempts=5, targets=5)
        assert refusal is None and caller.ended
        assert len(client.plans) == 5
