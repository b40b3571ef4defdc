"""What callers see of an entry, and what it counts, when a request ends early."""

import asyncio
import logging
from types import SimpleNamespace

import aiohttp
import pytest

from wisteriapulley.catalogue import Entry
from wisteriapulley.entry.answer import Answer
from wisteriapulley.entry.service import EntryService
from wisteriapulley.errors import ResultCode
from wisteriapulley.http_server import HttpServer
from wisteriapulley.settings import Address, EntrySettings
from wisteriapulley.wire import messages

ENTRY = Entry(name="letters", owner="o", traffic_class="c", service="s")


class FakeRun:
    """Answers each request with a part, and then as `end` says."""

    def __init__(self, end):
        self.end = end
        self.headers = ()
        self.abandoned = 0

    async def run(self, caller, now_s):
        head = messages.AnswerHead(caller.request_id, 200, self.headers, "", -1)
        return Answer(head, self.parts(), self.abandon)

    async def parts(self):
        yield b"part"
        await self.end()

    def abandon(self):
        self.abandoned += 1


class Harness:
    """An entry without control instances and targets."""

    async def start(self, run):
        settings = EntrySettings(
            node_id="e0",
            failure_domain="d",
            http_listen=Address("127.0.0.1", 0),
            fleet_key_file="",
            control=(),
        )
        self.service = EntryService(settings)
        entries = {"letters": SimpleNamespace(entry=ENTRY)}
        image = SimpleNamespace(revision=1, entries=entries)
        self.service.control = SimpleNamespace(
            catalogue=SimpleNamespace(confirmed=True, revision=1, image=image)
        )
        self.service.run = run
        route = aiohttp.web.route("*", "/services/{rest:.*}", self.service.serve)
        self.http = HttpServer(self.service.metrics, lambda: True, [route])
        await self.http.start(Address("127.0.0.1", 0))
        self.session = aiohttp.ClientSession()

    def ask(self):
        return self.session.post(
            f"http://{self.http.address}/services/letters/post",
            headers={"X-Client-Account": "council"},
        )

    def codes(self):
        """Return the result codes that were counted, one for each request."""
        ends = self.service.request_metrics.requests.get_all()
        return [ResultCode(int(labels["code"])) for labels, _ in ends]

    async def stop(self):
        await self.session.close()
        await self.http.stop()


def run_scenario(run, scenario):
    async def main():
        harness = Harness()
        await harness.start(run)
        try:
            async with asyncio.timeout(15):
                await scenario(harness)
        finally:
            await harness.stop()

    asyncio.run(main())


class TestCallerThatLeaves:
    def test_is_not_counted_as_answered(self):
        fake = FakeRun(asyncio.Event().wait)

        async def scenario(harness):
            async with harness.ask() as answer:
                assert await answer.content.readany() == b"part"
            await harness.service.idle.wait()
            assert harness.codes() == [ResultCode.ANSWER_CUT]
            assert fake.abandoned == 1

        run_scenario(fake.run, scenario)


class TestInternalError:
    async def fail(self, *args):
        raise KeyError("unexpected")

    def ended_by(self, caplog):
        """Return the one logged error of an entry, and not of the HTTP library."""
        (record,) = [r for r in caplog.records if r.levelno >= logging.ERROR]
        assert isinstance(record.exc_info[1], KeyError)
        return record

    def test_request_without_an_answer_may_have_run(self, caplog):
        async def scenario(harness):
            async with harness.ask() as answer:
                assert answer.status == 502
                code = (await answer.json())["error"]["code"]
            assert code == ResultCode.MAY_HAVE_RUN
            assert harness.codes() == [ResultCode.MAY_HAVE_RUN]
            assert harness.service.request_metrics.internal_errors.get({}) == 1

        run_scenario(self.fail, scenario)
        assert len(self.ended_by(caplog).request_id) == 32

    def test_answer_that_has_begun_is_cut(self, caplog):
        fake = FakeRun(self.fail)

        async def scenario(harness):
            async with harness.ask() as answer:
                assert answer.status == 200
                with pytest.raises(aiohttp.ClientPayloadError):
                    await answer.read()
            await harness.service.idle.wait()
            assert harness.codes() == [ResultCode.ANSWER_CUT]
            assert harness.service.request_metrics.internal_errors.get({}) == 1
            assert fake.abandoned == 1

        with caplog.at_level(logging.WARNING):
            run_scenario(fake.run, scenario)
        record = self.ended_by(caplog)
        (cut,) = [r for r in caplog.records if "answer cut" in r.message]
        assert cut.request_id == record.request_id
