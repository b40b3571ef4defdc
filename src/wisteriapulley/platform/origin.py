"""HTTP client for the origin of the weights."""

import aiohttp
import msgspec

from wisteriapulley.bounded_body import MAX_ERROR_BYTES, read_bounded
from wisteriapulley.error_text import describe_error
from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.platform import names
from wisteriapulley.platform.http import HttpClient
from wisteriapulley.weights.pieces import MAX_PIECE_BYTES, MAX_PIECES, PieceManifest

# Time limit for a piece, which takes 26 ms on the origin's link; several callers share
# that link.
PIECE_TIMEOUT_S = 0.7
MANIFEST_TIMEOUT_S = 1.5
HTTP_OK = 200
# Maximum size of a manifest: 64 hexadecimal digits of each piece, and what separates
# them.
MAX_MANIFEST_BYTES = MAX_PIECES * (64 + len('"", ')) + MAX_ERROR_BYTES


class WireManifest(msgspec.Struct):
    """Digests of the pieces of a version."""

    model: str
    version: int
    layers: int
    # SHA-256 of each piece, in hexadecimal digits.
    digests: list[str]
    chunk_bytes: int = msgspec.field(name="chunk-bytes")


class HttpOrigin:
    """Client of the origin at one address; see `weights.pieces.PieceSource`."""

    def __init__(self, http: HttpClient, address: str):
        self.http = http
        self.base_url = f"http://{address}"

    async def get(self, path: str, timeout_s: float, limit: int) -> bytes:
        """Make one call; return the body of at most `limit` bytes.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE: the origin did not respond within `timeout_s`,
            responded with an error, or sent more than `limit`.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.http.pooled.get(
                self.base_url + path, timeout=timeout
            ) as answer:
                if answer.status != HTTP_OK:
                    limit = MAX_ERROR_BYTES
                body = await read_bounded(answer, limit)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise origin_error(path, describe_error(error)) from error
        if answer.status != HTTP_OK:
            raise origin_error(path, f"status {answer.status}")
        return body

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Return the manifest of a version; version 0 is the newest."""
        path = names.MANIFEST_CALL.format(model=model)
        if version:
            path += f"?version={version}"
        body = await self.get(path, MANIFEST_TIMEOUT_S, MAX_MANIFEST_BYTES)
        try:
            wire = msgspec.json.decode(body, type=WireManifest)
            digests = tuple(map(bytes.fromhex, wire.digests))
        except (msgspec.DecodeError, ValueError) as error:
            raise origin_error(path, str(error)) from error
        if not 0 < wire.chunk_bytes <= MAX_PIECE_BYTES:
            raise origin_error(
                path,
                f"chunk-bytes: expected 1 to {MAX_PIECE_BYTES}, got {wire.chunk_bytes}",
            )
        return PieceManifest(
            wire.model, wire.version, wire.chunk_bytes, wire.layers, digests
        )

    async def piece(
        self, model: str, version: int, position: int, size: int = MAX_PIECE_BYTES
    ) -> bytes:
        """Return a piece of at most `size` bytes; its digest is not verified."""
        path = names.PIECE_CALL.format(model=model)
        path += f"?quantity={position}&version={version}"
        return await self.get(path, PIECE_TIMEOUT_S, size)


def origin_error(path: str, reason: str) -> WeightsError:
    """Return the error for an origin that fails or sends an unexpected response."""
    return WeightsError(ResultCode.SOURCE_UNAVAILABLE, f"origin {path}: {reason}")
