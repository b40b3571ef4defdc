"""Grants that are decided just as the engine is ordered to load newer weights."""

import asyncio

import pytest

from tests.test_evacuated_engine import (
    ENGINE,
    MANIFEST,
    TEST_TIMEOUT_S,
    name_version,
    new_service,
)
from tests.test_slot_admission import EntryLink, reserve
from wisteriapulley.wire import Frame, messages


class TestGrantAtTheOrder:
    """A slot falls free for a queued request, and the load is ordered before its reply.

    The entry may not have heard of the newer version, and the order may be lost.
    """

    def reply(self, folder, is_loading):
        """Return the reply to the queued request."""

        async def run():
            service, link = new_service(folder), EntryLink()
            name_version(service, 2)
            service.admission.slots.engine = ENGINE
            service.update_admission()
            asked = [
                asyncio.create_task(reserve(service.admission, link, number))
                for number in range(ENGINE.slots + 4)
            ]
            while len(link.written) < len(asked):
                await asyncio.sleep(0)
            assert any(reply.queued for reply in link.written)
            before = len(link.written)
            release = messages.Release("r0", True)
            await service.admission.receive(release, link, Frame(99, 0, release))
            if is_loading:
                service.updater.manifest, service.updater.loading = MANIFEST, True
                service.update_admission()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while len(link.written) == before:
                    await asyncio.sleep(0)
            for task in asked:
                task.cancel()
            return link.written[before]

        return asyncio.run(run())

    @pytest.mark.parametrize("is_loading", [False, True])
    def test_has_no_slot_without_the_end_of_its_version(self, tmp_path, is_loading):
        reply = self.reply(tmp_path, is_loading)
        assert not reply.queued
        assert reply.start_left_ms > 0 if reply.granted else is_loading
