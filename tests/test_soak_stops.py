"""Tests of what the soak plays around stops: its plan, raw callers and their check."""

import asyncio
import contextlib

import pytest
from soak.callers import REQUEST_KINDS
from soak.invariants import InvariantChecker, RequestResult, SentRequest
from soak.plan import PLANNED_KINDS, Fault, FaultKind, FleetShape, draw_faults
from soak.raw_callers import PipeliningCaller
from soak.run import SoakRun
from soak.stops import add_stops

from tests.fakes.raw_caller import CLOSED, RESET, RawCaller, Request, take_response

SHAPE = FleetShape.of_size(2, 3)
SENT = SentRequest("id", "entry-1", "POST", "/once/", b"body", 10.0, False, 1)
TEST_TIMEOUT_S = 30.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class TestStopsInSeries:
    def test_other_faults_of_a_seed_do_not_change(self):
        stops = []
        for seed in range(20):
            others = draw_faults(seed, 30, SHAPE)
            faults = add_stops(others, seed, 30, SHAPE)
            assert [fault for fault in faults if fault in others] == others
            stops += [fault for fault in faults if fault not in others]
        assert {fault.kind for fault in stops} <= PLANNED_KINDS
        stopped = {fault.name for fault in stops if fault.kind is FaultKind.TERM}
        assert stopped == set(SHAPE.nodes)

    def test_signals_and_changes_come_beside_stops_of_entries(self):
        faults = add_stops([], 1, 60, SHAPE)
        kinds = {fault.kind for fault in faults}
        assert kinds == {FaultKind.TERM, FaultKind.HUP, FaultKind.CONFIG}
        hung_up = {fault.name for fault in faults if fault.kind is FaultKind.HUP}
        assert hung_up == set(SHAPE.entries)


class TestUnansweredRequest:
    def violations(self, was_read, *faults):
        checker = InvariantChecker("account")
        checker.faults.extend(faults)
        checker.record_sent(SENT)
        result = RequestResult("id", 11.0, 0, False, False)
        checker.record_unanswered(result, was_read)
        return [finding.invariant for finding in checker.findings]

    def test_is_found_if_it_was_read(self):
        stop = (Fault(0.0, FaultKind.TERM, "entry-1", 1.0), 9.0, 12.0)
        assert self.violations(True) == self.violations(True, stop) == ["read"]
        assert self.violations(False, stop) == []

    def test_failure_of_its_entry_is_an_excuse(self):
        for name, found in (("entry-1", []), ("entry-2", ["read"])):
            fault = (Fault(0.0, FaultKind.KILL, name, 1.0), 10.5, 10.6)
            assert self.violations(True, fault) == found


class Server:
    """Reads all that one connection sends, and answers some requests before it ends.

    Parameters
    ----------
    answered : int
        How many requests it answers before it closes the connection.
    reads_all : bool
        Whether it has read what was sent when it closes the connection.
    """

    def __init__(self, answered, reads_all=True):
        self.answered = answered
        self.reads_all = reads_all

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            await self.answer_some(reader, writer)
        writer.close()

    async def answer_some(self, reader, writer):
        for _ in range(self.answered):
            await self.read_request(reader)
            writer.write(OK)
        if self.reads_all:
            await self.read_request(reader)
        else:
            writer.transport.pause_reading()
            await asyncio.sleep(0.3)

    async def read_request(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length))

    async def play(self, scenario):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            async with server:
                await scenario(server.sockets[0].getsockname()[1])


def request(number):
    head = b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
    return Request(f"r{number}", head)


class TestRawCaller:
    @pytest.mark.parametrize("reads_all,end", [(True, CLOSED), (False, RESET)])
    def test_reset_shows_that_not_all_was_read(self, reads_all, end):
        async def scenario(port):
            caller = RawCaller("127.0.0.1", port)
            await caller.open()
            caller.send(request(1))
            while not caller.responses:
                await asyncio.sleep(0.001)
            caller.send(request(2))
            await caller.wait_for_end()
            assert (caller.end, caller.unanswered) == (end, ["r2"])

        asyncio.run(Server(1, reads_all).play(scenario))

    def test_request_of_which_a_part_is_missing_needs_no_answer(self):
        async def scenario(port):
            caller = RawCaller("127.0.0.1", port)
            await caller.open()
            caller.send(request(1))
            caller.begin(request(2), b"GET")
            while not caller.responses:
                await asyncio.sleep(0.001)
            assert caller.begun == ["r1", "r2"] and not caller.unanswered
            await caller.leave()

        asyncio.run(Server(1).play(scenario))

    def test_responses_are_taken_one_after_the_other(self):
        chunked = (
            b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
        )
        received, taken = bytearray(), []
        for byte in OK + chunked + OK[:-1]:
            received.append(byte)
            if response := take_response(received):
                taken.append(response[:2])
        assert taken == [(200, b"ok"), (503, b"abcde")]
        assert received == OK[:-1]


class TestPipeliningCaller:
    def found(self, server):
        """Return what is found of a caller until something is recorded."""
        checker = InvariantChecker("account")

        async def scenario(port):
            name = "raw-entry-1-0"
            caller = PipeliningCaller(name, "entry-1", f"127.0.0.1:{port}", checker)
            caller.start()
            while checker.check_counts["read"] < 10:
                await asyncio.sleep(0.01)
            await caller.stop()

        asyncio.run(server.play(scenario))
        return {finding.invariant for finding in checker.findings}

    def test_request_that_was_read_and_dropped_is_found(self):
        assert "read" in self.found(Server(1))

    def test_answered_requests_are_no_finding(self):
        assert "read" not in self.found(Server(1000))

    def test_requests_are_of_all_kinds_and_known_to_the_checker(self):
        checker = InvariantChecker("account")
        caller = PipeliningCaller("raw-entry-1-0", "entry-1", "h:1", checker)
        sent = [caller.new_request() for _ in range(50)]
        assert set(checker.sent) == {each.request_id for each in sent}
        assert {each.path for each in checker.sent.values()} == {
            kind.path for kind in REQUEST_KINDS
        }


class TestShortRun:
    def test_stops_lose_no_request(self, tmp_path):
        shape = FleetShape.of_size(2, 2)
        run = SoakRun(tmp_path, 1, 5.0, shape, timed=False, calm=True, stops=True)
        outcome = asyncio.run(run.run())
        assert outcome.findings == ()
        assert outcome.checked["read"] > 0
