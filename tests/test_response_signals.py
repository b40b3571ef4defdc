"""What targets say of themselves in the heads of their answers."""

import asyncio
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from tests.test_direct_dispatch import SETTINGS, FakeAnswer, events, serve
from tests.test_slot_allocation import ENGINE, IDENTITY, ROUTE, FakeSidecars
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.slot_allocation import AllocatedSlot, SlotAllocator
from wisteriapulley.direct.types import CallerRequest, Refusal, RefusalKind
from wisteriapulley.platform.statements import MOST_REST_S, parse_rest, parse_statements
from wisteriapulley.policy.response_signals import (
    CooldownTracker,
    RequestedCooldown,
    ResponseSignals,
    TargetLoad,
)
from wisteriapulley.weights.named import NamedVersions
from wisteriapulley.wire import messages
from wisteriapulley.wire.messages import TargetState

DATE = "Thu, 03 Dec 2026 12:00:00 GMT"


def rest(*texts, status=503, date=DATE):
    headers = CIMultiDict([("Retry-After", text) for text in texts])
    if date:
        headers["Date"] = date
    return parse_rest(status, headers)


class TestParseRest:
    @pytest.mark.parametrize(
        ("texts", "seconds"),
        [
            ((), 0.0),
            (("3",), 3.0),
            (("0.25",), 0.25),
            (("0",), 0.0),
            (("3", "7"), 7.0),
            (("3", "soon"), 3.0),
            (("Thu, 03 Dec 2026 12:00:04 GMT",), 4.0),
            (("Thu, 03 Dec 2026 11:59:00 GMT",), 0.0),
            (("86400",), MOST_REST_S),
            (("31536000",), MOST_REST_S),
            (("9" * 400,), MOST_REST_S),
        ],
    )
    def test_readable(self, texts, seconds):
        assert rest(*texts).seconds == seconds

    @pytest.mark.parametrize(
        "text",
        ["", "-1", "+3", "nan", "inf", "1e3", "1_0", "1,2", "soon", "３"]
        + ["Thu, 99 Dec 2026 12:00:04 GMT", "1 Jan 1 0:0:0 +9999999999999999999"],
    )
    def test_unreadable(self, text):
        assert rest(text) == RequestedCooldown(0.0, text)

    def test_date_without_the_answers_own_is_unreadable(self):
        assert rest(DATE, date="").invalid_text == DATE

    @pytest.mark.parametrize("status", [200, 421, 429, 500])
    def test_other_statuses_say_nothing_of_the_target(self, status):
        assert rest("3", status=status) == RequestedCooldown()


class TestParseStatements:
    def test_all_of_one_answer(self):
        headers = {
            "X-Server-Load": "3,0,8",
            "Server-Limit": "1.5",
            "Retry-After": "3",
            "Server-Leaving": "1",
        }
        signals = parse_statements(503, CIMultiDict(headers))
        assert signals.load == TargetLoad(3, 0, 8)
        assert signals.rate.per_s == 1.5
        assert signals.cooldown.seconds == 3.0
        assert signals.leaving

    def test_answer_that_says_nothing(self):
        assert parse_statements(200, CIMultiDict()) == ResponseSignals()

    @pytest.mark.parametrize("text", ["", "0", "no", "-1", "11"])
    def test_only_a_clear_word_means_leaving(self, text):
        headers = CIMultiDict({"Server-Leaving": text})
        assert not parse_statements(200, headers).leaving


class TestLogs:
    def test_request_that_was_turned_away_is_told_with_what_the_target_said(
        self, caplog
    ):
        caplog.set_level("INFO")
        signals = ResponseSignals(cooldown=RequestedCooldown(3.0))
        away = FakeAnswer(status=503, not_run=True, signals=signals)
        serve(away, FakeAnswer([events(1, 2)]))
        (line,) = [
            r for r in caplog.records if r.message == "target turned a request away"
        ]
        assert (line.target, line.status, line.rest_s) == ("i-0", 503, 3.0)


class TestKnownRest:
    def heard(self, *words):
        known = CooldownTracker()
        begins = [
            known.observe(RequestedCooldown(rest_s), now_s) for rest_s, now_s in words
        ]
        return known, begins

    def test_longest_word_counts(self):
        known, begins = self.heard((3.0, 1.0), (1.0, 1.5), (5.0, 2.0), (0.0, 2.5))
        assert known.until_s == 7.0
        assert begins == [True, False, False, False]

    def test_begins_again_after_its_end(self):
        known, begins = self.heard((1.0, 1.0), (1.0, 2.0))
        assert known.until_s == 3.0
        assert begins == [True, True]

    def test_what_is_no_time_is_told_once(self):
        known, bad = CooldownTracker(), RequestedCooldown(0.0, "soon")
        assert [known.is_first_invalid(bad) for _ in range(2)] == [True, False]


def registry_of(*names, now_s=0.0):
    registry = TargetRegistry()
    registry.update([state_of(name) for name in names], now_s)
    return registry


def state_of(name, **more):
    fields = {"sequence": 1, "started_ms": 1, "slots": 4, **more}
    return TargetState(name, "s", f"{name}:80", "z", **fields)


