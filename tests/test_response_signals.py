"""Signals about targets in the headers of their responses."""

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
from wisteriapulley.platform.signal_parsing import (
    MAX_COOLDOWN_S,
    parse_cooldown,
    parse_signals,
)
from wisteriapulley.policy.response_signals import (
    CooldownTracker,
    RequestedCooldown,
    ResponseSignals,
    TargetLoad,
)
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire import messages
from wisteriapulley.wire.messages import TargetState

DATE = "Thu, 03 Dec 2026 12:00:00 GMT"


def parse(*texts, status=503, date=DATE):
    headers = CIMultiDict([("Retry-After", text) for text in texts])
    if date:
        headers["Date"] = date
    return parse_cooldown(status, headers)


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
            (("86400",), MAX_COOLDOWN_S),
            (("31536000",), MAX_COOLDOWN_S),
            (("9" * 400,), MAX_COOLDOWN_S),
        ],
    )
    def test_readable(self, texts, seconds):
        assert parse(*texts).seconds == seconds

    @pytest.mark.parametrize(
        "text",
        ["", "-1", "+3", "nan", "inf", "1e3", "1_0", "1,2", "soon", "３"]
        + ["Thu, 99 Dec 2026 12:00:04 GMT", "1 Jan 1 0:0:0 +9999999999999999999"],
    )
    def test_unreadable(self, text):
        assert parse(text) == RequestedCooldown(0.0, text)

    def test_date_without_date_header_is_unreadable(self):
        assert parse(DATE, date="").invalid_text == DATE

    @pytest.mark.parametrize("status", [200, 421, 429, 500])
    def test_other_statuses_request_no_cooldown(self, status):
        assert parse("3", status=status) == RequestedCooldown()


class TestParseStatements:
    def test_all_signals_of_a_response(self):
        headers = {
            "X-Server-Load": "3,0,8",
            "Server-Limit": "1.5",
            "Retry-After": "3",
            "Server-Leaving": "1",
        }
        signals = parse_signals(503, CIMultiDict(headers))
        assert signals.load == TargetLoad(3, 0, 8)
        assert signals.rate.per_s == 1.5
        assert signals.cooldown.seconds == 3.0
        assert signals.leaving

    def test_response_without_signals(self):
        assert parse_signals(200, CIMultiDict()) == ResponseSignals()

    @pytest.mark.parametrize("text", ["", "0", "no", "-1", "11"])
    def test_only_one_value_means_leaving(self, text):
        headers = CIMultiDict({"Server-Leaving": text})
        assert not parse_signals(200, headers).leaving


class TestLogs:
    def test_rejected_request_is_logged_with_the_signals(self, caplog):
        caplog.set_level("INFO")
        signals = ResponseSignals(cooldown=RequestedCooldown(3.0))
        rejected = FakeAnswer(status=503, not_run=True, signals=signals)
        serve(rejected, FakeAnswer([events(1, 2)]))
        (line,) = [
            r for r in caplog.records if r.message == "target turned a request away"
        ]
        assert (line.target, line.status, line.rest_s) == ("i-0", 503, 3.0)


class TestCooldownTracker:
    def track(self, *requests):
        tracker = CooldownTracker()
        begins = [
            tracker.observe(RequestedCooldown(cooldown_s), now_s)
            for cooldown_s, now_s in requests
        ]
        return tracker, begins

    def test_longest_cooldown_applies(self):
        tracker, begins = self.track((3.0, 1.0), (1.0, 1.5), (5.0, 2.0), (0.0, 2.5))
        assert tracker.until_s == 7.0
        assert begins == [True, False, False, False]

    def test_starts_again_after_its_end(self):
        tracker, begins = self.track((1.0, 1.0), (1.0, 2.0))
        assert tracker.until_s == 3.0
        assert begins == [True, True]

    def test_unreadable_cooldown_is_reported_once(self):
        tracker, unreadable = CooldownTracker(), RequestedCooldown(0.0, "soon")
        assert [tracker.is_first_invalid(unreadable) for _ in range(2)] == [
            True,
            False,
        ]


def registry_of(*names, now_s=0.0):
    registry = TargetRegistry()
    registry.update([state_of(name) for name in names], now_s)
    return registry


def state_of(name, **more):
    fields = {"sequence": 1, "started_ms": 1, "slots": 4, **more}
    return TargetState(name, "s", f"{name}:80", "z", **fields)


