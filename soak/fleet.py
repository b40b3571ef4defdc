"""Runs the real programs as processes, each on its own loopback address."""

import asyncio
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import time
from functools import partial
from pathlib import Path

from tests.fakes.platform import Listener, Origin, PausingTarget
from tests.fleet import ROOT, Process

from soak.crashing_parts import RESTART_S
from soak.invariants import STOP_GRACE_S, VERSION_GRACE_S, InvariantChecker
from soak.network import Network
from soak.plan import FAILURE_DOMAINS, FleetShape, draw_late_readers
from soak.targets import HeartbeatSender, SoakEngine, SoakPlainTarget
from soak.traces import FileState, has_run_a_line
from wisteriapulley.consensus import frames

log = logging.getLogger(__name__)

FAILURE_DOMAIN_REGIONS = {
    domain: domain.replace("domain", "region") for domain in FAILURE_DOMAINS
}
# Number of ports in the range that the platform gives to a process. The offsets of
# its listeners from the first port follow.
PORTS_PER_NODE = 16
CONTROL_WIRE_OFFSET, SIDECAR_WIRE_OFFSET = 0, 1
FRONTEND_OFFSET, READINESS_OFFSET, CONTROL_PLANE_OFFSET = 8, 9, 10
FIRST_PORT_RANGE = (12_000, 20_000)
# Ports of relays and fakes, above all ranges.
FAKE_PORT, RELAY_PORT = 30_000, 30_001
# A process that does not end after a stop signal is killed, as on the platform. The
# kill comes later than there, so that a late end is a finding and the run continues.
STOP_TIMEOUT_S = STOP_GRACE_S + 10.0
START_TIMEOUT_S = 60.0
# Memory of the smallest instances that each role runs on; the platform kills a process
# that uses more.
MEMORY_LIMITS = {"control": 160 << 20, "entry": 160 << 20, "sidecar": 128 << 20}
MEMORY_INTERVAL_S = 0.05
# What an entry logs of a request that is sent in a drain, or in progress at its end.
SENT_IN_DRAIN = re.compile(rb'"drain_left_ms": \d').search
DRAIN_END = b'"request in progress at the end of the drain"'
# A process that ended by itself is restarted within this time.
RESTART_DELAY_S = 0.3


