"""Relay, checks of the promises, and a few cells of the fault matrix."""

import asyncio
import json

import pytest

from tests.fakes.caller import Outcome
from tests.matrix.broken import BUILDS
from tests.matrix.callers import SendRecord
from tests.matrix.cell import MATRIX, Cell, all_cells, run_cell
from tests.matrix.faults import FAULTS
from tests.matrix.promises import (
    PROMISES,
    AcceptedChange,
    CellLog,
    GracefulStop,
    RevisionSample,
    check_promises,
)
from tests.matrix.relayed_fleet import RelayedFleet
from tests.matrix.steps import STEPS
from tests.relay import Relay

V1, V2 = "1" * 64, "2" * 64
SMOKE_CELLS = [Cell(("cut",), "copy"), Cell(("sigterm",), "stream")]
SMOKE_CELLS += [Cell(("operators_race",), "accept"), Cell(("freeze",), "claim")]


def send_record(name="n", status=200, not_run=False, **values):
    outcome = Outcome(name, "a", "", status, 0, not_run, True, True, "", 0.0)
    return SendRecord(1.0, 2.0, outcome._replace(**values))


def run_record(name="n", engine="engine-1", version=V1, end=V1, key="", at=1.5):
    names = ("prompt", "engine", "version", "version_at_end", "key", "started_at")
    values = (name, engine, version, end, key, at)
    return {**dict(zip(names, values, strict=True)), "account": "a"}


def cell_log(sends=None, runs=None, **values):
    sends = [send_record()] if sends is None else sends
    runs = [run_record()] if runs is None else runs
    clean = CellLog(
        len({s.outcome.name for s in sends}),
        sends,
        runs,
        {"", V1, V2},
        [],
        False,
        [AcceptedChange("c", 2, 10.0)],
        [RevisionSample(11.0, "control-1", "entry-1", "d", 2)],
        {},
        set(),
        [],
    )
    return clean._replace(**values)


STOP = GracefulStop("engine-1", "sidecar", 1.4, 9.0)
VIOLATIONS = [
    ("whole_weights", cell_log(runs=[run_record(end=V2)])),
    ("whole_weights", cell_log(runs=[run_record(version="3" * 64, end="3" * 64)])),
    ("own_whole_answer", cell_log([send_record(own_answer=False)])),
    ("own_whole_answer", cell_log([send_record(complete=False)])),
    ("own_whole_answer", cell_log([send_record(status=0)])),
    ("own_whole_answer", cell_log(runs=[])),
    ("own_whole_answer", cell_log(request_count=2)),
    ("not_run", cell_log([send_record(status=503, not_run=True)])),
    (
        "at_most_once",
        cell_log(runs=[run_record(key="k"), run_record(key="k", engine="engine-2")]),
    ),
    ("leaving", cell_log(runs=[run_record(at=5.0)], stops=[STOP])),
    ("graceful", cell_log([send_record(status=0)], stops=[STOP])),
    ("configuration", cell_log(operator_errors=["two racing changes were accepted"])),
    (
        "configuration",
        cell_log(revision_samples=[RevisionSample(30.0, "c", "entry-1", "d", 2)]),
    ),
    (
        "configuration",
        cell_log(
            revision_samples=[RevisionSample(11.0, "c", "n", "d", r) for r in (2, 1)]
        ),
    ),
]


class TestPromises:
    def test_clean_log_holds_all_applicable_promises(self):
        states = {
            name: found.state for name, found in check_promises(cell_log()).items()
        }
        applies = {name for name, state in states.items() if state == "held"}
        assert applies == set(PROMISES) - {"leaving", "graceful"}

    @pytest.mark.parametrize(("promise", "broken"), VIOLATIONS)
    def test_check_detects_violation(self, promise, broken):
        assert check_promises(broken)[promise].state == "broken"


class TestRelay:
    @pytest.mark.parametrize("act", ["hold", "silence", "cut"])
    def test_fault_stops_traffic_and_new_connections_work_after_heal(self, act):
        async def run():
            async def echo(reader, writer):
                while data := await reader.read(100):
                    writer.write(data)

            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            relay = Relay(f"127.0.0.1:{port}")
            await relay.start()
            ends = relay.address.split(":")
            reader, writer = await asyncio.open_connection(*ends)
            writer.write(b"before")
            assert await reader.read(100) == b"before"
            getattr(relay, act)()
            writer.write(b"during")
            reading = asyncio.create_task(reader.read(100))
            done, _ = await asyncio.wait({reading}, timeout=0.1)
            assert not done or reading.exception() or reading.result() == b""
            relay.heal()
            if act == "hold":
                assert await reading == b"during"
            reading.cancel()
            other_reader, other = await asyncio.open_connection(*ends)
            other.write(b"after")
            assert await other_reader.read(100) == b"after"
            await relay.stop()
            server.close()

        asyncio.run(run())


class TestMatrix:
    def test_data_files_match_code(self):
        assert set(MATRIX["faults"]) == set(FAULTS)
        assert MATRIX["steps"] == list(STEPS)
        assert {build["promise"] for build in BUILDS.values()} == set(PROMISES)
        assert len({cell.name for cell in all_cells()}) == len(list(all_cells()))

    def test_smoke_cells_hold(self, tmp_path):
        async def run():
            fleet = RelayedFleet(tmp_path / "fleet")
            try:
                await fleet.start()
                return [
                    await run_cell(fleet, cell, number, 1)
                    for number, cell in enumerate(SMOKE_CELLS)
                ]
            finally:
                await fleet.close()

        results = asyncio.run(run())
        found = {r.cell: r.promises for r in results}
        broken = [
            (cell, promise, judgement.reason)
            for cell, promises in found.items()
            for promise, judgement in promises.items()
            if judgement.state in ("broken", "not_run")
        ]
        assert not broken, json.dumps(broken, indent=1)
