"""Detection of parts of prompts that crash targets, at one entry."""

import asyncio
import logging

import pytest
from bench.turned_away import VirtualLoop

from tests.test_crashes import admitted, lines, target
from tests.test_direct_dispatch import crash_tracker, events
from tests.test_silent_targets import SILENT_S, Entry, PacedAnswer
from wisteriapulley.direct.exchange import Exchange
from wisteriapulley.direct.progress import Progress
from wisteriapulley.direct.slot_allocation import AllocatedSlot
from wisteriapulley.direct.types import RefusalKind
from wisteriapulley.policy.begun_parts import RETENTION_S, BegunParts
from wisteriapulley.policy.crash_suspects import MAX_SUSPECTS_PER_FRAME
from wisteriapulley.policy.part_suspects import QUARANTINE_RANK, rank_of
from wisteriapulley.routing import RouteKind
from wisteriapulley.wire.messages import Suspect, SuspectNews

FIRST, CRASHING, THIRD = "5c1e", "bad0", "d04f"


class Tracker:
    """The crash tracker of an entry whose targets have all exited when asked."""

    def __init__(self):
        self.published = []
        self.crashes = crash_tracker(crashed=True)
        self.crashes.publish = self.published.append
        self.parts = self.crashes.parts
        self.sends = 0

    def prompt(self, *parts):
        self.sends += 1
        request = admitted(b"%d" % self.sends, self.sends, parts)
        return request, Progress(request.request, "s")

    def send(self, *parts):
        """Send a new prompt to a target of its own."""
        request, progress = self.prompt(*parts)
        slot = AllocatedSlot(target(self.sends), 1, lambda *_: None)
        exchange = Exchange(slot, progress, 0.0)
        exchange.known_suspects = self.parts.known_suspects(progress)
        return request, exchange

    async def crash(self, *parts):
        await self.crashes.check_for_crash(*self.send(*parts))

    def begin(self, *parts):
        self.parts.record_begun(self.prompt(*parts)[1])

    def reason(self, *parts):
        return self.crashes.quarantine_reason(*self.prompt(*parts))

    def digest(self, part):
        return self.parts.fingerprints(self.prompt(part)[1])[0]

    def rank(self, part):
        return rank_of(self.crashes.suspects.records.get(self.digest(part)))


def run(scenario):
    async def play():
        tracker = Tracker()
        await scenario(tracker)
        return tracker

    return asyncio.run(play())