class Node:
    """A process of the system.

    Parameters
    ----------
    name : str
        Its name in the fleet's shape.
    role : str
        Role that `deploy/run.py` starts.
    host : str
        Its IP address.
    first_port : int
        First port of its range.
    failure_domain : str
        Its failure domain.
    folder : Path
        Holds its settings, log and data.
    """

    def __init__(
        self,
        name: str,
        role: str,
        host: str,
        first_port: int,
        failure_domain: str,
        folder: Path,
    ):
        self.name = name
        self.role = role
        self.host = host
        self.first_port = first_port
        self.failure_domain = failure_domain
        self.data = folder / "data" / name
        self.settings_file = folder / "settings" / f"{name}.toml"
        variables = {
            "WISTERIAPULLEY_CONFIG": str(self.settings_file),
            "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), site_packages()]),
        }
        command = ["-S", "deploy/run.py", role]
        self.process = Process(name, command, folder / f"{name}.log", variables)
        self.incarnation = 0
        self.files_at_start: FileState | None = None
        self.bootstrap = True
        self.stopping = False
        # Whether it should be running: no fault has stopped it.
        self.should_run = False

    def address(self, offset: int) -> str:
        """Return the address of the listener at an offset in the port range."""
        return f"{self.host}:{self.first_port + offset}"

    def write_settings(self, seeds: list[str], app: str, stamp: int = 0) -> None:
        """Write the settings file atomically in the platform's format."""
        zones = "\n".join(
            f'{zone} = "{region}"' for zone, region in FAILURE_DOMAIN_REGIONS.items()
        )
        text = f"""
node-name = "{self.name}"
ip-address = "{self.host}"
zone = "{self.failure_domain}"
region = "{FAILURE_DOMAIN_REGIONS[self.failure_domain]}"
internal-port-range = [{self.first_port},{self.first_port + PORTS_PER_NODE - 1}]
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
frontend = "{self.address(FRONTEND_OFFSET)}"
readiness = "{self.address(READINESS_OFFSET)}"
control-plane = "{self.address(CONTROL_PLANE_OFFSET)}"
[limits]
link-mbps = 8.0
[fault-tolerance]
machines = 1
[bounds]
grace-period-s = {STOP_GRACE_S:.0f}
version_ms = {VERSION_GRACE_S * 1000:.0f}
"""
        part = self.settings_file.with_suffix(".part")
        part.write_text(text)
        part.replace(self.settings_file)

    @property
    def is_up(self) -> bool:
        """Whether the process is running."""
        popen = self.process.popen
        return popen is not None and popen.poll() is None

    def start(self) -> None:
        """Start the process unless it is running or being stopped."""
        if self.is_up or self.stopping:
            return
        self.data.mkdir(parents=True, exist_ok=True)
        self.should_run = True
        self.incarnation += 1
        self.files_at_start = FileState.of(self.process.log, self.data)
        self.process.start()

    def kill(self) -> None:
        """Kill the process; it should not run afterwards."""
        self.should_run = False
        if self.is_up:
            self.process.kill()

    async def stop(self, checker: InvariantChecker) -> None:
        """Send a stop signal, check how the process ends, and kill it if it does not.

        Waits longer than the platform does. A process that stops gets one more signal.
        """
        if self.stopping:
            self.process.signal(signal.SIGTERM)
        if not self.is_up or self.stopping:
            return
        self.stopping, self.should_run = True, False
        popen, began_s = self.process.popen, time.monotonic()
        had_run = has_run_a_line(popen.pid)
        self.process.signal(signal.SIGTERM)
        while popen.poll() is None and time.monotonic() < began_s + STOP_TIMEOUT_S:
            await asyncio.sleep(0.05)
        ended = popen.poll()
        if ended != -signal.SIGKILL:
            wrote = FileState.of(self.process.log, self.data) != self.files_at_start
            checker.check_stop(
                self.name, time.monotonic() - began_s, ended, had_run or wrote
            )
        self.check_drain_ends(checker)
        self.kill()
        self.stopping = False

    def check_drain_ends(self, checker: InvariantChecker) -> None:
        """Check what its log tells of requests at the end of a drain."""
        with open(self.process.log, "rb") as file:
            file.seek(self.files_at_start.log_bytes)
            for line in file:
                checker.check_counts["sent in drain"] += bool(SENT_IN_DRAIN(line))
                if DRAIN_END in line:
                    checker.check_drain_end(self.name, json.loads(line))


def site_packages() -> str:
    """Return the folder of this interpreter's installed libraries."""
    import msgspec

    return str(Path(msgspec.__file__).resolve().parent.parent)


