"""HTTP client for the origin of the weights."""

import aiohttp
import msgspec

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.platform import names
from wisteriapulley.platform.http import HttpClient
from wisteriapulley.weights.pieces import PieceManifest

# Time limit for a piece, which takes 26 ms on the origin's link; several callers share
# that link.
PIECE_TIMEOUT_S = 0.7
MANIFEST_TIMEOUT_S = 1.5
HTTP_OK = 200


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

    async def get(self, path: str, timeout_s: float) -> bytes:
        """Make one call; return the body.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE: the origin did not respond within `timeout_s`, or
            with an error.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.http.pooled.get(
                self.base_url + path, timeout=timeout
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise origin_error(path, repr(error)) from error
        if answer.status != HTTP_OK:
            raise origin_error(path, f"status {answer.status}")
        return body

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Return the manifest of a version; version 0 is the newest."""
        path = names.MANIFEST_CALL.format(model=model)
        if version:
            path += f"?version={version}"
        body = await self.get(path, MANIFEST_TIMEOUT_S)
        try:
            wire = msgspec.json.decode(body, type=WireManifest)
            digests = tuple(map(bytes.fromhex, wire.digests))
        except (msgspec.DecodeError, ValueError) as error:
            raise origin_error(path, str(error)) from error
        return PieceManifest(
            wire.model, wire.version, wire.chunk_bytes, wire.layers, digests
        )

    async def piece(self, model: str, version: int, position: int) -> bytes:
        """Return a piece; its digest is not verified."""
        path = names.PIECE_CALL.format(model=model)
        path += f"?quantity={position}&version={version}"
        return await self.get(path, PIECE_TIMEOUT_S)


def origin_error(path: str, reason: str) -> WeightsError:
    """Return the error for an origin that fails or sends an unexpected response."""
    return WeightsError(ResultCode.SOURCE_UNAVAILABLE, f"origin {path}: {reason}")
