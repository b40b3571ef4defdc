"""Fake origin of weights, and fake rate-limited weight store.

Serves ``/<version>/manifest.json`` and ``/<version>/files/<path>`` by range
from a folder with one subfolder a version. The store answers 429 with
Retry-After beyond its request rate.
"""

import argparse
import asyncio
import contextlib
from pathlib import Path

from aiohttp import web

from tests.fakes.rate import PIECE_BYTES, RateLimit
from tests.fakes.records import Records


class FakeOrigin:
    """Origin or store.

    Parameters
    ----------
    folder : str
        ``<version>/manifest.json`` and ``<version>/files/...``.
    records : Records
        Gets an event for each answer.
    bytes_per_s : float
        Rate of its link; 0 for no limit.
    requests_per_s : float
        Beyond it 429; 0 for no limit.
    corrupt_every : int
        Flip a byte in every so-manieth file answer; 0 for never.
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
        self.link = RateLimit(bytes_per_s)
        self.requests_per_s = requests_per_s
        self.corrupt_every = corrupt_every
        self.count = 0
        self.allowance = max(1.0, requests_per_s)
        self.counted_at = 0.0
        self.app = web.Application()
        self.app.add_routes(
            [
                web.get("/{version}/manifest.json", self.manifest),
                web.get("/{version}/files/{path:.+}", self.file),
            ]
        )

    def refuse(self) -> bool:
        """Tell whether the request rate is exceeded."""
        if not self.requests_per_s:
            return False
        now = asyncio.get_running_loop().time()
        gained = (now - self.counted_at) * self.requests_per_s
        self.allowance = min(max(1.0, self.requests_per_s), self.allowance + gained)
        self.counted_at = now
        if self.allowance < 1:
            return True
        self.allowance -= 1
        return False

    async def manifest(self, request: web.Request) -> web.StreamResponse:
        """Serve a manifest."""
        path = self.folder / request.match_info["version"] / "manifest.json"
        if not path.exists():
            return web.Response(status=404)
        return await self.send(request, path.read_bytes(), 200, {})

    async def file(self, request: web.Request) -> web.StreamResponse:
        """Serve a range of a file."""
        if self.refuse():
            return web.Response(status=429, headers={"Retry-After": "1"})
        version = request.match_info["version"]
        path = self.folder / version / "files" / request.match_info["path"]
        if not path.is_file():
            return web.Response(status=404)
        span = request.http_range
        data = path.read_bytes()
        start, end = span.start or 0, min(span.stop or len(data), len(data))
        body = bytearray(data[start:end])
        self.count += 1
        if self.corrupt_every and self.count % self.corrupt_every == 0:
            body[len(body) // 2] ^= 0xFF
        headers = {"Content-Range": f"bytes {start}-{end - 1}/{len(data)}"}
        return await self.send(request, bytes(body), 206, headers)

    async def send(
        self, request: web.Request, body: bytes, status: int, headers: dict
    ) -> web.StreamResponse:
        """Send a body no faster than the link."""
        response = web.StreamResponse(status=status, headers=headers)
        response.content_length = len(body)
        await response.prepare(request)
        sent = 0
        try:
            for start in range(0, len(body), PIECE_BYTES):
                piece = body[start : start + PIECE_BYTES]
                await self.link.take(len(piece))
                await response.write(piece)
                sent += len(piece)
        finally:
            self.records.add("sent", path=request.path, bytes=sent)
        return response


async def serve(app: web.Application, port: int) -> web.AppRunner:
    """Listen on loopback."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


async def main() -> None:
    """Run as a process."""
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