class SoakFleet:
    """All processes and fakes, and the network between them.

    Parameters
    ----------
    folder : Path
        Holds settings, logs and data.
    shape : FleetShape
        Names of the processes and targets.
    checker : InvariantChecker
        Records what targets run and how processes end.
    seed : int
        Seeds the fleet's random choices.
    """

    def __init__(
        self, folder: Path, shape: FleetShape, checker: InvariantChecker, seed: int
    ):
        self.folder = folder
        self.shape = shape
        self.checker = checker
        self.rng = random.Random(f"fleet{seed}")
        self.late_readers = draw_late_readers(seed, shape)
        self.network = Network()
        self.origin = Origin()
        self.engines: dict[str, SoakEngine] = {}
        self.plain_targets: dict[str, SoakPlainTarget] = {}
        self.heartbeat_senders: dict[str, HeartbeatSender] = {}
        self.apps: dict[str, str] = {}
        self.restarts: list[asyncio.Task] = []
        self.entry_addresses: dict[str, str] = {}
        self.control_addresses: dict[str, str] = {}
        (folder / "settings").mkdir(parents=True)
        *self.network_block, self.reservation = reserve_network(
            len(shape.nodes) * PORTS_PER_NODE
        )
        self.nodes = {
            name: self.new_node(number, name) for number, name in enumerate(shape.nodes)
        }

    def host(self, number: int) -> str:
        """Return the IP address of an instance in this run's network."""
        return f"{self.network_block[0]}.{number // 200 + 1}.{number % 200 + 1}"

    def new_node(self, number: int, name: str) -> Node:
        """Create a process; failure domains are assigned round-robin."""
        role, _, position = name.partition("-")
        domain = sorted(FAILURE_DOMAIN_REGIONS)[
            int(position) % len(FAILURE_DOMAIN_REGIONS)
        ]
        base = self.network_block[1] + number * PORTS_PER_NODE
        return Node(name, role, self.host(number), base, domain, self.folder)

    @property
    def seed_nodes(self) -> list[str]:
        """Addresses of the control instances as the settings list them."""
        names = self.shape.controls
        return [self.nodes[name].address(CONTROL_PLANE_OFFSET) for name in names]

    def shuffled_controls(self) -> list[str]:
        """Return the control addresses for operators and targets in random order."""
        addresses = list(self.control_addresses.values())
        self.rng.shuffle(addresses)
        return addresses

    # -- start and end ---------------------------------------------------

    async def start(self) -> None:
        """Start fakes, relays, processes and heartbeats."""
        log.info("read requests only after a silence: %s", sorted(self.late_readers))
        await self.start_targets()
        await self.connect_nodes()
        for name, node in self.nodes.items():
            node.write_settings(self.seed_nodes, self.apps.get(name, ""))
            node.start()
        for name, announcer in self.heartbeat_senders.items():
            self.checker.failure_domains[name] = announcer.failure_domain
            announcer.start()

    async def start_targets(self) -> None:
        """Start the origin, engines and plain targets, each behind a relay."""
        count = len(self.shape.nodes)
        await self.origin.start(self.host(count), FAKE_PORT)
        self.origin.address = await self.add_relay("origin", self.origin)
        for name in self.shape.sidecars:
            engine = self.engines[name] = SoakEngine(self.origin, self.checker, name)
            self.apps[name] = await self.start_target(
                name, engine, self.nodes[name].host
            )
            self.heartbeat_senders[name].failure_domain = self.nodes[
                name
            ].failure_domain
            engine.exit = partial(self.exit_engine, name)
        for number, name in enumerate(self.shape.plain_targets):
            plain = self.plain_targets[name] = SoakPlainTarget(self.checker, name)
            await self.start_target(name, plain, self.host(count + 1 + number))

    async def start_target(self, name: str, target: PausingTarget, host: str) -> str:
        """Start a target, create its heartbeat sender, and return its address."""
        target.counts_silence = name not in self.late_readers
        await target.start(host, FAKE_PORT)
        address = await self.add_relay(f"{name}-target", target)
        domain = sorted(FAILURE_DOMAIN_REGIONS)[
            len(self.heartbeat_senders) % len(FAILURE_DOMAIN_REGIONS)
        ]
        self.heartbeat_senders[name] = HeartbeatSender(
            target, address, domain, self.shuffled_controls
        )
        return address

    async def add_relay(self, name: str, listener: Listener) -> str:
        """Add a relay in front of a fake; return its address."""
        host = listener.address.rpartition(":")[0]
        return await self.network.add("", name, host, RELAY_PORT, FAKE_PORT)

    async def connect_nodes(self) -> None:
        """Add a relay for every address at which one process expects another."""
        for caller in self.nodes.values():
            for name in self.shape.controls:
                await self.connect(caller, self.nodes[name], CONTROL_WIRE_OFFSET)
            if caller.role == "entry":
                for name in self.shape.sidecars:
                    await self.connect(caller, self.nodes[name], SIDECAR_WIRE_OFFSET)
        for name in self.shape.entries:
            address = await self.expose(self.nodes[name], FRONTEND_OFFSET)
            self.entry_addresses[name] = address
        for name in self.shape.controls:
            address = await self.expose(self.nodes[name], CONTROL_PLANE_OFFSET)
            self.control_addresses[name] = address

    async def connect(self, caller: Node, callee: Node, offset: int) -> None:
        """Relay from where `caller` expects `callee` to where `callee` listens."""
        if caller is callee:
            return
        await self.network.add(
            caller.name,
            callee.name,
            callee.host,
            caller.first_port + offset,
            callee.first_port + offset,
        )

    async def expose(self, node: Node, offset: int) -> str:
        """Add a relay from callers, operators and targets; return its address."""
        port = node.first_port + offset
        return await self.network.add(
            "", node.name, node.host, RELAY_PORT + offset, port
        )

    async def stop(self) -> None:
        """Stop all processes, fakes and relays, and release the network."""
        for node in self.nodes.values():
            node.process.signal(signal.SIGCONT)
            node.kill()
        await asyncio.gather(*self.restarts)
        for announcer in self.heartbeat_senders.values():
            await announcer.stop()
        for target in (
            *self.engines.values(),
            *self.plain_targets.values(),
            self.origin,
        ):
            await target.stop()
        await self.network.stop()
        self.reservation.close()

    # -- faults ----------------------------------------------------------

    def rewrite_settings(self, name: str, bootstrap: bool | None = None) -> None:
        """Rewrite the settings file of a process with a new stamp."""
        node = self.nodes[name]
        if bootstrap is not None:
            node.bootstrap = bootstrap
        stamp = self.rng.randrange(1 << 30)
        node.write_settings(self.seed_nodes, self.apps.get(name, ""), stamp)

    def wipe(self, name: str) -> None:
        """Kill a control instance and delete its data."""
        node = self.nodes[name]
        node.kill()
        shutil.rmtree(node.data)
        self.rewrite_settings(name, bootstrap=False)

    def tear_write(self, name: str) -> None:
        """Kill a control instance and leave a torn write at the end of its log.

        The log then ends in the beginning of a frame, or in zeros for bytes that
        never reached the disk. A torn write leaves no other bytes. The log of an
        instance that is already down is not changed, since it writes nothing.
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

    async def pause_targets(self, name: str, pause_s: float) -> None:
        """Pause a target, the targets of a failure domain, or all of them."""
        targets: dict[str, PausingTarget] = {
            target_name: sender.target
            for target_name, sender in self.heartbeat_senders.items()
            if name in ("", target_name, sender.failure_domain)
        }
        began_s = time.monotonic()
        silence = self.checker.begin_silence(targets, began_s)
        pauses = (target.fall_silent(pause_s) for target in targets.values())
        await asyncio.gather(*pauses)
        self.checker.end_silence(silence, time.monotonic())
        self.checker.pauses.append((began_s, time.monotonic()))

    def exit_engine(self, name: str) -> None:
        """Let an engine exit, and start it again at the same address after a while."""
        engine = self.engines[name]
        engine.is_down = True
        engine.crash()
        (path,) = self.network.paths_touching(f"{name}-target")
        path.close_listener()

        async def restart() -> None:
            await asyncio.sleep(RESTART_S)
            await path.reopen()
            engine.is_down = False

        self.restarts.append(asyncio.create_task(restart()))

    async def supervise(self) -> None:
        """Record and restart processes that end by themselves, as the platform does."""
        while True:
            await asyncio.sleep(RESTART_DELAY_S)
            for node in self.nodes.values():
                if node.should_run and not node.is_up:
                    status = node.process.popen.returncode
                    self.checker.add_finding(
                        "own exit", f"{node.name} ended with {status}"
                    )
                    node.start()

    async def watch_memory(self) -> None:
        """Kill and restart processes over their memory limit, as the platform does."""
        while True:
            await asyncio.sleep(MEMORY_INTERVAL_S)
            for node in self.nodes.values():
                if not node.is_up or node.stopping:
                    continue
                resident = node.process.resident_bytes()
                limit = MEMORY_LIMITS[node.role]
                if not self.checker.check_memory(node.name, resident, limit):
                    node.kill()
                    node.start()

    def resident_bytes(self) -> int:
        """Return the resident memory of all running processes."""
        running = [node for node in self.nodes.values() if node.is_up]
        return sum(node.process.resident_bytes() for node in running)


def reserve_network(ports: int) -> tuple[str, int, socket.socket]:
    """Reserve a loopback network with a free port range.

    Returns
    -------
    (str, int, socket.socket)
        First two bytes of the network's addresses, first port, and a socket that
        reserves the network against other runs until it is closed.
    """
    rng = random.SystemRandom()
    while True:
        network = f"127.{rng.randint(16, 240)}"
        first = rng.randrange(*FIRST_PORT_RANGE)
        if first + ports >= FAKE_PORT or not is_port_free(f"{network}.1.1", first):
            continue
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.255.254", FAKE_PORT))
        except OSError:
            reservation.close()
            continue
        return network, first, reservation


def is_port_free(host: str, port: int) -> bool:
    """Return whether an address can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
