"""Operators that change the configuration and the weights, and read them back."""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable

import aiohttp
from tests.fakes.platform import Origin, configuration

from soak.callers import HOST, KEY, REQUEST_TIMEOUT_S
from soak.invariants import (
    ConfigurationHistory,
    Evacuation,
    InvariantChecker,
    VersionProgress,
)
from soak.targets import PLAIN_SLOTS
from wisteriapulley.platform import names

log = logging.getLogger(__name__)

ACCOUNT = "account-of-the-soak"
CALL_TIMEOUT_S = 2.5
# Objectives of streams. Their callers leave after four latencies or eight gaps without
# an event.
LATENCY_MS, GAP_MS = 800, 400
RETRY_INTERVAL_S = 0.2
READ_INTERVAL_S = 0.5
# An order without an acknowledgement for this long is a finding. All faults that stop a
# quorum are much shorter.
ORDER_TIMEOUT_S = 60.0
# A configuration has probe routes of this many latest versions. Which of these routes
# an entry knows shows which configuration is in force there.
PROBE_ROUTE_COUNT = 3


def make_configuration(version: int, origin: Origin, note: str = "") -> bytes:
    """Return a configuration; `note` makes two of the same version differ."""
    text = json.loads(configuration(version, origin))
    model, once = text["routes"]
    model |= {"host": HOST, "path-prefix": "/stream/"}
    model |= {"target-latency-ms": LATENCY_MS, "target-gap-ms": GAP_MS}
    plain = {"host": HOST, "service": "plain-service", "timeout-ms": 4000}
    once |= plain | {"path-prefix": "/once/"}
    safe = once | {
        "name": "r-safe",
        "path-prefix": "/safe/",
        "kind": "idempotent",
        "attempts": 2,
    }
    probes = [
        safe | {"name": f"r-{number}", "path-prefix": f"/v/{number}/"}
        for number in range(max(1, version - PROBE_ROUTE_COUNT + 1), version + 1)
    ]
    text["routes"] = [model, once, safe, *probes]
    text["services"].append(
        {
            "name": "plain-service",
            "health-check-path": "/health",
            "max-connections": 10 * PLAIN_SLOTS,
        }
    )
    text["tenants"] = [{"name": ACCOUNT, "api-keys": [KEY]}]
    text["note"] = note
    return json.dumps(text).encode()


