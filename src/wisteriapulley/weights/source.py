"""Origin and weight store: bytes by HTTP range."""

import asyncio

import aiohttp

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights.manifest import Manifest, Span, chunk_digest

TIMEOUT_S = 60.0
PARTIAL_CONTENT = 206


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
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str):
        self.session = session
        self.base_url = base_url.rstrip("/")
        self.bytes_received = 0

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
            SOURCE_UNAVAILABLE, or SOURCE_CHANGED when it holds other bytes.
        """
        url = f"{self.base_url}/{version}/files/{span.path}"
        last = span.offset + span.length - 1
        headers = {"Range": f"bytes={span.offset}-{last}"}
        data = await self.get(url, headers, PARTIAL_CONTENT)
        if chunk_digest(data) != span.digest:
            raise WeightsError(
                ResultCode.SOURCE_CHANGED,
                f"{url}: bytes at {span.offset} are not the manifest's",
            )
        return data

    async def get(self, url: str, headers: dict[str, str], status: int) -> bytes:
        """Fetch a body."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                async with self.session.get(url, headers=headers) as response:
                    body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise WeightsError(
                ResultCode.SOURCE_UNAVAILABLE, f"{url}: {error!r}", 1000
            ) from error
        self.bytes_received += len(body)
        if response.status != status:
            wait_s = response.headers.get("Retry-After", "1")
            raise WeightsError(
                ResultCode.SOURCE_UNAVAILABLE,
                f"{url}: expected {status}, got {response.status}",
                int(float(wait_s) * 1000) if wait_s.isdigit() else 1000,
            )
        return body
