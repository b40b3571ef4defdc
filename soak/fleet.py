"""The real programs as separate processes, each on a loopback address of its own."""

import asyncio
import json
import logging
import os
import random
import shutil
import signal
import socket
import time
from pathlib import Path

from tests.fakes.platform import Listener, Origin
from tests.fleet import ROOT, Process

from soak.network import Network
from soak.plan import Shape
from soak.promises import GRACE_S, Judge
from soak.targets import Announcer, SoakEngine, SoakPlain
from wisteriapulley.consensus import frames

log = logging.getLogger(__name__)

DOMAINS = {"domain-a": "region-a", "domain-b": "region-b", "domain-c": "region-c"}
# Ports that the platform leaves to a process, from the start of its range.
PORTS_EACH = 16
CONTROL_WIRE, SIDECAR_WIRE = 0, 1
FRONTEND, READINESS, CONTROL_PLANE = 8, 9, 10
FIRST_PORTS = (12_000, 20_000)
# Above all ranges: where relays and stand-ins listen.
STAND_IN_PORT, RELAY_PORT = 30_000, 30_001
# A stop signal is followed by a kill, as on the platform, but later: what is late
# is found, and does not end the run.
STOP_S = GRACE_S + 10.0
START_S = 60.0
# A process that ended by itself is started again after this.
RESTART_S = 0.3


class Node:
    """One process of the system.

    Parameters
    ----------
    name : str
        As in the shape.
    role : str
        What `deploy/run.py` starts.
    host : str
        Its address.
    base : int
        First of its ports.
    domain : str
        Its failure domain.
    folder : Path
        Settings, log and data.
    """

    def __init__(
        self, name: str, role: str, host: str, base: int, domain: str, folder: Path
    ):
        self.name = name
        self.role = role
        self.host = host
        self.base = base
        self.domain = domain
        self.data = folder / "data" / name
        self.settings_file = folder / "settings" / f"{name}.toml"
        variables = {
            "WISTERIAPULLEY_CONFIG": str(self.settings_file),
            "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), site_packages()]),
        }
        command = ["-S", "deploy/run.py", role]
        self.process = Process(name, command, folder / f"{name}.log", variables)
        self.incarnation = 0
        self.bootstrap = True
        self.stopping = False
        # Whether it should run now: nothing of the run has taken it down.
        self.wanted = False

    def address(self, offset: int) -> str:
        """Return an address of this process."""
        return f"{self.host}:{self.base + offset}"

    def write_settings(self, seeds: list[str], app: str, stamp: int = 0) -> None:
        """Write the settings file in the platform's format."""
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in DOMAINS.items())
        text = f"""
node-name = "{self.name}"
ip-address = "{self.host}"
zone = "{self.domain}"
region = "{DOMAINS[self.domain]}"
internal-port-range = [{self.base},{self.base + PORTS_EACH - 1}]
seed-nodes = {json.dumps(seeds)}
bootstrap = {str(self.bootstrap).lower()}
data-directory = "{self.data}"
heartbeat-interval-ms = 400
app = "{app}"
service = "model-service"
stamp = {stamp}
[zones]
{zones}
[listen-addresses]
frontend = "{self.address(FRONTEND)}"
readiness = "{self.address(READINESS)}"
control-plane = "{self.address(CONTROL_PLANE)}"
[limits]
link-mbps = 8.0
[fault-tolerance]
machines = 1
[bounds]
grace-period-s = {GRACE_S:.0f}
version_ms = 8000
"""
        part = self.settings_file.with_suffix(".part")
        part.write_text(text)
        part.replace(self.settings_file)

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        popen = self.process.popen
        return popen is not None and popen.poll() is None

    def start(self) -> None:
        """Start it, unless it runs or is being stopped."""
        if self.is_up or self.stopping:
            return
        self.data.mkdir(parents=True, exist_ok=True)
        self.wanted = True
        self.incarnation += 1
        self.process.start()

    def kill(self) -> None:
        """Kill it."""
        self.wanted = False
        if self.is_up:
            self.process.kill()

    async def stop(self, judge: Judge) -> None:
        """Send a stop signal, and wait as long as the platform would, and longer."""
        if not self.is_up or self.stopping:
            return
        self.stopping, self.wanted = True, False
        popen, began_s = self.process.popen, time.monotonic()
        self.process.signal(signal.SIGTERM)
        while popen.poll() is None and time.monotonic() < began_s + STOP_S:
            await asyncio.sleep(0.05)
        ended = popen.poll()
        if ended != -signal.SIGKILL:
            judge.check_stop(self.name, time.monotonic() - began_s, ended)
        self.kill()
        self.stopping = False


