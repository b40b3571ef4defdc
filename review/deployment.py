"""Starts the project's programs by the deploy file, each on a loopback address."""

import asyncio
import contextlib
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp

# This file is built into target/review/standins.
ROOT = Path(__file__).resolve().parents[3]
RUN_COMMANDS = {
    role: fields["run"].split()
    for role, fields in tomllib.loads((ROOT / "deploy" / "system.toml").read_text())[
        "roles"
    ].items()
}
METRICS_PORTS = (9101, 9102, 9103)
ZONES = {"galway-hall": "ie-west", "swords-hall": "ie-east", "belfast-hall": "ni-north"}
# The variables that a process gets from its caller; see DEPLOY.md.
INHERITED = ("PATH", "HOME", "LANG")
START_LIMIT_S = 15.0
# Status of a play that broke the rule; Python exits with 1 on errors.
BROKEN = 10
# Bounds of kit/more/system/sites/lettercraft-relay.toml, as SYSTEM.md gives them.
BOUNDS = {
    "seed-lag-s": 3,
    "address-reuse-s": 2,
    "connectivity-window-ms": 3000,
    "ack-timeout-ms": 4000,
    "catch-up-s": 4,
    "drain-timeout-ms": 2000,
    "grace-period-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 5000,
    "strict-revocation": False,
    "revocation-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-budget-slack": 108,
    "recovery-s": 12,
    "pass-ms": 120,
    "retry-after-s": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
}
HEARTBEAT_S = 1.2


class CannotRunError(Exception):
    """The case could not run."""


def free_network(count):
    """Return hosts of a random loopback network, and a first port, all free."""
    rng = random.SystemRandom()
    for _ in range(100):
        network = f"127.{rng.randrange(1, 255)}.{rng.randrange(255)}"
        hosts = [f"{network}.{n + 1}" for n in range(count)]
        first = rng.randrange(12000, 30000)
        if all(
            is_free(h, p) for h in hosts for p in (first, first + 8, *METRICS_PORTS)
        ):
            return hosts, first
    raise CannotRunError("no free loopback network")


def is_free(host, port):
    """Return whether a port can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True


class Machine:
    """A loopback host with one process for each of its roles."""

    def __init__(self, deployment, name, host, zone, roles, app="", service=""):
        self.deployment = deployment
        self.name, self.host, self.zone = name, host, zone
        self.roles, self.app, self.service = roles, app, service
        self.processes = {}
        self.bootstrap = True
        self.data = deployment.folder / "data" / name

    def address(self, offset):
        """Return the address at an offset of the port range."""
        return f"{self.host}:{self.deployment.first_port + offset}"

    def settings(self):
        """Return the settings file, as DEPLOY.md describes it."""
        has_disk = "control" in self.roles
        first = self.deployment.first_port
        if has_disk:
            self.data.mkdir(parents=True, exist_ok=True)
        lines = {
            "node-name": self.name,
            "role": "+".join(self.roles),
            "machine-class": "side" if self.app else "frontend",
            "ip-address": self.host,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "internal-port-range": [first, first + 15],
            "seed-nodes": self.deployment.seeds(),
            "bootstrap": self.bootstrap,
            "counts-as-loss": has_disk,
            "data-directory": str(self.data) if has_disk else "",
            "discovery": "registration",
            "entry-point": "virtual_ip",
            "heartbeat-interval-ms": int(HEARTBEAT_S * 1000),
            "configuration-mode": "highest",
        }
        if self.app:
            lines |= {"app": self.app, "service": self.service}
        tables = {
            "zones": ZONES,
            "listen-addresses": {
                "frontend": self.address(8),
                "readiness": self.address(9),
                "control-plane": self.address(10),
            },
            "limits": {
                "cpu-cores": 2,
                "memory-mb": 300,
                "link-mbps": 7.6 if self.app else 1000.0,
            },
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        text = [f"{key} = {json.dumps(value)}" for key, value in lines.items()]
        for table, fields in tables.items():
            text.append(f"[{table}]")
            text += [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        return "\n".join(text) + "\n"

    def start(self, role):
        """Start the process of one role."""
        path = self.deployment.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        variables = {k: os.environ[k] for k in INHERITED if k in os.environ}
        variables |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WISTERIAPULLEY_CONFIG": str(path),
        }
        log = self.deployment.folder / f"{self.name}-{role}.log"
        with open(log, "ab") as output:
            self.processes[role] = subprocess.Popen(
                RUN_COMMANDS[role],
                cwd=ROOT,
                env=variables,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, role, number):
        """Send a signal to the process of a role."""
        process = self.processes[role]
        if process.poll() is None:
            process.send_signal(number)

    def stop(self):
        """End all processes of this machine."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


class Deployment:
    """The machines of a case, a folder for their files, and the record."""

    def __init__(self, record_path, hosts):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the deploy file's build")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.hosts, self.first_port = free_network(hosts)
        self.machines = []
        self.record_file = open(record_path, "w")
        self.begun_s = time.monotonic()

    def seeds(self):
        """Return the addresses of the first three machines that serve control."""
        controls = [m for m in self.machines if "control" in m.roles][:3]
        return [machine.address(10) for machine in controls]

    def add(self, name, zone, roles, app="", service=""):
        """Add a machine; it is not started yet."""
        host = self.hosts[len(self.machines)]
        machine = Machine(self, name, host, zone, roles, app, service)
        self.machines.append(machine)
        return machine

    def start_all(self):
        """Start all processes, and wait until nothing remains to be founded."""
        for machine in self.machines:
            for role in machine.roles:
                machine.start(role)
        for machine in self.machines:
            machine.bootstrap = False

    def now_s(self):
        """Return the time of the record."""
        return time.monotonic() - self.begun_s

    def record(self, text):
        """Write a line to the record."""
        self.record_file.write(f"{self.now_s():9.3f}  {text}\n")
        self.record_file.flush()

    def stop(self):
        """End all processes, and remove the files unless KEEP is set."""
        for machine in self.machines:
            machine.stop()
        self.record_file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def wait_until(check, limit_s=START_LIMIT_S, what="the system"):
    """Wait until a check returns a true value."""
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            if value := await check():
                return value
        await asyncio.sleep(0.1)
    raise CannotRunError(f"{what} was not ready within {limit_s} s")


def run_case(play):
    """Run a case; return the status that `run.sh` maps: 0, or `BROKEN`."""
    # The stand-ins log each connection that ends.
    logging.disable(logging.CRITICAL)
    # Ends the processes of the case as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return BROKEN if asyncio.run(play()) else 0
    except Exception as error:
        print(f"could not run: {error!r}")
        return 2
