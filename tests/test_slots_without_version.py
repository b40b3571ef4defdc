"""Slots of engines that hold no weights, which any version would serve."""

import asyncio

from tests.test_evacuated_engine import ENGINE, TEST_TIMEOUT_S, new_service
from tests.test_slot_admission import EntryLink, reserve
from tests.test_slot_allocation import FakeSidecars, allocate
from wisteriapulley.direct.types import Refusal, RefusalKind
from wisteriapulley.rollout.engine import EngineReport
from wisteriapulley.wire import messages

WITHOUT = messages.Reserved(True, 0)


class TestGrantWithoutVersion:
    """The engine has started again since its sidecar granted the slot."""

    def test_next_engine_is_asked(self):
        sidecars = FakeSidecars(WITHOUT, messages.Reserved(True, 2))
        slot = allocate(sidecars)
        assert not isinstance(slot, Refusal) and slot.version == 2
        assert sidecars.released == 1

    def test_request_is_refused_if_there_is_no_other(self):
        sidecars = FakeSidecars(WITHOUT)
        refusal = allocate(sidecars, count=1)
        assert isinstance(refusal, Refusal)
        assert refusal.kind is RefusalKind.OVERLOADED
        assert sidecars.released == 1


class TestEngineThatRestarts:
    """Requests are queued at its sidecar, and all slots fall free at once."""

    QUEUED = 6

    def granted(self, folder, report):
        """Return the grants after a report of the engine."""

        async def run():
            service, link = new_service(folder), EntryLink()
            service.state.report = EngineReport({"m": 1}, started_ms=1)
            service.update_admission()
            count = ENGINE.slots + 1 + self.QUEUED
            asked = [
                asyncio.create_task(reserve(service.admission, link, number))
                for number in range(count)
            ]
            while not service.admission.slots.queue:
                await asyncio.sleep(0)
            before = len(link.written)
            service.record_report(report, service.state.report)
            service.update_admission()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await asyncio.gather(*asked)
            answers = [m for m in link.written if isinstance(m, messages.Reserved)]
            return [answer for answer in answers[before:] if answer.granted]

        return asyncio.run(run())

    def test_no_slot_is_granted(self, tmp_path):
        report = EngineReport({}, started_ms=2)
        assert self.granted(tmp_path, report) == []

    def test_slots_are_granted_where_it_holds_weights_again(self, tmp_path):
        granted = self.granted(tmp_path, EngineReport({"m": 1}, started_ms=2))
        assert [grant.version for grant in granted] == [1] * self.QUEUED


class TestWithoutSidecar:
    """There is no link to the sidecar, and the target announced no weights."""

    def test_nothing_is_sent(self):
        sidecars = FakeSidecars()
        sidecars.link_to = lambda target: None
        refusal = allocate(sidecars, count=1)
        assert isinstance(refusal, Refusal)