def site_packages() -> str:
    """Return where the libraries of this interpreter are."""
    import msgspec

    return str(Path(msgspec.__file__).resolve().parent.parent)


class SoakFleet:
    """All processes, stand-ins and the network between them.

    Parameters
    ----------
    folder : Path
        Settings, logs and data.
    shape : Shape
        How many of each.
    judge : Judge
        Told of what targets run.
    seed : int
        Of addresses and choices.
    """

    def __init__(self, folder: Path, shape: Shape, judge: Judge, seed: int):
        self.folder = folder
        self.shape = shape
        self.judge = judge
        self.rng = random.Random(f"fleet{seed}")
        self.network = Network()
        self.origin = Origin()
        self.engines: dict[str, SoakEngine] = {}
        self.plain: dict[str, SoakPlain] = {}
        self.announcers: dict[str, Announcer] = {}
        self.apps: dict[str, str] = {}
        self.entry_addresses: dict[str, str] = {}
        self.control_addresses: dict[str, str] = {}
        (folder / "settings").mkdir(parents=True)
        *self.block, self.claim = free_block(len(shape.nodes) * PORTS_EACH)
        self.nodes = {
            name: self.new_node(number, name) for number, name in enumerate(shape.nodes)
        }

    def host(self, number: int) -> str:
        """Return the address of one instance of this run."""
        return f"{self.block[0]}.{number // 200 + 1}.{number % 200 + 1}"

    def new_node(self, number: int, name: str) -> Node:
        """Make one process, in the domains by turns."""
        role, _, position = name.partition("-")
        domain = sorted(DOMAINS)[int(position) % len(DOMAINS)]
        base = self.block[1] + number * PORTS_EACH
        return Node(name, role, self.host(number), base, domain, self.folder)

    @property
    def seeds(self) -> list[str]:
        """Addresses of the control instances, as settings name them."""
        names = self.shape.controls
        return [self.nodes[name].address(CONTROL_PLANE) for name in names]

    def controls(self) -> list[str]:
        """Return where operators and targets reach control instances, shuffled."""
        addresses = list(self.control_addresses.values())
        self.rng.shuffle(addresses)
        return addresses

    # -- start and end ---------------------------------------------------

    async def start(self) -> None:
        """Start stand-ins, relays and processes, and wait until entries serve."""
        await self.start_targets()
        await self.connect_nodes()
        for name, node in self.nodes.items():
            node.write_settings(self.seeds, self.apps.get(name, ""))
            node.start()
        for announcer in self.announcers.values():
            announcer.start()

    async def start_targets(self) -> None:
        """Start the stand-ins, each behind a relay."""
        count = len(self.shape.nodes)
        await self.origin.start(self.host(count), STAND_IN_PORT)
        self.origin.address = await self.relayed("origin", self.origin)
        for name in self.shape.sidecars:
            engine = self.engines[name] = SoakEngine(self.origin, self.judge, name)
            self.apps[name] = await self.announced(name, engine, self.nodes[name].host)
            self.announcers[name].domain = self.nodes[name].domain
        for number, name in enumerate(self.shape.plain):
            plain = self.plain[name] = SoakPlain(self.judge, name)
            await self.announced(name, plain, self.host(count + 1 + number))

    async def announced(self, name: str, target: Listener, host: str) -> str:
        """Start a target and its announcer; return where others reach it."""
        await target.start(host, STAND_IN_PORT)
        address = await self.relayed(f"{name}-target", target)
        domain = sorted(DOMAINS)[len(self.announcers) % len(DOMAINS)]
        self.announcers[name] = Announcer(target, address, domain, self.controls)
        return address

    async def relayed(self, name: str, listener: Listener) -> str:
        """Put a relay in front of a stand-in."""
        host = listener.address.rpartition(":")[0]
        return await self.network.add("", name, host, RELAY_PORT, STAND_IN_PORT)

    async def connect_nodes(self) -> None:
        """Put a relay behind every port on which one process expects another."""
        for caller in self.nodes.values():
            for name in self.shape.controls:
                await self.connect(caller, self.nodes[name], CONTROL_WIRE)
            if caller.role == "entry":
                for name in self.shape.sidecars:
                    await self.connect(caller, self.nodes[name], SIDECAR_WIRE)
        for name in self.shape.entries:
            address = await self.outside(self.nodes[name], FRONTEND)
            self.entry_addresses[name] = address
        for name in self.shape.controls:
            address = await self.outside(self.nodes[name], CONTROL_PLANE)
            self.control_addresses[name] = address

    async def connect(self, caller: Node, callee: Node, offset: int) -> None:
        """Relay from where `caller` expects `callee` to where it listens."""
        if caller is callee:
            return
        await self.network.add(
            caller.name,
            callee.name,
            callee.host,
            caller.base + offset,
            callee.base + offset,
        )

    async def outside(self, node: Node, offset: int) -> str:
        """Relay from callers, operators and targets to a process."""
        port = node.base + offset
        return await self.network.add(
            "", node.name, node.host, RELAY_PORT + offset, port
        )

    async def stop(self) -> None:
        """End everything that this run started."""
        for node in self.nodes.values():
            node.process.signal(signal.SIGCONT)
            node.kill()
        for announcer in self.announcers.values():
            await announcer.stop()
        for target in (*self.engines.values(), *self.plain.values(), self.origin):
            await target.stop()
        await self.network.stop()
        self.claim.close()

    # -- harm ------------------------------------------------------------

    def rewrite(self, name: str, bootstrap: bool | None = None) -> None:
        """Write a process's settings anew."""
        node = self.nodes[name]
        if bootstrap is not None:
            node.bootstrap = bootstrap
        stamp = self.rng.randrange(1 << 30)
        node.write_settings(self.seeds, self.apps.get(name, ""), stamp)

    def wipe(self, name: str) -> None:
        """Kill a control instance and empty its disk."""
        node = self.nodes[name]
        node.kill()
        shutil.rmtree(node.data)
        self.rewrite(name, bootstrap=False)

    def tear(self, name: str) -> None:
        """Kill a control instance as if a write that was not synced was torn.

        Its log then ends in the beginning of a frame, or in bytes that never
        reached the disk and read as zeros. Other bytes no torn write leaves, and
        one that is down already writes none.
        """
        node = self.nodes[name]
        was_up = node.is_up
        node.kill()
        path = node.data / "log"
        if not was_up or not path.exists():
            return
        first = next(frames.scan(path.read_bytes()), None)
        torn = bytes(self.rng.randint(8, 64))
        if first is not None and self.rng.random() < 0.5:
            torn = path.read_bytes()[: self.rng.randint(1, first.end - 1)]
        with open(path, "ab") as file:
            file.write(torn)

    async def supervise(self) -> None:
        """Start again what ended by itself, as the platform does; it is a finding."""
        while True:
            await asyncio.sleep(RESTART_S)
            for node in self.nodes.values():
                if node.wanted and not node.is_up:
                    status = node.process.popen.returncode
                    self.judge.found("own exit", f"{node.name} ended with {status}")
                    node.start()

    def resident_bytes(self) -> int:
        """Return the memory of all processes."""
        running = [node for node in self.nodes.values() if node.is_up]
        return sum(node.process.resident_bytes() for node in running)


def free_block(ports: int) -> tuple[str, int, socket.socket]:
    """Return the start of a loopback network, and a port range that is free on it.

    The socket keeps the network from other runs until it is closed.
    """
    chooser = random.SystemRandom()
    while True:
        network = f"127.{chooser.randint(16, 240)}"
        first = chooser.randrange(*FIRST_PORTS)
        if first + ports >= STAND_IN_PORT or not is_free(f"{network}.1.1", first):
            continue
        claim = socket.socket()
        try:
            claim.bind((f"{network}.255.254", STAND_IN_PORT))
        except OSError:
            claim.close()
            continue
        return network, first, claim


def is_free(host: str, port: int) -> bool:
    """Tell whether nobody listens there."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
