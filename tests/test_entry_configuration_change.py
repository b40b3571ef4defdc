"""A catalogue that changes while a request is in progress in the own interface."""

import asyncio

import msgspec
import pytest

from tests.test_entry_at_most_once import ENTRY, run_with_fleet
from tests.test_entry_dispatch import send_half
from wisteriapulley.catalogue import Limits
from wisteriapulley.errors import ResultCode, WisteriapulleyError

ADMITTED = msgspec.structs.replace(ENTRY, limits=Limits(in_flight=1))
CHANGES = {
    "service moved": {"service": "other"},
    "time limit shortened": {"limits": Limits(in_flight=1, deadline_ms=1)},
    "class changed": {"traffic_class": "other", "idempotent": False},
    "target leaves": {"leaving": ("t0",)},
}


class ChangingEntry:
    """An entry whose catalogue changes while a request waits for something."""

    def __init__(self, change, waits_for):
        self.change, self.waits_for = change, waits_for

    def serve(self, sidecars=1):
        """Serve a request; return its body, or the code of its refusal."""
        asyncio.run(run_with_fleet(self.run, sidecars))
        return self.result

    async def run(self, control, sidecars, entry):
        self.entry, self.sidecars = entry, sidecars
        entry.runner.dispatcher.placer.rng.choice = max
        self.result = await getattr(self, f"wait_for_{self.waits_for}")()

    async def apply_change(self):
        """Let a request arrive that a newer catalogue admits."""
        changed = msgspec.structs.replace(ADMITTED, **CHANGES[self.change])
        await asyncio.wait([self.send(changed, 2, seconds=0.2)])

    def send(self, entry=ADMITTED, revision=1, seconds=20.0):
        return asyncio.create_task(self.try_send(entry, revision, seconds))

    async def try_send(self, entry, revision, seconds):
        try:
            return await self.entry.send(
                key="", entry=entry, revision=revision, seconds=seconds
            )
        except WisteriapulleyError as error:
            return error.code

    async def start_request(self):
        """Send a request that its target does not answer yet."""
        target = self.sidecars[-1]
        target.may_answer.clear()
        sending = self.send()
        await target.started.wait()
        return sending, target

    async def wait_for_slot(self):
        first, target = await self.start_request()
        queued = self.send(seconds=2.0)
        pool = self.entry.runner.dispatcher.placer.pools["s"]
        while not pool.queued_futures:
            await asyncio.sleep(0.01)
        await self.apply_change()
        target.may_answer.set()
        assert await first == b"letter"
        return await queued

    async def wait_for_head(self):
        sending, target = await self.start_request()
        await self.apply_change()
        target.may_answer.set()
        return await sending

    async def wait_for_part(self):
        (target,) = self.sidecars
        target.respond, target.headers = send_half, {}
        target.half_sent = asyncio.Event()
        sending, _ = await self.start_request()
        await target.half_sent.wait()
        await self.apply_change()
        target.may_answer.set()
        return await sending

    async def wait_for_second_send(self):
        sending, target = await self.start_request()
        await self.apply_change()
        for sidecar in self.sidecars:
            sidecar.executed_keys.clear()
        self.entry.cut_link(target)
        target.may_answer.set()
        return await sending


@pytest.mark.parametrize("change", CHANGES)
class TestAdmittedRequest:
    """It ends by the catalogue that admitted it, or gets a true refusal."""

    def test_waits_for_a_slot(self, change):
        result = ChangingEntry(change, "slot").serve()
        # The only target takes no new requests then.
        leaves = change == "target leaves"
        assert result == (ResultCode.OVERLOADED if leaves else b"letter")

    def test_waits_for_the_head(self, change):
        assert ChangingEntry(change, "head").serve() == b"letter"

    def test_waits_for_a_part(self, change):
        assert ChangingEntry(change, "part").serve() == b"abc"

    def test_is_sent_again(self, change):
        assert ChangingEntry(change, "second_send").serve(sidecars=2) == b"letter"


class TestLeavingTarget:
    def test_gets_no_second_send_of_a_request_admitted_before(self):
        entry = ChangingEntry("target leaves", "second_send")
        assert entry.serve(sidecars=2) == b"letter"
        leaving, other = entry.sidecars
        assert (leaving.executed_keys, other.executed_keys) == ([], [""])
