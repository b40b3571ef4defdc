"""Load generators for a control quorum: changes over HTTP, claims over links."""

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
# Short, so that a dead or frozen instance does not block the writer.
ATTEMPT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.01


class AcknowledgedChange(NamedTuple):
    """A change that the quorum acknowledged."""

    change_id: str
    revision: int
    sent_at: float
    answered_at: float


class Changer:
    """Changes one entry repeatedly, retrying each change until it is accepted.

    Parameters
    ----------
    fleet : Fleet
        Fleet with control instances.
    session : aiohttp.ClientSession
        Client for the operator API.
    name : str
        Name of the entry.
    """

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, name: str):
        self.fleet = fleet
        self.session = session
        self.name = name
        self.revision = 0
        self.change_numbers = itertools.count(1)
        self.acknowledged: list[AcknowledgedChange] = []
        self.refused_results: list[ChangeResult] = []
        self.instance_index = 0

    def next_change(self) -> Change:
        """Return the next change; each one sets another burst limit."""
        number = next(self.change_numbers)
        entry = Entry(
            name=self.name,
            owner=OWNER,
            traffic_class="letters",
            service=self.name,
            limits=Limits(burst=1 + number % 90_000),
        )
        change_id = f"{self.name}-{number}"
        return Change(change_id, OWNER, (Put(entry, self.revision),))

    async def change(self) -> AcknowledgedChange:
        """Send one change to each instance in turn until it is accepted."""
        change = self.next_change()
        body = msgspec.json.encode(change)
        sent_at = time.monotonic()
        result = await self.post(body)
        while result is None:
            await asyncio.sleep(RETRY_DELAY_S)
            self.instance_index += 1
            result = await self.post(body)
        if result.code != ResultCode.OK:
            self.refused_results.append(result)
            raise RuntimeError(f"{change.change_id}: {result}")
        self.revision = result.revision
        acknowledged = AcknowledgedChange(
            change.change_id, result.revision, sent_at, time.monotonic()
        )
        self.acknowledged.append(acknowledged)
        return acknowledged

    async def post(self, body: bytes) -> ChangeResult | None:
        """Send to one instance; return None if it gave no result."""
        settings = self.fleet.controls[self.instance_index % len(self.fleet.controls)]
        url = f"http://{settings['http_listen']}/v1/catalogue/changes"
        try:
            async with self.session.post(
                url, data=body, timeout=aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
            ) as response:
                data = await response.read()
                if response.status == 503:
                    return None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return msgspec.json.decode(data, type=ChangeResult)

    async def run(self, end_s: float) -> None:
        """Send changes without pause until `end_s` of the monotonic clock."""
        while time.monotonic() < end_s:
            await self.change()


class Claimer:
    """Claims keys over a link, as an entry does.

    Parameters
    ----------
    control : ControlClient
        Client with a link to the control instances.
    name : str
        Client account.
    """

    def __init__(self, control: ControlClient, name: str):
        self.control = control
        self.name = name
        self.key_numbers = itertools.count(1)
        self.acknowledged: dict[str, Claim] = {}
        self.unanswered = 0

    @classmethod
    def from_fleet(cls, fleet: Fleet, name: str) -> "Claimer":
        """Return a claimer with its own link."""
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
        number = next(self.key_numbers)
        expires_ms = time.time_ns() // 1_000_000 + 300_000
        claim = Claim(number.to_bytes(32, "big"), "t1", 1, 1, expires_ms)
        key = f"{self.name}-{number:032d}"
        try:
            result = await self.put(key, claim)
        except WisteriapulleyError:
            self.unanswered += 1
            await asyncio.sleep(RETRY_DELAY_S)
            return
        if result.code == ResultCode.OK:
            self.acknowledged[key] = claim

    async def put(self, key: str, claim: Claim) -> ClaimResult:
        """Propose a claim as the first attempt of a key."""
        return await self.control.propose(PutClaim(ClaimKey(self.name, key), claim, 0))

    async def run(self, end_s: float) -> None:
        """Claim keys without pause until `end_s` of the monotonic clock."""
        while time.monotonic() < end_s:
            await self.claim()

    async def count_lost_claims(self) -> int:
        """Return the number of acknowledged claims that are no longer current."""
        lost = 0
        for key, claim in self.acknowledged.items():
            result = await self.put(key, claim)
            lost += (result.code, result.claim) != (ResultCode.IN_PROGRESS, claim)
        return lost