class TestPartTracker:
    def test_quarantines_the_part_that_crashed_prompts_share(self, caplog):
        async def scenario(tracker):
            for number in range(QUARANTINE_RANK):
                assert not tracker.reason(CRASHING)
                await tracker.crash(f"{number}a", CRASHING, f"{number}b")
            assert "part" in tracker.reason(FIRST, CRASHING)
            assert not tracker.reason(FIRST, THIRD)
            assert tracker.crashes.count_quarantined() == (0, 1)

        run(scenario)
        (line,) = lines(caplog, "part of prompts quarantined")
        assert len(line.ended) == QUARANTINE_RANK

    def test_part_that_began_lately_is_no_suspect(self):
        async def scenario(tracker):
            tracker.begin(FIRST, THIRD)
            await tracker.crash(FIRST, CRASHING, THIRD)
            ranks = map(tracker.rank, (FIRST, CRASHING, THIRD))
            assert list(ranks) == [0, 1, 0]

        run(scenario)

    def test_part_that_begins_later_is_cleared_for_all_entries(self):
        async def scenario(tracker):
            await tracker.crash(FIRST, CRASHING)
            tracker.crashes.publish_pending()
            tracker.begin(FIRST, THIRD)
            assert (tracker.rank(FIRST), tracker.rank(CRASHING)) == (0, 1)
            tracker.crashes.publish_pending()
            cleared = [s for s in tracker.published[-1].suspects if not s.ended]
            assert [s.digest for s in cleared] == [tracker.digest(FIRST)]

        run(scenario)

    def test_request_whose_response_had_begun_is_no_suspect(self):
        """Its target lived, also if another one had sent the events."""

        async def scenario(tracker):
            request, exchange = tracker.send(CRASHING)
            exchange.events.feed(events(1, 2))
            await tracker.crashes.check_for_crash(request, exchange)
            assert tracker.rank(CRASHING) == 0

        run(scenario)

    def test_targets_lost_together_give_the_first_rank(self):
        async def scenario(tracker):
            sent = [tracker.send(FIRST) for _ in range(5)]
            for request, exchange in sent:
                await tracker.crashes.check_for_crash(request, exchange)
            assert tracker.rank(FIRST) == 1

        run(scenario)

    def test_suspect_of_another_entry_that_began_here_is_cleared(self):
        async def scenario(tracker):
            tracker.begin(FIRST)
            digests = [tracker.digest(part) for part in (FIRST, CRASHING)]
            suspects = tuple(Suspect(digest, 0, ("8/i-9",)) for digest in digests)
            tracker.crashes.apply_update(SuspectNews(suspects))
            assert (tracker.rank(FIRST), tracker.rank(CRASHING)) == (0, 1)

        run(scenario)

    def test_quarantine_of_other_entries_is_applied(self, caplog):
        async def scenario(tracker):
            digest = tracker.digest(CRASHING)
            ended = ("6/i-3", "7/i-2", "8/i-1")
            tracker.crashes.apply_update(SuspectNews((Suspect(digest, 0, ended),)))
            assert tracker.reason(FIRST, CRASHING) and not tracker.reason(FIRST)

        run(scenario)
        assert lines(caplog, "part of prompts quarantined")

    @pytest.mark.parametrize(("age_s", "rank"), [(0, 1), (60, QUARANTINE_RANK)])
    def test_ends_for_other_reasons_keep_the_rank_low(self, age_s, rank):
        """Other entries report them, with the requests that were in progress there."""

        async def scenario(tracker):
            suspects = tuple(
                Suspect(b"%016d" % number, 0, (f"i-lost-{number}/0",), age_s)
                for number in range(12)
            )
            tracker.crashes.apply_update(SuspectNews(suspects))
            for _ in range(QUARANTINE_RANK):
                await tracker.crash(FIRST, CRASHING)
            assert tracker.rank(CRASHING) == rank

        run(scenario)

    def test_ends_under_another_part_count_once(self):
        async def scenario(tracker):
            digest = tracker.digest(THIRD)
            for ended in (("8/i-8/0",), ("7/i-9/0", "8/i-8/0")):
                tracker.crashes.apply_update(SuspectNews((Suspect(digest, 0, ended),)))
            await tracker.crash(FIRST, CRASHING)
            assert len(tracker.parts.recent_ends.ended_s) == 3

        run(scenario)

    def test_computes_nothing_without_suspects(self, monkeypatch):
        def fingerprint(*args):
            raise AssertionError("computed")

        monkeypatch.setattr(
            "wisteriapulley.direct.part_tracking.part_fingerprint", fingerprint
        )

        async def scenario(tracker):
            tracker.begin(FIRST, THIRD)
            tracker.send(FIRST, CRASHING)
            assert not tracker.reason(FIRST, CRASHING)

        run(scenario)

    def test_frames_are_bounded(self):
        """A prompt may have many parts, and a target many prompts."""

        async def scenario(tracker):
            for number in range(8):
                parts = (f"{number:x}{part:x}" for part in range(16, 80))
                await tracker.crash(*parts)
            tracker.crashes.publish_pending()

        published = run(scenario).published
        assert sum(len(update.suspects) for update in published) == 8 * 65
        assert max(len(u.suspects) for u in published) <= MAX_SUSPECTS_PER_FRAME


