"""Load on a control quorum: changes over HTTP, claims over links."""

import asyncio
import itertools
import time
from typing import NamedTuple

import aiohttp
import msgspec
from tests.fleet import TOKENS, Fleet

from wisteriapulley.catalogue import Change, ChangeResult, Entry, Limits, Put
from wisteriapulley.claims import Claim, ClaimKey, ClaimResult
from wisteriapulley.control.client import ControlClient
from wisteriapulley.control.commands import PutClaim
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.settings import EntrySettings, load_settings
from wisteriapulley.wire import messages
from wisteriapulley.wire.handshake import Identity

OWNER = "lettercraft"
TOKEN = next(token for token, owner in TOKENS.items() if owner == OWNER)
# An instance that is dead or frozen must not hold the writer up.
TRY_S = 1.0
PAUSE_S = 0.01


class Acknowledged(NamedTuple):
    """One change that the quorum acknowledged."""

    change_id: str
    revision: int
    sent_at: float
    answered_at: float


class Changer:
    """Changes one entry again and again, each change until it is answered.

    Parameters
    ----------
    fleet : Fleet
        With control instances.
    session : aiohttp.ClientSession
        For the operators' interface.
    name : str
        The entry.
    """

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, name: str):
        self.fleet = fleet
        self.session = session
        self.name = name
        self.revision = 0
        self.numbers = itertools.count(1)
        self.acknowledged: list[Acknowledged] = []
        self.faults: list[ChangeResult] = []
        self.place = 0

    def next_change(self) -> Change:
        """Make the next change: another burst limit each time."""
        number = next(self.numbers)
        entry = Entry(
            name=self.name,
            owner=OWNER,
            traffic_class="letters",
            service=self.name,
            limits=Limits(burst=1 + number % 90_000),
        )
        change_id = f"{self.name}-{number}"
        return Change(change_id, OWNER, (Put(entry, self.revision),))

    async def change(self) -> Acknowledged:
        """Send one change, to other instances in turn, until it is accepted."""
        change = self.next_change()
        body = msgspec.json.encode(change)
        sent_at = time.monotonic()
        result = await self.post(body)
        while result is None:
            await asyncio.sleep(PAUSE_S)
            self.place += 1
            result = await self.post(body)
        if result.code != ResultCode.OK:
            self.faults.append(result)
            raise RuntimeError(f"{change.change_id}: {result}")
        self.revision = result.revision
        done = Acknowledged(
            change.change_id, result.revision, sent_at, time.monotonic()
        )
        self.acknowledged.append(done)
        return done

    async def post(self, body: bytes) -> ChangeResult | None:
        """Send to one instance; None when it had no answer."""
        settings = self.fleet.controls[self.place % len(self.fleet.controls)]
        url = f"http://{settings['http_listen']}/v1/catalogue/changes"
        try:
            async with self.session.post(
                url, data=body, timeout=aiohttp.ClientTimeout(total=TRY_S)
            ) as response:
                data = await response.read()
                if response.status == 503:
                    return None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return msgspec.json.decode(data, type=ChangeResult)

    async def run(self, until: float) -> None:
        """Change without pause until a time of the monotonic clock."""
        while time.monotonic() < until:
            await self.change()


class Claimer:
    """Claims keys over a link, as an entry does.

    Parameters
    ----------
    control : ControlClient
        Its link to control.
    name : str
        Client account.
    """

    def __init__(self, control: ControlClient, name: str):
        self.control = control
        self.name = name
        self.keys = itertools.count(1)
        self.acknowledged: dict[str, Claim] = {}
        self.unanswered = 0

    @classmethod
    def from_fleet(cls, fleet: Fleet, name: str) -> "Claimer":
        """Make a claimer with its own link."""
        path = fleet.folder / "settings" / f"{name}.json"
        tree = fleet.common_settings(
            name, "galway", control=fleet.control_wire_addresses
        )
        path.write_bytes(msgspec.json.encode(tree))
        settings: EntrySettings = load_settings(str(path), "entry")
        key = fleet.key_file.read_bytes()
        identity = Identity(name, "entry", "galway", time.time_ns() // 1000, key)
        control = ControlClient(
            settings, identity, (), messages.Heartbeat, lambda: None, lambda: None
        )
        return cls(control, name)

    async def claim(self) -> None:
        """Claim one new key."""
        number = next(self.keys)
        expires_ms = time.time_ns() // 1_000_000 + 300_000
        claim = Claim(number.to_bytes(32, "big"), "t1", 1, 1, expires_ms)
        key = f"{self.name}-{number:032d}"
        try:
            result = await self.put(key, claim)
        except WisteriapulleyError:
            self.unanswered += 1
            await asyncio.sleep(PAUSE_S)
            return
        if result.code == ResultCode.OK:
            self.acknowledged[key] = claim

    async def put(self, key: str, claim: Claim) -> ClaimResult:
        """Propose a claim that may not stand yet."""
        return await self.control.propose(PutClaim(ClaimKey(self.name, key), claim, 0))

    async def run(self, until: float) -> None:
        """Claim without pause until a time of the monotonic clock."""
        while time.monotonic() < until:
            await self.claim()

    async def missing(self) -> int:
        """Count acknowledged claims that do not stand any more."""
        lost = 0
        for key, claim in self.acknowledged.items():
            result = await self.put(key, claim)
            lost += (result.code, result.claim) != (ResultCode.IN_PROGRESS, claim)
        return lost