class Operator:
    """Changes configuration and weights, resends, and reads the configuration.

    Parameters
    ----------
    checker : InvariantChecker
        Records acknowledgements and checks reads.
    origin : Origin
        Holds the newest version of the weights, which becomes the desired one.
    controls : callable
        Returns the addresses of control instances, in any order.
    seed : int
        Seeds the operator's random choices.
    """

    def __init__(
        self, checker: InvariantChecker, origin: Origin, controls: Callable, seed: int
    ):
        self.checker = checker
        self.origin = origin
        self.controls = controls
        self.rng = random.Random(seed)
        self.history = ConfigurationHistory(checker)
        self.version = 0
        self.evacuating = asyncio.Lock()
        self.session: aiohttp.ClientSession | None = None
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start reading the configuration."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.spawn(self.read_loop())

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine in the background."""
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))
        return self.tasks[-1]

    async def stop(self) -> None:
        """Cancel all background tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.session.close()

    # -- changes ---------------------------------------------------------

    def send_next(self) -> None:
        """Send the next version of the configuration until it is acknowledged."""
        self.version += 1
        self.spawn(
            self.put_configuration(
                self.version, make_configuration(self.version, self.origin)
            )
        )

    def send_conflicting(self) -> None:
        """Send two different configurations concurrently under one version."""
        self.version += 1
        for note in ("one", "other"):
            text = make_configuration(self.version, self.origin, note)
            self.spawn(self.put_configuration(self.version, text))

    def send_invalid(self) -> None:
        """Send a configuration that must be rejected without effect on later ones."""
        text = json.loads(make_configuration(self.version + 5, self.origin))
        text["routes"][0]["service"] = "no-such-service"
        self.spawn(
            self.put_configuration(
                self.version + 5, json.dumps(text).encode(), valid=False
            )
        )

    def set_desired_version(self) -> asyncio.Task:
        """Make the next version of the weights the desired one.

        The task ends when that is acknowledged.
        """
        self.origin.newest_version += 1
        return self.spawn(self.put_desired_version(self.origin.newest_version))

    async def put_configuration(
        self, version: int, text: bytes, valid: bool = True
    ) -> None:
        """Send a configuration until it is acknowledged or rejected."""
        if valid:
            self.history.record_sent(version, text)
        while True:
            status = await self.call(names.REPLACE_CALL, text)
            if status == 200:
                self.checker.check("invalid refused", valid, f"accepted {text[:80]!r}")
                self.history.record_acknowledged(version, time.monotonic())
                return
            if 400 <= status < 500 and status not in (408, 429):
                self.history.record_rejected(text, valid)
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def put_desired_version(self, version: int) -> None:
        """Send a desired version of the weights until it is acknowledged."""
        order = json.dumps({"model": "model", "version": version}).encode()
        while await self.call(names.WEIGHTS_CALL, order) != 200:
            await asyncio.sleep(RETRY_INTERVAL_S)
        self.checker.desired_since_s[version] = time.monotonic()

    async def evacuate(self, failure_domain: str, duration_s: float) -> None:
        """Evacuate a failure domain for a time; earlier evacuations end first.

        The order is withdrawn even without an acknowledgement: a copy of it may be
        in force.
        """
        async with self.evacuating:
            evacuations = self.checker.evacuations
            if await self.send_order(names.EVACUATE_CALL, failure_domain):
                evacuations.append(Evacuation(failure_domain, time.monotonic()))
                await asyncio.sleep(duration_s)
                evacuations[-1] = evacuations[-1]._replace(end_s=time.monotonic())
            await self.send_order(names.END_EVACUATION_CALL, failure_domain)

    async def send_order(self, path: str, failure_domain: str) -> bool:
        """Send an evacuation order until it is acknowledged; return whether it was.

        The order is valid, so it must not be refused.
        """
        path = path.format(failure_domain=failure_domain)
        give_up_s = time.monotonic() + ORDER_TIMEOUT_S
        while (status := await self.call(path, b"")) != 200:
            is_refused = 400 <= status < 500 and status not in (408, 429)
            if is_refused or time.monotonic() > give_up_s:
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        self.checker.check("order", status == 200, f"{path} ended with {status}")
        return status == 200

    async def call(self, path: str, body: bytes) -> int:
        """Send to any control instance; return the status, 0 without a response."""
        address = self.rng.choice(self.controls())
        try:
            async with self.session.post(
                f"http://{address}{path}", data=body
            ) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("call of %s: %r", address, error)
            return 0

    # -- reads -----------------------------------------------------------

    async def read_loop(self) -> None:
        """Read the configuration from any instance at intervals."""
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            await self.read()

    async def read(self) -> int:
        """Read and check the configuration; return its version, 0 on failure."""
        address = self.rng.choice(self.controls())
        sent_s = time.monotonic()
        try:
            url = f"http://{address}{names.READ_CALL}"
            async with self.session.get(url) as answer:
                text = await answer.read()
                if answer.status != 200:
                    return 0
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("read of %s: %r", address, error)
            return 0
        version = json.loads(text)["version"]
        self.history.check_read(version, text, sent_s)
        return version


class VersionProber:
    """Probes an entry for routes that show which configuration is in force there.

    Parameters
    ----------
    entry : str
        Name of the entry.
    address : str
        Address at which the entry is reached.
    incarnation : callable
        Returns the name of the entry's current incarnation.
    operator : Operator
        Has the newest version that was sent.
    progression : VersionProgress
        Records and checks the versions that responses imply.
    """

    def __init__(
        self, entry, address, incarnation, operator, progression: VersionProgress
    ):
        self.entry = entry
        self.address = address
        self.incarnation = incarnation
        self.operator = operator
        self.progression = progression
        self.session: aiohttp.ClientSession | None = None

    async def probe(self, version: int) -> int:
        """Request the route of a version; return the status, 0 without a response."""
        before, sent_s = self.incarnation(), time.monotonic()
        status = await self.send_probe(version)
        if self.incarnation() != before:
            return status
        times = (sent_s, time.monotonic())
        if status == 404:
            newest = self.operator.version
            # Either the version is not yet in force, or a later version dropped its
            # route, which is possible only after PROBE_ROUTE_COUNT newer versions.
            if newest - version < PROBE_ROUTE_COUNT:
                self.progression.record(before, 0, version - 1, times)
        elif status >= 200 and status != 503:
            newest_possible = version + PROBE_ROUTE_COUNT - 1
            self.progression.record(before, version, newest_possible, times)
        return status

    async def send_probe(self, version: int) -> int:
        """Send a request with an unknown key, so that it is not executed."""
        headers = {
            "Host": HOST,
            names.REQUEST_ID: f"probe-{self.entry}-{time.monotonic_ns()}",
            names.DEADLINE_MS: str(int(REQUEST_TIMEOUT_S * 1000)),
            "Authorization": f"{names.BEARER_PREFIX}no-such-key",
        }
        url = f"http://{self.address}/v/{version}/"
        try:
            async with self.session.get(url, headers=headers) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("probe of %s: %r", self.entry, error)
            return 0

    async def run(self) -> None:
        """Probe until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as self.session:
            while True:
                await asyncio.sleep(RETRY_INTERVAL_S)
                if self.operator.version:
                    await self.probe(self.operator.version)
