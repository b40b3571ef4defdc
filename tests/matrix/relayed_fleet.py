"""Small fleet with a relay on every link."""

import asyncio
import contextlib
import shutil
import time
import uuid

import aiohttp

from tests.fakes.caller import Workload
from tests.fleet import ROOT, TOKENS, Fleet, Node
from tests.matrix.promises import AcceptedChange, RevisionSample
from tests.relay import Relay

OWNER = "aste-riunite-trinacria"
TOKEN = next(token for token, owner in TOKENS.items() if owner == OWNER)
DOMAINS = ["palermo", "catania", "agrigento"]
MODEL_BYTES = 1 << 20
CHUNK_BYTES = 1 << 16
ORIGIN_BYTES_PER_S = 1.5e6
# Small, so that a few dozen changes trigger a snapshot.
SNAPSHOT_BYTES = 16_384
POLL_S = 0.05
LINK_TIMING = {"heartbeat_ms": 200, "silence_ms": 800}
CONTROLS = [f"control-{i}" for i in (1, 2, 3)]
ENTRIES = ["entry-1", "entry-2"]
ENGINES = [f"engine-{i}" for i in (1, 2, 3)]
PLAIN_TARGETS = ["plain-1", "plain-2"]
# engine-2 accepts any fencing number, as some real engines do.
IGNORES_FENCING = "engine-2"

STREAM = Workload("reports", "/v1/completions", True, True, 40, "dealer-1")
LONG_STREAM = Workload("reports", "/v1/completions", True, True, 900, "dealer-1")
UNARY = Workload("reports", "/v1/completions", True, False, 6, "dealer-2")
KEYED_REQUEST = Workload("bids", "/services/bids/bid", False, False, 1, "dealer-3")
PLAIN_REQUEST = Workload("titles", "/services/titles/check", True, False, 1, "dealer-4")
STEADY_WORKLOADS = [STREAM, KEYED_REQUEST, UNARY, PLAIN_REQUEST]


