"""Operators that change the configuration and the weights, and read it back."""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable

import aiohttp
from tests.fakes.platform import Origin, configuration

from soak.callers import HOST, KEY, PATIENCE_S
from soak.promises import ConfigurationHistory, Judge, Progression
from soak.targets import PLAIN_SLOTS
from wisteriapulley.platform import names

log = logging.getLogger(__name__)

ACCOUNT = "account-of-the-soak"
CALL_S = 2.5
PAUSE_S = 0.2
READ_EVERY_S = 0.5
# Routes of this many versions stay; a route tells which versions are in force.
KEPT_ROUTES = 3


def table(version: int, origin: Origin, note: str = "") -> bytes:
    """Make a configuration; `note` tells two of one version apart."""
    text = json.loads(configuration(version, origin))
    model, once = text["routes"]
    model |= {"host": HOST, "path-prefix": "/stream/"}
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
        for number in range(max(1, version - KEPT_ROUTES + 1), version + 1)
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
    """Changes, resends and reads.

    Parameters
    ----------
    judge : Judge
        Told of everything.
    origin : Origin
        Whose newest version is named.
    controls : callable
        Returns the addresses of control instances, in any order.
    seed : int
        Of its choices.
    """

    def __init__(self, judge: Judge, origin: Origin, controls: Callable, seed: int):
        self.judge = judge
        self.origin = origin
        self.controls = controls
        self.rng = random.Random(seed)
        self.history = ConfigurationHistory(judge)
        self.version = 0
        self.session: aiohttp.ClientSession | None = None
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to read."""
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.spawn(self.read_loop())

    def spawn(self, work) -> None:
        """Do something beside the rest."""
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    async def stop(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.session.close()

    # -- changes ---------------------------------------------------------

    def change(self) -> None:
        """Send the next configuration until it is accepted."""
        self.version += 1
        self.spawn(self.put(self.version, table(self.version, self.origin)))

    def race(self) -> None:
        """Let two operators send different ones under one number."""
        self.version += 1
        for note in ("one", "other"):
            text = table(self.version, self.origin, note)
            self.spawn(self.put(self.version, text))

    def send_bad(self) -> None:
        """Send one that must be refused; later ones must not mind."""
        text = json.loads(table(self.version + 5, self.origin))
        text["routes"][0]["service"] = "no-such-service"
        self.spawn(self.put(self.version + 5, json.dumps(text).encode(), valid=False))

    def name_weights(self) -> None:
        """Name the next version of the weights."""
        self.origin.newest += 1
        self.spawn(self.put_weights(self.origin.newest))

    async def put(self, version: int, text: bytes, valid: bool = True) -> None:
        """Send a configuration until it is acknowledged or refused."""
        if valid:
            self.history.note_sent(version, text)
        while True:
            status = await self.call(names.REPLACE_CALL, text)
            if status == 200:
                self.judge.check("invalid refused", valid, f"accepted {text[:80]!r}")
                self.history.note_acknowledged(version, time.monotonic())
                return
            if 400 <= status < 500 and status not in (408, 429):
                self.history.note_refused(text, valid)
                return
            await asyncio.sleep(PAUSE_S)

    async def put_weights(self, version: int) -> None:
        """Name a version until it is acknowledged."""
        order = json.dumps({"model": "model", "version": version}).encode()
        while await self.call(names.WEIGHTS_CALL, order) != 200:
            await asyncio.sleep(PAUSE_S)
        self.judge.named_s[version] = time.monotonic()

    async def call(self, path: str, body: bytes) -> int:
        """Send to any control instance; 0 where no clear answer came."""
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
        """Read at any instance, now and then."""
        while True:
            await asyncio.sleep(READ_EVERY_S)
            await self.read()

    async def read(self) -> int:
        """Read the configuration; return its version, 0 if none came."""
        address = self.rng.choice(self.controls())
        asked_s = time.monotonic()
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
        self.history.check_read(version, text, asked_s)
        return version


class Prober:
    """Asks an entry for routes that tell which configuration is in force there.

    Parameters
    ----------
    entry : str
        Its name.
    address : str
        Where it is reached.
    incarnation : callable
        Names the entry's process of the moment.
    operator : Operator
        Knows the versions that were sent.
    """

    def __init__(self, entry, address, incarnation, operator, progression: Progression):
        self.entry = entry
        self.address = address
        self.incarnation = incarnation
        self.operator = operator
        self.progression = progression
        self.session: aiohttp.ClientSession | None = None

    async def ask(self, version: int) -> int:
        """Ask for the route of a version; return the status, 0 for none."""
        before, sent_s = self.incarnation(), time.monotonic()
        status = await self.status_of(version)
        if self.incarnation() != before:
            return status
        times = (sent_s, time.monotonic())
        if status == 404:
            newest = self.operator.version
            # Not yet in force, or dropped again by a later version.
            if newest - version < KEPT_ROUTES:
                self.progression.note(before, 0, version - 1, times)
        elif status >= 200 and status != 503:
            most = version + KEPT_ROUTES - 1
            self.progression.note(before, version, most, times)
        return status

    async def status_of(self, version: int) -> int:
        """Send a request that no caller's key allows: it runs nowhere."""
        headers = {
            "Host": HOST,
            names.REQUEST_ID: f"probe-{self.entry}-{time.monotonic_ns()}",
            names.DEADLINE_MS: str(int(PATIENCE_S * 1000)),
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
        """Ask for ever."""
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
        async with aiohttp.ClientSession(timeout=timeout) as self.session:
            while True:
                await asyncio.sleep(PAUSE_S)
                if self.operator.version:
                    await self.ask(self.operator.version)