class TestTargetAtRest:
    """Whose word it is, and for how long."""

    REST = ResponseSignals(cooldown=RequestedCooldown(30.0))

    def test_news_of_control_instances_end_no_rest(self):
        registry = registry_of("a")
        target = registry.targets["a"]
        target.record_signals(self.REST, 0.9, 1.0)
        registry.update([state_of("a", sequence=2)], 2.0)
        target.record_signals(ResponseSignals(), 0.8, 2.0)
        assert registry.candidates("s", 3.0) == []
        assert target.wait_s(3.0) == 28.0

    def test_later_start_is_owed_nothing(self):
        registry = registry_of("a")
        registry.targets["a"].record_signals(self.REST, 0.9, 1.0)
        registry.update([state_of("a", sequence=0, started_ms=2)], 2.0)
        assert [t.target_id for t in registry.candidates("s", 2.0)] == ["a"]

    def test_sweep_does_not_forget_a_rest(self):
        registry = registry_of("a")
        registry.targets["a"].record_signals(self.REST, 0.9, 1.0)
        registry.last_update_s = 25.0
        assert registry.sweep(25.0) == []
        registry.update([state_of("a", sequence=2)], 25.0)
        assert registry.candidates("s", 26.0) == []
        registry.last_update_s = 60.0
        assert [t.target_id for t in registry.sweep(60.0)] == ["a"]

    def test_service_tells_when_its_first_rest_ends(self):
        registry = registry_of("a", "b", "c")
        a, b, c = registry.targets.values()
        a.record_signals(self.REST, 0.9, 1.0)
        assert registry.throttled_s("s", 1.0) == 0.0
        b.record_signals(ResponseSignals(cooldown=RequestedCooldown(3.0)), 0.9, 1.0)
        c.state = c.state._replace(leaving=True)
        assert registry.throttled_s("s", 1.5) == 2.5
        b.state = b.state._replace(gone=True)
        assert registry.throttled_s("s", 1.5) == 29.5


class TestLastMoment:
    """A place that was granted or waited for before the word is no leave to send."""

    def placed(self, rests):
        """Place a request at engines, the first of which asks for rest meanwhile."""

        async def run():
            registry = registry_of("a", "b")
            allocator = SlotAllocator(
                SETTINGS,
                IDENTITY,
                registry,
                SimpleNamespace(versions=NamedVersions(), open_links=list),
            )
            released = []

            class Granting(FakeSidecars):
                async def reserve(self, link, target, reservation):
                    if len(self.reservations) < rests:
                        now_s = asyncio.get_running_loop().time()
                        target.record_signals(
                            ResponseSignals(cooldown=RequestedCooldown(3.0)),
                            now_s,
                            now_s,
                        )
                    return await super().reserve(link, target, reservation)

                def release(self, link, request_id, *outcome):
                    released.append(request_id)

            allocator.sidecars = Granting(*[messages.Reserved(True, 1)] * 2)
            now_s = asyncio.get_running_loop().time()
            registry.update([state_of(n, sequence=2) for n in "ab"], now_s)
            request = CallerRequest(
                "q", "POST", "/", "h", "/", (), b"", "", now_s, 5.4, 900, 90
            )
            admitted = Admitted(request, ROUTE, None, now_s + 5.4)
            placed = await allocator.allocate(admitted, "s", ENGINE, set(), now_s)
            return placed, released, registry

        return asyncio.run(run())

    def test_place_is_given_back_and_another_engine_asked(self):
        placed, released, registry = self.placed(rests=1)
        assert isinstance(placed, AllocatedSlot)
        assert released == ["q"]
        assert not registry.targets[placed.target.target_id].cooldown.until_s > 0

    def test_without_another_engine_the_end_of_the_rest_is_told(self):
        placed, released, _ = self.placed(rests=2)
        assert isinstance(placed, Refusal)
        assert released == ["q", "q"]
        assert 2.0 < placed.retry_s <= 3.0


class TestRequestThatIsTurnedAway:
    REST = ResponseSignals(cooldown=RequestedCooldown(1.2))

    def away(self):
        return FakeAnswer(status=503, not_run=True, signals=self.REST)

    def test_no_second_send_where_all_rest(self):
        refusal, _, client = serve(self.away(), targets=1)
        assert len(client.plans) == 1
        assert refusal.kind is RefusalKind.OVERLOADED
        assert refusal.retry_s >= 1.1

    def test_two_sends_tell_when_the_first_rest_ends(self):
        refusal, _, client = serve(self.away(), self.away(), targets=2)
        assert len(client.plans) == 2
        assert refusal.retry_s >= 1.1

    def test_word_without_the_promise_that_it_did_not_run_counts(self):
        """A failure is passed on, and the target left alone all the same."""
        failed = FakeAnswer(status=503, signals=self.REST)
        refusal, caller, client = serve(failed, targets=1)
        assert refusal is None and caller.status == 503

    def test_other_instance_asks_for_nothing(self, caplog):
        caplog.set_level("INFO")
        other = FakeAnswer(
            status=421, other_instance=True, not_run=True, signals=self.REST
        )
        serve(other, FakeAnswer([events(1, 2)]))
        assert not [r for r in caplog.records if r.message == "target asks for rest"]
