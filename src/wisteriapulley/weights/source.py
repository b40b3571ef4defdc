"""Client of the origin and the weight store, using HTTP range requests."""

import time

import aiohttp

from wisteriapulley.bounded_body import bounded_parts
from wisteriapulley.error_text import describe_error
from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights.manifest import (
    MAX_MANIFEST_BYTES,
    Manifest,
    Span,
    chunk_digest,
)
from wisteriapulley.weights.pace import LinkBudget

# A source that sends nothing for this long counts as unresponsive.
SOCKET_TIMEOUT_S = 5.0
PARTIAL_CONTENT = 206
RATE_LIMIT_STATUSES = (429, 503)
UNREACHABLE_RETRY_MS = 1000
# Upper bound for Retry-After: a source may recover long before the time that it asked
# for.
MAX_RETRY_AFTER_S = 60
# Bytes that mismatch once were probably corrupted in transit; twice, they have changed
# at the source.
MISMATCHES_UNTIL_CHANGED = 2
# A changed source stays changed until an operator repairs it; more requests would only
# use up its link.
CHANGED_SOURCE_RETRY_MS = 30_000


class HttpSource:
    """HTTP client of one source of weights.

    Serves ``/<version>/manifest.json`` and ``/<version>/files/<path>`` with
    ``Range``.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared client session.
    base_url : str
        Base URL of the source.
    budget : LinkBudget
        Bandwidth budget of this instance's link.
    source_budget : LinkBudget
        Fraction of the source's bandwidth that this instance may use.
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
        """Whether the source has asked us to retry later."""
        return time.monotonic() < self.cooldown_until_s

    async def manifest(self, version: str) -> Manifest:
        """Fetch and verify a manifest.

        Raises
        ------
        WeightsError
            The source failed, or the bytes don't belong to `version`.
        """
        url = f"{self.base_url}/{version}/manifest.json"
        data = await self.get(url, {}, 200, MAX_MANIFEST_BYTES)
        return Manifest.from_bytes(data, version)

    async def chunk(self, version: str, span: Span) -> bytes:
        """Fetch and verify a chunk.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE if the source failed; CHUNK_CORRUPTED if the bytes
            mismatch for the first time, SOURCE_CHANGED if they mismatch again.
        """
        url = f"{self.base_url}/{version}/files/{span.path}"
        headers = {"Range": f"bytes={span.offset}-{span.end - 1}"}
        data = await self.get(url, headers, PARTIAL_CONTENT, span.length)
        if chunk_digest(data) == span.digest:
            self.mismatches.pop((version, span.index), None)
            return data
        count = self.mismatches.get((version, span.index), 0) + 1
        self.mismatches[version, span.index] = count
        changed = count >= MISMATCHES_UNTIL_CHANGED
        raise WeightsError(
            ResultCode.SOURCE_CHANGED if changed else ResultCode.CHUNK_CORRUPTED,
            f"{url}: bytes at offset {span.offset} do not match the manifest",
            CHANGED_SOURCE_RETRY_MS if changed else 0,
        )

    async def get(
        self, url: str, headers: dict[str, str], status: int, limit: int
    ) -> bytes:
        """Fetch a response body of at most `limit` bytes.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE: the status is not `status`, the body is longer than
            `limit`, or the request failed.
        """
        try:
            async with self.session.get(
                url, headers=headers, timeout=self.timeout
            ) as response:
                if response.status != status:
                    raise self.status_error(url, status, response)
                return await self.read_body(response, limit)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise WeightsError(
                ResultCode.SOURCE_UNAVAILABLE,
                f"{url}: {describe_error(error)}",
                UNREACHABLE_RETRY_MS,
            ) from error

    async def read_body(self, response: aiohttp.ClientResponse, limit: int) -> bytes:
        """Read a body, paced by the budgets of the source and of our link."""
        parts = []
        async for part in bounded_parts(response, limit, self.budget.part_bytes):
            self.bytes_received += len(part)
            await self.source_budget.acquire(len(part))
            await self.budget.acquire(len(part))
            parts.append(part)
        return b"".join(parts)

    def status_error(
        self, url: str, status: int, response: aiohttp.ClientResponse
    ) -> WeightsError:
        """Return the error for an unexpected status.

        Starts the cool-down if the source limits its rate.
        """
        retry_after = response.headers.get("Retry-After", "")
        wait_s = (
            min(int(retry_after), MAX_RETRY_AFTER_S) if retry_after.isdigit() else 1
        )
        if response.status in RATE_LIMIT_STATUSES:
            self.cooldown_until_s = time.monotonic() + wait_s
        return WeightsError(
            ResultCode.SOURCE_UNAVAILABLE,
            f"{url}: expected status {status}, got {response.status}",
            wait_s * 1000,
        )
