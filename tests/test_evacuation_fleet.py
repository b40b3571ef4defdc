"""Evacuation orders across control instances that are killed, cut off or restarted."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from tests.fleet import Fleet
from tests.test_control_isolated import STEP_MS, cluster  # noqa: F401
from tests.test_operators import VALID_HEADERS, FakeService, send
from wisteriapulley.control.commands import order_evacuation
from wisteriapulley.control.control_api import ControlApi
from wisteriapulley.control.evacuations import EvacuationOrder

DOMAINS = ["galway", "swords", "belfast"]
REGIONS = {"galway": "west", "swords": "east", "belfast": "north"}


class TestLostLeader:
    def test_order_replicated_by_a_leader_that_is_lost_is_kept(self, cluster):  # noqa: F811
        """It was committed and not acknowledged; so was nothing that came after it."""

        async def scenario():
            await cluster.advance_ms(4000)
            lost = cluster.leader()
            order = order_evacuation(EvacuationOrder("galway", True))
            unacknowledged = asyncio.ensure_future(lost.propose(order))
            await asyncio.sleep(0)
            await cluster.advance_ms(STEP_MS)
            cluster.isolated = lost.settings.node_id
            await cluster.advance_ms(6000)
            unacknowledged.cancel()
            leader = cluster.leader()
            assert leader is not lost
            assert leader.state.evacuations.evacuated == ("galway",)
            known = leader.state.evacuations.state_of("galway").revision
            (resent,) = await cluster.commit(order)
            assert resent.evacuated
            assert leader.state.evacuations.state_of("galway").revision == known
            end = order_evacuation(EvacuationOrder("galway", False, known))
            (ended,) = await cluster.commit(end)
            assert ended.evacuated is False
            # A copy of the first order, delayed in the link of the lost leader.
            (late,) = await cluster.commit(order)
            assert late.evacuated is False
            cluster.isolated = ""
            await cluster.advance_ms(4000)

        asyncio.run(scenario())
        states = [driver.state for driver in cluster.drivers.values()]
        assert len({state.snapshot() for state in states}) == 1
        assert states[0].evacuations.evacuated == ()


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    try:
        fleet.start_control(DOMAINS, failure_domain_regions=REGIONS)
        asyncio.run(fleet.wait_ready())
        yield fleet
    finally:
        fleet.stop()


def evacuate(fleet, *arguments):
    options = fleet.operator_options("lettercraft")
    return fleet.run_cli("evacuate", *arguments, *options).strip()


class TestRestarts:
    def test_order_outlives_the_kill_and_the_restart_of_all(self, fleet):
        assert evacuate(fleet, "swords", "--status") == "evacuated: none"
        assert evacuate(fleet, "swords") == "evacuated: swords"
        for node in fleet.nodes.values():
            node.process.kill()
        for node in fleet.nodes.values():
            node.process.start()
        asyncio.run(fleet.wait_ready())
        assert evacuate(fleet, "--status") == "evacuated: swords"
        options = fleet.operator_options("lettercraft")
        deadline_s = time.monotonic() + 20
        shown = ""
        while "evacuated failure domains: swords" not in shown:
            assert time.monotonic() < deadline_s
            shown = fleet.run_cli("catalogue", "status", *options)
        assert evacuate(fleet, "swords") == "evacuated: swords"
        assert evacuate(fleet, "swords", "--end") == "evacuated: none"
        assert evacuate(fleet, "--status") == "evacuated: none"

    def test_unknown_domain_names_the_known_ones(self, fleet):
        with pytest.raises(RuntimeError, match="WP210.*belfast, galway, swords"):
            evacuate(fleet, "elsewhere")


class EvacuationService(FakeService):
    """The fake control service with what evacuation orders need of it."""

    def __init__(self, has_quorum=True):
        super().__init__(has_quorum)
        self.api = ControlApi(self)
        self.publisher = self
        self.known_failure_domains = lambda: set(DOMAINS)
        self.members = SimpleNamespace(view={})


class TestOperators:
    PATH = "/v1/evacuations/galway"

    def request(self, service, method, path=PATH, headers=VALID_HEADERS):
        status, _, answer = send(service, b"", headers, method, path)
        return status, answer

    def test_order_and_withdrawal(self):
        service = EvacuationService()
        for _ in range(2):
            answer = self.request(service, "put")
            assert answer == (200, {"evacuated": ["galway"]})
        answer = self.request(service, "get", "/v1/evacuations")
        assert answer == (200, {"evacuated": ["galway"]})
        assert self.request(service, "delete") == (200, {"evacuated": []})

    def test_without_a_token_nothing_is_accepted(self):
        service = EvacuationService()
        for method in ("put", "delete", "get"):
            path = "/v1/evacuations" if method == "get" else self.PATH
            assert self.request(service, method, path, {})[0] == 401
        assert service.state.evacuations.domains == {}

    def test_without_a_quorum_the_caller_resends(self):
        service = EvacuationService(has_quorum=False)
        status, answer = self.request(service, "put")
        assert (status, answer["error"]["code"]) == (503, 206)

    def test_command_needs_a_failure_domain_or_status(self, tmp_path, capsys):
        from wisteriapulley import cli

        (tmp_path / "token").write_text("t")
        options = ["--control", "127.0.0.1:1", "--token-file", str(tmp_path / "token")]
        assert cli.main(["evacuate", *options]) == 1
        assert "--status" in capsys.readouterr().err