class TestBegunParts:
    def test_are_forgotten(self):
        begun = BegunParts()
        begun.record("s", (FIRST,), 10.0)
        assert begun.contains("s", FIRST, 10.0 + RETENTION_S)
        assert not begun.contains("other", FIRST, 10.0)
        begun.remove_expired(10.1 + RETENTION_S)
        assert not begun.begun_s


class TestDispatch:
    """Prompts at an entry whose targets crash, or lose their connections."""

    def entry(self, *answers, known=(), **options):
        """Return an entry that knows that targets ended under the crashing part."""
        entry = Entry(*answers, targets=4, attempts=4, **options)
        tracker = crash_tracker(crashed=True)
        entry.dispatcher.crashes = entry.dispatcher.sender.crashes = tracker
        progress = Progress(self.request(), "s")
        (digest,) = tracker.parts.fingerprints(progress)
        tracker.suspects.merge_updates([Suspect(digest, 0, known)], 0.0)
        budget = entry.dispatcher.retry_budget("s")
        budget.spend = budget.has_budget = lambda now_s: True
        return entry

    def request(self):
        return admitted(parts=(CRASHING,)).request._replace(key="", max_wait_s=6.0)

    def serve(self, entry):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(entry.dispatcher.serve(self.request(), entry.caller))

    @pytest.fixture(autouse=True)
    def info(self, caplog):
        caplog.set_level(logging.INFO)

    def test_quarantined_part_is_refused_at_once_as_not_run(self, caplog):
        entry = self.entry(known=("6/i-3", "7/i-2", "8/i-1"))
        refusal = self.serve(entry)
        assert refusal.kind is RefusalKind.QUARANTINED
        assert refusal.retry_s == 0.0 and not entry.client.plans
        (line,) = lines(caplog, "refused")
        assert line.reason == "part of the prompt crashes targets"

    def test_known_suspect_is_sent_to_one_target_only(self):
        """It may have run, so the refusal does not say otherwise."""
        broken = PacedAnswer((0.1, None))
        entry = self.entry(broken, broken, known=("8/i-1",))
        assert self.serve(entry).kind is RefusalKind.FAILED
        assert len(entry.client.plans) == 1

    def test_first_crash_does_not_keep_a_prompt_from_another_target(self):
        broken, whole = PacedAnswer((0.1, None)), PacedAnswer((0.1, events(1, 2)))
        entry = self.entry(broken, whole)
        assert self.serve(entry) is None
        assert len(entry.client.plans) == 2 and entry.caller.ended

    @pytest.mark.parametrize("status", [200, 400, 500])
    def test_only_a_successful_response_clears(self, status):
        """Any other one may have come from a target that began nothing."""
        answer = PacedAnswer((0.1, b"body"), status=status)
        entry = self.entry(answer, known=("8/i-1",), kind=RouteKind.NON_IDEMPOTENT)
        self.serve(entry)
        records = entry.dispatcher.crashes.suspects.records
        assert any(map(rank_of, records.values())) == (status != 200)

    def test_empty_stream_clears_nothing(self):
        entry = self.entry(PacedAnswer((0.1, b"")), known=("8/i-1",))
        assert self.serve(entry) is None
        records = entry.dispatcher.crashes.suspects.records
        assert any(map(rank_of, records.values()))

    def test_known_suspect_is_not_sent_to_a_spare_of_a_silent_target(self):
        silent = PacedAnswer((0.0, events(1, 2)), head_s=SILENT_S)
        spare = PacedAnswer((0.1, events(1, 2)))
        entry = self.entry(silent, spare, known=("7/i-2", "8/i-1"))
        assert self.serve(entry) is None
        assert len(entry.client.plans) == 1 and entry.caller.body == events(1, 2)

    def test_first_event_clears_before_the_response_ends(self):
        broken = PacedAnswer((0.1, events(1, 1)), (0.1, None))
        entry = self.entry(broken, known=("8/i-1",), resumable=False)
        self.serve(entry)
        records = entry.dispatcher.crashes.suspects.records
        assert not any(map(rank_of, records.values()))