class RelayedFleet(Fleet):
    """Fleet of ten daemons; `relays` is keyed by the link's client and server.

    Parameters
    ----------
    folder : Path
        Folder of this run; emptied first.
    build : str
        Name of a broken build in ``broken.json``; empty for the unchanged source.
    """

    def __init__(self, folder, build: str = ""):
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        super().__init__(folder)
        self.build = build
        self.relays: dict[tuple[str, str], Relay] = {}
        self.wire_addresses: dict[str, str] = {}
        self.entries: dict[str, dict] = {}
        self.versions: set[str] = {""}
        self.weights_seed = 0
        self.revision_samples: list[RevisionSample] = []
        self.status_rows: dict[str, dict] = {}
        self.control_revisions: dict[str, int] = {}
        self.leader = CONTROLS[0]
        self.session: aiohttp.ClientSession | None = None
        self.poll_task: asyncio.Task | None = None

    # -- start -----------------------------------------------------------

    def start_node(self, role: str, settings: dict) -> Node:
        """Add a relay to each link of a daemon, then start it."""
        name = settings["node_id"]
        self.wire_addresses[name] = settings.get("wire_listen", "")
        if "control" in settings:
            settings["control"] = [
                self.add_relay(name, control, wire)
                for control, wire in zip(CONTROLS, settings["control"], strict=True)
            ]
        for peer in settings.get("peers", ()):
            peer["address"] = self.add_relay(name, peer["node_id"], peer["address"])
        if role == "sidecar":
            settings["wire_advertise"] = self.add_relay(
                "any", name, self.wire_addresses[name]
            )
            for key, server in (("target_url", "target"), ("origin_url", "origin")):
                destination = settings[key].removeprefix("http://")
                settings[key] = f"http://{self.add_relay(name, server, destination)}"
        node = super().start_node(role, settings)
        return node

    def start_process(self, name: str, command: list[str]):
        """Start a daemon, from the broken build if one is set."""
        if self.build and command[1] == "wisteriapulley.cli":
            command = ["-m", "tests.matrix.broken", self.build, *command[2:]]
        return super().start_process(name, command)

    def add_relay(self, client: str, server: str, destination: str) -> str:
        """Add a relay for one link and return its address."""
        relay = self.relays[client, server] = Relay(destination)
        return relay.address

    def relays_of(self, node_id: str) -> list[Relay]:
        """Return the relays on the links of a node."""
        return [relay for ends, relay in self.relays.items() if node_id in ends]

    async def start(self) -> None:
        """Start the whole fleet and wait until it is ready."""
        self.session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {TOKEN}"},
            timeout=aiohttp.ClientTimeout(total=5),
        )
        self.start_origin(ORIGIN_BYTES_PER_S)
        self.start_control(DOMAINS, snapshot_bytes=SNAPSHOT_BYTES, **LINK_TIMING)
        engine_options = ("--token-s", "0.005", "--load-s", "0.4")
        for name, domain in zip(ENGINES, DOMAINS, strict=True):
            # Operators set for each target whether its engine checks fencing.
            fences = name != IGNORES_FENCING
            options = (
                engine_options if fences else (*engine_options, "--ignores-fencing")
            )
            self.start_target(
                name, domain, "models", "engine", options, fences=fences, **LINK_TIMING
            )
        for name, domain in zip(PLAIN_TARGETS, DOMAINS, strict=False):
            service_options = ("--work-s", "0.1")
            self.start_target(
                name, domain, "auction", "plain", service_options, **LINK_TIMING
            )
        for name, domain in zip(ENTRIES, DOMAINS, strict=False):
            self.start_entry(name, domain, **LINK_TIMING)
        for relay in self.relays.values():
            await relay.start()
        await self.wait_ready(CONTROLS)
        self.poll_task = asyncio.create_task(self.poll_controls())
        for name, service, extra in (
            ("reports", "models", {"version": self.publish_new_version()}),
            ("bids", "auction", {"idempotent": False}),
            ("titles", "auction", {}),
        ):
            entry = {"name": name, "owner": OWNER, "class": name, "service": service}
            self.entries[name] = entry | extra
            await self.submit_change(name)
        await self.wait_ready()

    async def close(self) -> None:
        """Stop the fleet and its relays, and close the HTTP session."""
        if self.poll_task is not None:
            self.poll_task.cancel()
        for relay in self.relays.values():
            await relay.stop()
        self.stop()
        await self.session.close()

    def publish_new_version(self) -> str:
        """Publish new weights and return their version."""
        self.weights_seed += 1
        version = self.publish(self.weights_seed, MODEL_BYTES, CHUNK_BYTES)
        self.versions.add(version)
        return version

    # -- operators -------------------------------------------------------

    async def call(
        self, control: str, method: str, path: str, body=None
    ) -> dict | None:
        """Call one control instance; return None on a connection error or a 503."""
        url = self.nodes[control].http + path
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self.session.request(method, url, json=body) as response:
                answer = await response.json()
                return None if response.status == 503 else answer
        return None

    async def call_any(self, method: str, path: str, body=None) -> dict:
        """Call each control instance in turn until one responds."""
        for _ in range(40):
            for control in CONTROLS:
                answer = await self.call(control, method, path, body)
                if answer is not None:
                    return answer
            await asyncio.sleep(0.2)
        raise RuntimeError("no control instance answered for eight seconds")

    async def build_change(self, name: str, change_id: str = "", **values) -> dict:
        """Build a change of one entry, based on its current revision."""
        image = await self.call_any("GET", "/v1/catalogue")
        base = image["entries"].get(name, {"revision": 0})["revision"]
        entry = self.entries[name] | values
        put = {"entry": entry, "base_revision": base}
        change_id = change_id or uuid.uuid4().hex
        return {"change_id": change_id, "owner": OWNER, "puts": [put]}

    async def submit_change(self, name: str, **values) -> AcceptedChange:
        """Submit a change of one entry; resend it until a control instance responds."""
        change = await self.build_change(name, **values)
        result = await self.call_any("POST", "/v1/catalogue/changes", change)
        if result.get("code") != 0:
            raise RuntimeError(f"change refused: {result}")
        self.entries[name] |= values
        return AcceptedChange(change["change_id"], result["revision"], time.time())

    async def poll_controls(self) -> None:
        """Poll the control instances; record the revisions that they report."""
        while True:
            await asyncio.gather(*(self.poll_control(control) for control in CONTROLS))
            await asyncio.sleep(POLL_S)

    async def poll_control(self, control: str) -> None:
        """Record the status that one control instance reports."""
        status = await self.call(control, "GET", "/v1/status")
        if status is None:
            return
        now = time.time()
        own_domain = self.nodes[control].settings["failure_domain"]
        self.record_revision(now, control, control, own_domain, status["revision"])
        self.control_revisions[control] = status["revision"]
        self.leader = status["leader"] or self.leader
        for row in status["nodes"]:
            self.status_rows[row["node_id"]] = row
            domain, revision = row["failure_domain"], row["revision"]
            self.record_revision(now, control, row["node_id"], domain, revision)

    def record_revision(self, now, control, node_id, domain, revision) -> None:
        """Record a sample of a node's revision."""
        self.revision_samples.append(
            RevisionSample(now, control, node_id, domain, revision)
        )

    async def wait_live(self, node_id: str, timeout_s: float = 10.0) -> bool:
        """Wait until a started daemon answers its liveness check."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                url = f"{self.nodes[node_id].http}/health/live"
                async with self.session.get(url):
                    return True
            await asyncio.sleep(0.01)
        return False

    # -- state -----------------------------------------------------------

    def is_settled(self, revision: int) -> bool:
        """Return whether every node serves the accepted revision and version."""
        version = self.entries["reports"]["version"]
        nodes = [*ENTRIES, *ENGINES, *PLAIN_TARGETS]
        rows = [self.status_rows.get(name) for name in nodes]
        revisions = [self.control_revisions.get(name, 0) for name in CONTROLS]
        return min(revisions) >= revision and all(
            row is not None
            and row["revision"] >= revision
            and row["state"] == "open"
            and (row["node_id"] not in ENGINES or row["version"] == version)
            for row in rows
        )

    async def wait_settled(self, revision: int, timeout_s: float = 25.0) -> bool:
        """Wait until the fleet is settled and ready; return False on timeout."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.is_settled(revision):
                with contextlib.suppress(RuntimeError, TimeoutError):
                    await asyncio.wait_for(
                        self.wait_ready(), deadline - time.monotonic()
                    )
                    return True
            await asyncio.sleep(POLL_S)
        return False

    def log_tail(self, node_id: str) -> str:
        """Return the last 1,500 characters of a daemon's log."""
        return (self.folder / "logs" / f"{node_id}.log").read_text()[-1500:]


DEFAULT_FOLDER = ROOT / ".matrix"
