"""Origin and weight store: bytes by HTTP range."""

import time

import aiohttp

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights.manifest import Manifest, Span, chunk_digest
from wisteriapulley.weights.pace import LinkBudget

# A source that sends nothing for this long has stalled.
SOCKET_TIMEOUT_S = 5.0
PARTIAL_CONTENT = 206
RATE_LIMIT_STATUSES = (429, 503)
UNREACHABLE_RETRY_MS = 1000
# Longest that a source may put us off: it may have come back long before.
MAX_RETRY_AFTER_S = 60
# Bytes that mismatch once were damaged on the way, twice at the source.
MISMATCHES_UNTIL_CHANGED = 2
# A changed source stays changed until an operator acts: don't draw on its link.
CHANGED_SOURCE_RETRY_MS = 30_000


class HttpSource:
    """One source of weights.

    Serves ``/<version>/manifest.json`` and ``/<version>/files/<path>`` with
    ``Range``.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared client.
    base_url : str
        Where the source answers.
    budget : LinkBudget
        This instance's link.
    share : LinkBudget
        What this instance may take of the source's link.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        budget: LinkBudget,
        source_budget: LinkBudget,
    ):
        self.session = session
        self.base_url = base_url.rstrip("/")
        self.budget = budget
        self.source_budget = source_budget
        self.bytes_received = 0
        self.cooldown_until_s = 0.0
        self.mismatches: dict[tuple[str, int], int] = {}
        self.timeout = aiohttp.ClientTimeout(
            sock_connect=SOCKET_TIMEOUT_S, sock_read=SOCKET_TIMEOUT_S
        )

    @property
    def in_cooldown(self) -> bool:
        """Whether it told us to come back later."""
        return time.monotonic() < self.cooldown_until_s

    async def manifest(self, version: str) -> Manifest:
        """Fetch and check a manifest.

        Raises
        ------
        WeightsError
            The source refused, or the bytes are not of `version`.
        """
        url = f"{self.base_url}/{version}/manifest.json"
        return Manifest.from_bytes(await self.get(url, {}, 200), version)

    async def chunk(self, version: str, span: Span) -> bytes:
        """Fetch and check a chunk.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE; CHUNK_CORRUPTED when other bytes came once, and
            SOURCE_CHANGED when they came again.
        """
        url = f"{self.base_url}/{version}/files/{span.path}"
        headers = {"Range": f"bytes={span.offset}-{span.end - 1}"}
        data = await self.get(url, headers, PARTIAL_CONTENT)
        if chunk_digest(data) == span.digest:
            self.mismatches.pop((version, span.index), None)
            return data
        count = self.mismatches.get((version, span.index), 0) + 1
        self.mismatches[version, span.index] = count
        changed = count >= MISMATCHES_UNTIL_CHANGED
        raise WeightsError(
            ResultCode.SOURCE_CHANGED if changed else ResultCode.CHUNK_CORRUPTED,
            f"{url}: bytes at {span.offset} are not the manifest's",
            CHANGED_SOURCE_RETRY_MS if changed else 0,
        )

    async def get(self, url: str, headers: dict[str, str], status: int) -> bytes:
        """Fetch a body."""
        try:
            async with self.session.get(
                url, headers=headers, timeout=self.timeout
            ) as response:
                if response.status != status:
                    raise self.status_error(url, status, response)
                return await self.read_body(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise WeightsError(
                ResultCode.SOURCE_UNAVAILABLE, f"{url}: {error!r}", UNREACHABLE_RETRY_MS
            ) from error

    async def read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Read a body no faster than the link and our share allow."""
        parts = []
        async for part in response.content.iter_chunked(self.budget.part_bytes):
            self.bytes_received += len(part)
            await self.source_budget.acquire(len(part))
            await self.budget.acquire(len(part))
            parts.append(part)
        return b"".join(parts)

    def status_error(
        self, url: str, status: int, response: aiohttp.ClientResponse
    ) -> WeightsError:
        """Make the error of a refusal, and rest when the source asks for it."""
        text = response.headers.get("Retry-After", "")
        wait_s = min(int(text), MAX_RETRY_AFTER_S) if text.isdigit() else 1
        if response.status in RATE_LIMIT_STATUSES:
            self.cooldown_until_s = time.monotonic() + wait_s
        return WeightsError(
            ResultCode.SOURCE_UNAVAILABLE,
            f"{url}: expected {status}, got {response.status}",
            wait_s * 1000,
        )
