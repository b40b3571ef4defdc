"""Tests of what the soak plays around stops: its plan, raw callers and their check."""

import asyncio
import contextlib
import json
from math import inf

import pytest
from soak.callers import LONG_STREAMS, REQUEST_KINDS
from soak.fleet import Node
from soak.invariants import Execution, InvariantChecker, RequestResult, SentRequest
from soak.plan import (
    FAILURE_DOMAINS,
    PLANNED_KINDS,
    VERSION_END_KINDS,
    Fault,
    FaultKind,
    FleetShape,
    draw_faults,
)
from soak.raw_callers import PipeliningCaller, StreamingCaller
from soak.run import SeedOptions, SoakRun
from soak.stops import END_PAUSE_AFTER_S, add_end_pauses, add_stops
from soak.targets import (
    EVENTS_PER_STREAM,
    LONG_PATH,
    LONG_STREAM_S,
    event_interval_s,
)
from soak.traces import FileState

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


class TestEndOfDrain:
    """What an entry takes after its stop signal is not in progress when it ends."""

    LOGGED = {"request_id": "id", "arrived_after_ms": 1500, "left_ms": 800}

    def violations(self, *faults, **logged):
        checker = InvariantChecker("account", timed=False)
        checker.faults.extend(faults)
        checker.record_sent(SENT)
        checker.pauses.append((9.0, 13.0))
        checker.check_drain_end("entry-1", self.LOGGED | logged)
        return [finding.invariant for finding in checker.findings]

    def test_request_that_came_after_the_signal_is_found(self):
        assert self.violations() == ["drain end"]
        assert self.violations(arrived_after_ms=0) == ["drain end"]

    def test_request_from_before_the_signal_is_allowed(self):
        assert self.violations(arrived_after_ms=-1) == []

    def test_own_time_limit_is_an_excuse(self):
        assert self.violations(left_ms=0) == []
        assert self.violations(left_ms=1) == ["drain end"]

    def test_failure_is_an_excuse_and_a_pause_is_none(self):
        kill = (Fault(0.0, FaultKind.KILL, "plain-1", 1.0), 9.0, inf)
        assert self.violations(kill) == []
        pause = (Fault(0.0, FaultKind.LONG_PAUSE, "plain-1", 4.0), 9.0, inf)
        assert self.violations(pause) == ["drain end"]

    def test_request_that_no_caller_of_the_soak_sent(self):
        assert self.violations(request_id="") == []

    def test_log_is_read_from_the_last_start_on(self, tmp_path):
        node = Node("entry-1", "entry", "h", 1, FAILURE_DOMAINS[0], tmp_path)
        message = {"message": "request in progress at the end of the drain"}
        ended = json.dumps(message | self.LOGGED) + "\n"
        placed = [json.dumps({"drain_left_ms": left}) + "\n" for left in (None, 900)]
        node.process.log.write_text(ended)
        node.files_at_start = FileState.of(node.process.log, tmp_path / "data")
        checker = InvariantChecker("account")
        checker.record_sent(SENT)
        node.check_drain_ends(checker)
        assert not checker.findings
        with open(node.process.log, "a") as log:
            log.writelines([*placed, ended])
        node.check_drain_ends(checker)
        assert [finding.invariant for finding in checker.findings] == ["drain end"]
        assert checker.check_counts["sent in drain"] == 1


class TestLongStreams:
    LONG = SENT._replace(path=LONG_PATH, at_s=10.0, limit_s=6.0)

    @pytest.mark.parametrize("pause", [None, (11.0, 12.0)])
    @pytest.mark.parametrize("sent", [LONG, SENT])
    @pytest.mark.parametrize("ended_s", [15.5, 15.9])
    def test_only_their_own_time_limit_may_cut_them(self, sent, ended_s, pause):
        checker = InvariantChecker("account")
        checker.record_sent(sent)
        checker.pauses += [pause] if pause else []
        checker.faults = [(Fault(0.0, FaultKind.TERM, "entry-1", 1.0), 9.0, 20.0)]
        ran = Execution("id", "i-1", "POST", sent.path, b"body", "account", False, 10.1)
        checker.record_execution(ran)
        checker.record_result(RequestResult("id", ended_s, 200, False, False))
        checker.check_final()
        found = {finding.invariant for finding in checker.findings}
        is_allowed = sent is self.LONG and ended_s == 15.9
        assert found == (set() if is_allowed else {"cut", *(["paused"] * bool(pause))})

    def test_each_takes_its_own_time(self):
        lengths_s = [
            EVENTS_PER_STREAM * event_interval_s(LONG_PATH, f"id-{number}", 0.03)
            for number in range(200)
        ]
        assert LONG_STREAM_S[0] <= min(lengths_s) < 2.2
        assert 4.3 < max(lengths_s) <= LONG_STREAM_S[1]
        (kind,) = LONG_STREAMS
        assert kind.limit_s > LONG_STREAM_S[1]

    def test_engines_pause_once_late_in_each_stop_of_an_entry(self):
        for seed in range(20):
            others = add_stops([], seed, 30, SHAPE)
            ends = draw_faults(seed, 30, SHAPE, calm=True)
            ends = [fault for fault in ends if fault.kind in VERSION_END_KINDS]
            faults = add_end_pauses([*others, *ends], seed, SHAPE)
            pauses = [fault for fault in faults if fault not in others]
            assert [fault for fault in faults if fault in others] == others
            assert {fault.kind for fault in pauses} == {FaultKind.PAUSE}
            stops_s = [
                fault.at_s
                for fault in others
                if fault.kind is FaultKind.TERM and fault.name in SHAPE.entries
            ]
            for pause in pauses:
                assert any(
                    END_PAUSE_AFTER_S[0] <= pause.at_s - at_s <= END_PAUSE_AFTER_S[1]
                    for at_s in stops_s
                )
            assert 0 < len(pauses) <= len(stops_s)


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
        sent = [caller.draw_request() for _ in range(50)]
        assert set(checker.sent) == {each.request_id for each in sent}
        assert {each.path for each in checker.sent.values()} == {
            kind.path for kind in REQUEST_KINDS
        }


class TestStreamingCaller:
    def test_next_stream_is_sent_on_the_same_connection_at_once(self):
        checker = InvariantChecker("account")
        server = Server(3)

        async def scenario(port):
            connection = RawCaller("127.0.0.1", port)
            await connection.open()
            caller = StreamingCaller("long-entry-1-0", "entry-1", "h:1", checker)
            await caller.use(connection)
            assert len(connection.responses) == 3
            assert connection.unanswered == ["long-entry-1-0-4"]

        asyncio.run(server.play(scenario))
        assert {each.path for each in checker.sent.values()} == {LONG_PATH}
        assert len(checker.sent) == 4


class TestShortRun:
    def test_no_stream_is_cut_at_the_end_of_a_drain(self, tmp_path):
        options = SeedOptions(5.0, 3, 4, timed=False, long_streams=True)
        run = SoakRun(tmp_path, 1, options)
        names = run.shape.entries
        stops = [Fault(4.0, FaultKind.TERM, name, 0.5) for name in names]
        run.plan = [*stops, Fault(9.2, FaultKind.PAUSE, "", 1.3)]
        outcome = asyncio.run(run.run())
        assert outcome.findings == ()
        assert outcome.checked["sent in drain"] > 0

    def test_stops_lose_no_request(self, tmp_path):
        options = SeedOptions(5.0, 2, 2, timed=False, calm=True, stops=True)
        outcome = asyncio.run(SoakRun(tmp_path, 1, options).run())
        assert outcome.findings == ()
        assert outcome.checked["read"] > 0
