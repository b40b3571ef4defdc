"""Fake origin of weights, and fake rate-limited weight store.

Serves ``/<version>/manifest.json`` and ``/<version>/files/<path>`` by range
from a folder with one subfolder per version. Above its request rate, the store
responds 429 with Retry-After.
"""

import argparse
import asyncio
import contextlib
from pathlib import Path

from aiohttp import web

from tests.fakes.rate import PIECE_BYTES, LinkLimit
from tests.fakes.records import Records


class FakeOrigin:
    """Origin, or store if it limits the request rate.

    Parameters
    ----------
    folder : str
        Holds ``<version>/manifest.json`` and ``<version>/files/...``.
    records : Records
        Receives an event for each response.
    bytes_per_s : float
        Bandwidth of its link; 0 for no limit.
    requests_per_s : float
        Rate above which it responds 429; 0 for no limit.
    corrupt_every : int
        Number n such that a byte is flipped in every n-th file response; 0 for none.
    """

    def __init__(
        self,
        folder: str,
        records: Records,
        bytes_per_s: float = 0,
        requests_per_s: float = 0,
        corrupt_every: int = 0,
    ):
        self.folder = Path(folder)
        self.records = records
        self.link = LinkLimit(bytes_per_s)
        self.requests_per_s = requests_per_s
        self.corrupt_every = corrupt_every
        self.file_responses = 0
        self.tokens = max(1.0, requests_per_s)
        self.refilled_at = 0.0
        self.app = web.Application()
        self.app.add_routes(
            [
                web.get("/{version}/manifest.json", self.manifest),
                web.get("/{version}/files/{path:.+}", self.file),
            ]
        )

    def is_rate_exceeded(self) -> bool:
        """Take a token from the bucket; return whether none was left."""
        if not self.requests_per_s:
            return False
        now = asyncio.get_running_loop().time()
        gained = (now - self.refilled_at) * self.requests_per_s
        self.tokens = min(max(1.0, self.requests_per_s), self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1:
            return True
        self.tokens -= 1
        return False

    async def manifest(self, request: web.Request) -> web.StreamResponse:
        """Serve a manifest."""
        path = self.folder / request.match_info["version"] / "manifest.json"
        if not path.exists():
            return web.Response(status=404)
        return await self.send_body(request, path.read_bytes(), 200, {})

    async def file(self, request: web.Request) -> web.StreamResponse:
        """Serve a range of a file."""
        if self.is_rate_exceeded():
            return web.Response(status=429, headers={"Retry-After": "1"})
        version = request.match_info["version"]
        path = self.folder / version / "files" / request.match_info["path"]
        if not path.is_file():
            return web.Response(status=404)
        span = request.http_range
        data = path.read_bytes()
        start, end = span.start or 0, min(span.stop or len(data), len(data))
        body = bytearray(data[start:end])
        self.file_responses += 1
        if self.corrupt_every and self.file_responses % self.corrupt_every == 0:
            body[len(body) // 2] ^= 0xFF
        headers = {"Content-Range": f"bytes {start}-{end - 1}/{len(data)}"}
        return await self.send_body(request, bytes(body), 206, headers)

    async def send_body(
        self, request: web.Request, body: bytes, status: int, headers: dict
    ) -> web.StreamResponse:
        """Send a body within the bandwidth of the link."""
        response = web.StreamResponse(status=status, headers=headers)
        response.content_length = len(body)
        await response.prepare(request)
        sent = 0
        try:
            for start in range(0, len(body), PIECE_BYTES):
                piece = body[start : start + PIECE_BYTES]
                await self.link.transmit(len(piece))
                await response.write(piece)
                sent += len(piece)
        finally:
            self.records.add("sent", path=request.path, bytes=sent)
        return response


async def serve(app: web.Application, port: int) -> web.AppRunner:
    """Serve an application on a loopback port."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


async def main() -> None:
    """Run as a process with command-line options."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--folder", required=True)
    parser.add_argument("--records", required=True)
    parser.add_argument("--bytes-per-s", type=float, default=0)
    parser.add_argument("--requests-per-s", type=float, default=0)
    parser.add_argument("--corrupt-every", type=int, default=0)
    args = parser.parse_args()
    origin = FakeOrigin(
        args.folder,
        Records(args.records),
        args.bytes_per_s,
        args.requests_per_s,
        args.corrupt_every,
    )
    await serve(origin.app, args.port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
