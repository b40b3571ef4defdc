"""Requests in progress when their catalogue entry is dropped, with real processes."""

import asyncio
import contextlib
import json
import signal

import aiohttp
import pytest

from tests.fleet import Fleet

OWNER = "lettercraft"
MAX_WAIT_S = 60.0
LIMITS = {"in_flight": 1, "deadline_ms": 600_000}
TOKENS, TOKEN_S = 20, 0.02


@pytest.fixture
def fleet(tmp_path):
    """Return a fleet with one target and an entry, which serve `drafts`."""
    fleet = Fleet(tmp_path / "fleet")
    try:
        fleet.start_origin()
        fleet.start_control(["galway"])
        pace = ("--token-s", str(TOKEN_S))
        fleet.start_target("model-0", "galway", "letter-models", fake_options=pace)
        fleet.start_entry("entry-0", "galway")
        asyncio.run(fleet.wait_ready(["control-1"]))
        (fleet.folder / "catalogue").mkdir()
        version = fleet.publish(1, 1 << 18, 1 << 18)
        entry = {"name": "drafts", "owner": OWNER, "class": "c", "version": version}
        entry |= {"service": "letter-models", "limits": LIMITS}
        drafts_file(fleet).write_text(json.dumps(entry))
        fleet.apply(fleet.folder / "catalogue", OWNER, "--wait", "20")
        asyncio.run(fleet.wait_ready())
        yield fleet
    finally:
        fleet.stop()


def drafts_file(fleet):
    return fleet.folder / "catalogue" / "drafts.json"


def drop(fleet):
    """Drop the entry, and tell all daemons to reload what they don't reload."""
    drafts_file(fleet).unlink()
    fleet.apply(fleet.folder / "catalogue", OWNER)
    for node in fleet.nodes.values():
        node.process.signal(signal.SIGHUP)


async def post(fleet, session, tokens=TOKENS, started=None):
    body = {"model": "drafts", "prompt": "p", "max_tokens": tokens, "stream": True}
    async with session.post(
        f"{fleet.nodes['entry-0'].http}/v1/completions",
        json=body,
        headers={"X-Client-Account": "council"},
    ) as response:
        if started is not None:
            started.set()
        return response.status, await response.text()


async def wait_dropped(fleet, session):
    """Wait until new requests are refused; one that is not waits for a slot."""
    status = 0
    while status != 404:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                status, _ = await post(fleet, session)


async def play(fleet):
    """Return the answers of requests that run and wait when their entry is dropped."""
    async with aiohttp.ClientSession() as session, asyncio.timeout(MAX_WAIT_S):
        while (await post(fleet, session, tokens=1))[0] != 200:
            await asyncio.sleep(0.05)
        started = asyncio.Event()
        sends = [asyncio.create_task(post(fleet, session, started=started))]
        await started.wait()
        # The engine stands still, so that no request ends before the drop.
        fleet.fakes["target-model-0"].signal(signal.SIGSTOP)
        sends += [asyncio.create_task(post(fleet, session)) for _ in range(2)]
        await asyncio.to_thread(drop, fleet)
        await wait_dropped(fleet, session)
        in_progress = sum(not sending.done() for sending in sends)
        fleet.fakes["target-model-0"].signal(signal.SIGCONT)
        return in_progress, await asyncio.gather(*sends)


class TestDroppedEntry:
    def test_requests_that_stream_and_wait_are_answered(self, fleet):
        in_progress, answers = asyncio.run(play(fleet))
        assert in_progress == 3
        assert [status for status, _ in answers] == [200] * 3
        assert all("[DONE]" in text for _, text in answers)
