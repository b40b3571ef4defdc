"""Run a fleet of real processes on loopback, with fake targets and origins."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import aiohttp

from tests.fakes.records import read_records
from wisteriapulley.weights.manifest import build_manifest

ROOT = Path(__file__).resolve().parent.parent
TOKENS = {
    "trinacria-token-0123456789": "aste-riunite-trinacria",
    "lettercraft-token-0123456789": "lettercraft",
}
READY_TIMEOUT_S = 30.0
LISTEN_PORT_RANGE = (12000, 32000)
ALLOCATED_PORTS: set[int] = set()


def free_port() -> int:
    """Return a port that is currently free and not returned before.

    It lies below the ephemeral port range: an outgoing connection could otherwise
    take the port before the intended process listens.
    """
    while True:
        port = random.SystemRandom().randrange(*LISTEN_PORT_RANGE)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in ALLOCATED_PORTS:
                ALLOCATED_PORTS.add(port)
                return port


def free_hosts(count: int) -> list[str]:
    """Return consecutive loopback hosts from a random network.

    The platform's settings use the same ports on every host, so instances need
    hosts of their own. A random network avoids clashes with other test runs.
    """
    rng = random.SystemRandom()
    network = f"127.{rng.randrange(1, 255)}.{rng.randrange(255)}"
    first = rng.randrange(1, 255 - count)
    return [f"{network}.{first + number}" for number in range(count)]


def address(port: int) -> str:
    """Return the loopback address of a port."""
    return f"127.0.0.1:{port}"


class Process:
    """Process of the fleet that can be restarted with the same command.

    Parameters
    ----------
    name : str
        Node id, or name of the fake.
    command : list of str
        Arguments for the Python interpreter.
    log : Path
        File for standard output and standard error.
    variables : dict, optional
        Environment variables in addition to the inherited ones.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        log: Path,
        variables: dict[str, str] | None = None,
    ):
        self.name = name
        self.command = command
        self.log = log
        self.variables = variables or {}
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        environment = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
        environment |= self.variables
        with open(self.log, "ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, *self.command],
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self, timeout_s: float = 60.0) -> int:
        """Send SIGTERM and wait; return the exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        text = Path(f"/proc/{self.popen.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Node:
    """Daemon of the fleet with its process and settings."""

    def __init__(self, process: Process, settings: dict):
        self.process = process
        self.settings = settings

    @property
    def http(self) -> str:
        """Return the base URL of the HTTP server."""
        return f"http://{self.settings['http_listen']}"


class Fleet:
    """Processes of one test run; all their files are in one folder.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs, data folders and records.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.nodes: dict[str, Node] = {}
        self.fakes: dict[str, Process] = {}
        self.controls: list[dict] = []
        self.origin_url = ""
        self.store_url = ""
        for name in ("settings", "logs", "records", "data", "weights"):
            (folder / name).mkdir(parents=True, exist_ok=True)
        self.key_file = folder / "fleet.key"
        self.key_file.write_text("k" * 64)
        self.operators_file = folder / "operators.json"
        self.operators_file.write_text(json.dumps(TOKENS))

    # -- processes -------------------------------------------------------

    def start_process(self, name: str, command: list[str]) -> Process:
        """Start a process; its log file is in the fleet's folder."""
        process = Process(name, command, self.folder / "logs" / f"{name}.log")
        process.start()
        return process

    def start_fake(self, name: str, module: str, *options: str) -> int:
        """Start a fake from `tests.fakes`; return its port."""
        port = free_port()
        records = self.folder / "records" / f"{name}.jsonl"
        command = ["-m", f"tests.fakes.{module}", "--port", str(port)]
        command += ["--records", str(records), *options]
        self.fakes[name] = self.start_process(name, command)
        return port

    def start_node(self, role: str, settings: dict) -> Node:
        """Write the settings file of a daemon and start the daemon."""
        name = settings["node_id"]
        path = self.folder / "settings" / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        command = ["-m", "wisteriapulley.cli", role, str(path)]
        if role == "control":
            command.insert(3, "run")
        node = Node(self.start_process(name, command), settings)
        self.nodes[name] = node
        return node

    def common_settings(self, node_id: str, domain: str, **more: object) -> dict:
        """Return the settings common to all daemons, with those of `more`."""
        return {
            "node_id": node_id,
            "failure_domain": domain,
            "http_listen": address(free_port()),
            "fleet_key_file": str(self.key_file),
            "heartbeat_ms": 500,
            "silence_ms": 2000,
            **more,
        }

    # -- roles -----------------------------------------------------------

    def start_control(self, domains: list[str], **more: object) -> None:
        """Start a control instance per failure domain.

        The first one initializes the cluster and the others join it.
        """
        names = [f"control-{i + 1}" for i in range(len(domains))]
        wire_addresses = {name: address(free_port()) for name in names}
        for name, domain in zip(names, domains, strict=True):
            data = self.folder / "data" / name
            data.mkdir()
            peers = [
                {"node_id": other, "address": wire_addresses[other]}
                for other in names
                if other != name
            ]
            self.controls.append(
                self.common_settings(
                    name,
                    domain,
                    wire_listen=wire_addresses[name],
                    data_folder=str(data),
                    operators_file=str(self.operators_file),
                    peers=peers,
                    **more,
                )
            )
        for settings in self.controls:
            path = self.folder / "settings" / f"{settings['node_id']}.json"
            path.write_text(json.dumps(settings))
            is_first = settings is self.controls[0]
            self.run_cli("control", "init" if is_first else "join", str(path))
        for settings in self.controls:
            self.start_node("control", settings)

    @property
    def control_wire_addresses(self) -> list[str]:
        """Return the wire addresses of the control instances."""
        return [settings["wire_listen"] for settings in self.controls]

    def start_origin(self, bytes_per_s: float = 0, corrupt_every: int = 0) -> None:
        """Start the fake origin."""
        port = self.start_fake(
            "origin",
            "origin",
            *("--folder", str(self.folder / "weights")),
            *("--bytes-per-s", str(bytes_per_s)),
            *("--corrupt-every", str(corrupt_every)),
        )
        self.origin_url = f"http://{address(port)}"

    def start_store(self, requests_per_s: float = 20) -> None:
        """Start the fake rate-limited weight store."""
        port = self.start_fake(
            "store",
            "origin",
            *("--folder", str(self.folder / "weights")),
            *("--requests-per-s", str(requests_per_s)),
        )
        self.store_url = f"http://{address(port)}"

    def start_entry(self, node_id: str, domain: str, **more: object) -> Node:
        """Start an entry."""
        settings = self.common_settings(
            node_id, domain, control=self.control_wire_addresses, **more
        )
        return self.start_node("entry", settings)

    def start_target(
        self,
        node_id: str,
        domain: str,
        service: str,
        kind: str = "engine",
        fake_options: tuple[str, ...] = (),
        **more,
    ) -> Node:
        """Start a fake target and its sidecar; return the sidecar's node."""
        options = ["--name", node_id, *fake_options]
        options += ["--plain"] if kind == "plain" else []
        port = self.start_fake(f"target-{node_id}", "engine", *options)
        settings = self.common_settings(
            node_id,
            domain,
            wire_listen=address(free_port()),
            control=self.control_wire_addresses,
            service=service,
            kind=kind,
            target_url=f"http://{address(port)}",
            origin_url=self.origin_url,
            store_url=self.store_url,
            **more,
        )
        return self.start_node("sidecar", settings)

    # -- weights and catalogue -------------------------------------------

    def publish(self, seed: int, size: int, chunk_bytes: int, shared: int = 0) -> str:
        """Publish a version of `size` pseudo-random bytes; return its digest.

        The first `shared` bytes are identical in all versions.
        """
        build_folder = self.folder / f"building-{seed}"
        (build_folder / "layers").mkdir(parents=True)
        (build_folder / "layers" / "base.bin").write_bytes(seeded_bytes(0, shared))
        (build_folder / "layers" / "tuned.bin").write_bytes(
            seeded_bytes(seed, size - shared)
        )
        (build_folder / "config.json").write_text(json.dumps({"seed": seed}))
        manifest = build_manifest(str(build_folder), chunk_bytes)
        version_folder = self.folder / "weights" / manifest.digest
        version_folder.mkdir()
        build_folder.rename(version_folder / "files")
        (version_folder / "manifest.json").write_bytes(manifest.to_bytes())
        return manifest.digest

    def run_cli(self, *arguments: str, check: bool = True) -> str:
        """Run a command of the command line; return its standard output."""
        environment = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
        completed = subprocess.run(
            [sys.executable, "-m", "wisteriapulley.cli", *arguments],
            capture_output=True,
            text=True,
            env=environment,
            cwd=ROOT,
            check=False,
        )
        if check and completed.returncode:
            raise RuntimeError(f"{arguments}: {completed.stdout}{completed.stderr}")
        return completed.stdout

    def operator_options(self, owner: str) -> list[str]:
        """Return the command line options for an operator of `owner`."""
        token = next(token for token, name in TOKENS.items() if name == owner)
        path = self.folder / f"{owner}.token"
        path.write_text(token)
        addresses = ",".join(settings["http_listen"] for settings in self.controls)
        return ["--control", addresses, "--token-file", str(path)]

    def apply(self, folder: Path, owner: str, *options: str) -> str:
        """Apply a folder of catalogue entries."""
        return self.run_cli(
            "catalogue",
            "apply",
            str(folder),
            *self.operator_options(owner),
            "--owner",
            owner,
            *options,
        )

    # -- readiness, records and shutdown ---------------------------------

    async def wait_ready(self, names: list[str] | None = None) -> None:
        """Wait until daemons are ready; all of them by default."""
        async with aiohttp.ClientSession() as session:
            for name in names or list(self.nodes):
                await wait_ready(session, self.nodes[name])

    def records(self, prefix: str = "") -> list[dict]:
        """Return the records of the fakes whose name starts with `prefix`."""
        paths = sorted((self.folder / "records").glob(f"{prefix}*.jsonl"))
        return [record for path in paths for record in read_records(str(path))]

    def stop(self) -> None:
        """Kill the processes that this fleet started, including suspended ones."""
        processes = [node.process for node in self.nodes.values()]
        processes += self.fakes.values()
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in processes:
            process.popen.wait()


def seeded_bytes(seed: int, size: int) -> bytes:
    """Return pseudo-random bytes that depend only on the seed and size."""
    return random.Random(seed).randbytes(size)


async def wait_ready(session: aiohttp.ClientSession, node: Node) -> None:
    """Wait until one daemon is ready.

    Raises
    ------
    RuntimeError
        The daemon ended or was not ready in time; the message has its last log lines.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        if node.process.popen.poll() is not None:
            break
        try:
            async with session.get(f"{node.http}/health/ready") as response:
                if response.status == 200:
                    return
        except (aiohttp.ClientError, OSError):
            pass
        await asyncio.sleep(0.05)
    raise RuntimeError(
        f"{node.process.name} did not become ready:"
        f"\n{node.process.log.read_text()[-2000:]}"
    )