class TestTargetInCooldown:
    """A cool-down applies to one incarnation until its end."""

    COOLDOWN = ResponseSignals(cooldown=RequestedCooldown(30.0))

    def test_updates_of_control_instances_do_not_end_it(self):
        registry = registry_of("a")
        target = registry.targets["a"]
        target.record_signals(self.COOLDOWN, 0.9, 1.0)
        registry.update([state_of("a", sequence=2)], 2.0)
        target.record_signals(ResponseSignals(), 0.8, 2.0)
        assert registry.candidates("s", 3.0) == []
        assert target.wait_s(3.0) == 28.0

    def test_restarted_target_has_none(self):
        registry = registry_of("a")
        registry.targets["a"].record_signals(self.COOLDOWN, 0.9, 1.0)
        registry.update([state_of("a", sequence=0, started_ms=2)], 2.0)
        assert [t.target_id for t in registry.candidates("s", 2.0)] == ["a"]

    def test_sweep_keeps_it(self):
        registry = registry_of("a")
        registry.targets["a"].record_signals(self.COOLDOWN, 0.9, 1.0)
        registry.last_update_s = 25.0
        assert registry.sweep(25.0) == []
        registry.update([state_of("a", sequence=2)], 25.0)
        assert registry.candidates("s", 26.0) == []
        registry.last_update_s = 60.0
        assert [t.target_id for t in registry.sweep(60.0)] == ["a"]

    def test_service_is_throttled_until_the_first_end(self):
        registry = registry_of("a", "b", "c")
        a, b, c = registry.targets.values()
        a.record_signals(self.COOLDOWN, 0.9, 1.0)
        assert registry.throttled_s("s", 1.0) == 0.0
        b.record_signals(ResponseSignals(cooldown=RequestedCooldown(3.0)), 0.9, 1.0)
        c.state = c.state._replace(leaving=True)
        assert registry.throttled_s("s", 1.5) == 2.5
        b.state = b.state._replace(gone=True)
        assert registry.throttled_s("s", 1.5) == 29.5


class TestCooldownDuringAllocation:
    """A slot must not be used if the engine requested a cool-down meanwhile."""

    def allocate(self, cooldowns):
        """Allocate a slot while the first engines request a cool-down."""

        async def run():
            registry = registry_of("a", "b")
            allocator = SlotAllocator(
                SETTINGS,
                IDENTITY,
                registry,
                SimpleNamespace(versions=DesiredVersions(), open_links=list),
            )
            released = []

            class Granting(FakeSidecars):
                async def reserve(self, link, target, reservation):
                    if len(self.reservations) < cooldowns:
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
            result = await allocator.allocate(admitted, "s", ENGINE, set(), now_s)
            return result, released, registry

        return asyncio.run(run())

    def test_slot_is_released_and_another_engine_asked(self):
        result, released, registry = self.allocate(cooldowns=1)
        assert isinstance(result, AllocatedSlot)
        assert released == ["q"]
        assert not registry.targets[result.target.target_id].cooldown.until_s > 0

    def test_without_another_engine_the_retry_time_is_its_end(self):
        result, released, _ = self.allocate(cooldowns=2)
        assert isinstance(result, Refusal)
        assert released == ["q", "q"]
        assert 2.0 < result.retry_s <= 3.0


class TestRejectedRequest:
    COOLDOWN = ResponseSignals(cooldown=RequestedCooldown(1.2))

    def rejected(self):
        return FakeAnswer(status=503, not_run=True, signals=self.COOLDOWN)

    def test_no_second_send_if_all_targets_are_in_cooldown(self):
        refusal, _, client = serve(self.rejected(), targets=1)
        assert len(client.plans) == 1
        assert refusal.kind is RefusalKind.OVERLOADED
        assert refusal.retry_s >= 1.1

    def test_retry_time_after_two_sends_is_the_first_end(self):
        refusal, _, client = serve(self.rejected(), self.rejected(), targets=2)
        assert len(client.plans) == 2
        assert refusal.retry_s >= 1.1

    def test_cooldown_counts_without_the_not_run_header(self):
        """A failure is relayed to the caller, and the cool-down still applies."""
        failed = FakeAnswer(status=503, signals=self.COOLDOWN)
        refusal, caller, client = serve(failed, targets=1)
        assert refusal is None and caller.status == 503

    def test_signals_of_another_instance_are_ignored(self, caplog):
        caplog.set_level("INFO")
        other = FakeAnswer(
            status=421, other_instance=True, not_run=True, signals=self.COOLDOWN
        )
        serve(other, FakeAnswer([events(1, 2)]))
        assert not [r for r in caplog.records if r.message == "target asks for rest"]
