import asyncio
import json
import shutil
import signal
import time
import urllib.error
import urllib.request

import pytest

from tests.fleet import Fleet

OWNER = "lettercraft"


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    try:
        fleet.start_control(["galway", "swords", "belfast"])
        asyncio.run(fleet.wait_ready())
        yield fleet
    finally:
        fleet.stop()


def members(fleet):
    options = fleet.operator_options(OWNER)
    return json.loads(fleet.run_cli("control", "members", *options))


def get_status(node, path):
    """Send a GET request to one instance; return the HTTP status."""
    token = "lettercraft-token-0123456789"
    headers = {"Authorization": f"Bearer {token}"}
    request = urllib.request.Request(node.http + path, headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code


def settings_path(fleet, name):
    return str(fleet.folder / "settings" / f"{name}.json")


def wait_until(condition):
    end = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.05)


class TestControlInstances:
    def test_lost_disk_rejoins_with_a_new_identity(self, fleet):
        before = members(fleet)
        leader = before["leader"]
        lost = next(name for name in fleet.nodes if name != leader)
        node = fleet.nodes[lost]
        node.process.kill()
        shutil.rmtree(node.settings["data_folder"])
        (fleet.folder / "data" / lost).mkdir()
        # An instance with an empty folder does not start, and `control init` refuses to
        # create a second cluster.
        node.process.start()
        assert node.process.popen.wait(10) == 1
        assert "WP103" in node.process.log.read_text()
        with pytest.raises(RuntimeError, match="WP605"):
            fleet.run_cli("control", "init", settings_path(fleet, lost))
        fleet.run_cli("control", "join", settings_path(fleet, lost))
        node.process.start()
        asyncio.run(fleet.wait_ready([lost]))
        after = {m["node_id"]: m for m in members(fleet)["members"]}
        old = {m["node_id"]: m for m in before["members"]}
        assert len(after) == 3
        assert all(member["votes"] for member in after.values())
        assert after[lost]["identity"] != old[lost]["identity"]
        # The cluster tolerates the loss of a second instance right after the repair.
        fleet.nodes[leader].process.kill()
        wait_until(lambda: members(fleet)["leader"] not in ("", leader))

    def test_stopped_leader_transfers_leadership_and_removed_one_stays_out(self, fleet):
        leader = members(fleet)["leader"]
        assert fleet.nodes[leader].process.terminate() == 0
        after = members(fleet)
        assert after["leader"] != leader
        assert after["term"] == 2
        options = fleet.operator_options(OWNER)
        fleet.run_cli("control", "remove", leader, *options)
        fleet.nodes[leader].process.start()
        time.sleep(1)
        assert leader not in [m["node_id"] for m in members(fleet)["members"]]
        with pytest.raises(RuntimeError, match="WP606"):
            fleet.run_cli("control", "remove", leader, *options)

    def test_running_leader_transfers_leadership_and_is_removed(self, fleet):
        leader = members(fleet)["leader"]
        fleet.run_cli("control", "remove", leader, *fleet.operator_options(OWNER))
        after = members(fleet)
        assert after["leader"] not in ("", leader)
        assert leader not in [m["node_id"] for m in after["members"]]

    def test_leader_serves_no_reads_after_a_freeze(self, fleet):
        before = members(fleet)
        frozen = fleet.nodes[before["leader"]]
        others = [node for node in fleet.nodes.values() if node is not frozen]
        frozen.process.signal(signal.SIGSTOP)
        path = "/v1/control/members"
        wait_until(lambda: 200 in [get_status(node, path) for node in others])
        frozen.process.signal(signal.SIGCONT)
        # Holds whether it has already received a message of the new term or not.
        assert get_status(frozen, path) == 503
        after = members(fleet)
        assert after["leader"] != before["leader"]
        assert after["term"] > before["term"]
