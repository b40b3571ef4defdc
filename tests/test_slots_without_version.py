"""Slots of engines that hold no weights, which any version would serve."""

import asyncio

from tests.test_evacuated_engine import ENGINE, TEST_TIMEOUT_S, new_service
from tests.test_slot_admission import EntryLink, reserve
from wisteriapulley.rollout.engine import EngineReport
from wisteriapulley.wire import messages


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
