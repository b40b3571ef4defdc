"""Fake model engine and fake plain service.

The engine loads weights by reading them from its sidecar, and computes the
manifest's digest from the bytes that it received. It records from which digest each
response was generated, and never relies on the version in the order.
"""

import argparse
import asyncio
import contextlib
import json
import time

import aiohttp
from aiohttp import web
from blake3 import blake3

from tests.fakes.origin import serve
from tests.fakes.records import Records

READ_BYTES = 8 << 20
LOAD_PATH = "/control/load"


class FakeEngine:
    """Fake model engine, whose process may stand still and go on.

    While it stands still, it reads the requests that arrive. It handles them when it
    goes on, whether or not their connections are still open.

    Parameters
    ----------
    name : str
        Its name in the records.
    records : Records
        Receives an event for each request and load.
    checks_fencing : bool
        Whether it rejects orders with an outdated fencing number.
    slots : int
        Number of requests that it runs concurrently; others wait.
    token_s : float
        Seconds per token.
    load_s : float
        Seconds for a load, in addition to reading the weights.
    report_lag_s : float
        Interval at which the reported load is refreshed.
    load_fault : str
        Fault of each load: ``refuse`` rejects it and keeps serving the present
        version, ``crash`` loses that version, ``damage`` reads one wrong byte per
        chunk, ``silent`` loads but never responds.

    Attributes
    ----------
    awake : asyncio.Event
        Cleared while the engine stands still.
    read_while_silent : list of str
        Paths of the requests that it has read while it stood still.
    unread_orders : int
        Number of the next load orders that it reads only when `reads_orders` is set,
        whether or not their connections are still open.
    refuses_while_loading : bool
        Whether it refuses an order, whatever its fencing number, during a load.
    """

    def __init__(
        self,
        name: str,
        records: Records,
        checks_fencing: bool = True,
        slots: int = 8,
        token_s: float = 0.002,
        load_s: float = 0.05,
        report_lag_s: float = 0.2,
        load_fault: str = "",
    ):
        self.name = name
        self.records = records
        self.checks_fencing = checks_fencing
        self.token_s = token_s
        self.load_s = load_s
        self.report_lag_s = report_lag_s
        self.load_fault = load_fault
        self.slots = asyncio.Semaphore(slots)
        self.version = ""
        self.state = "empty"
        self.fencing = 0
        self.running = 0
        self.waiting = 0
        self.reported_load = (0.0, 0, 0)
        self.tasks: dict[str, asyncio.Task] = {}
        self.awake = asyncio.Event()
        self.awake.set()
        self.read_while_silent: list[str] = []
        self.late_tasks: set[asyncio.Task] = set()
        self.unread_orders = 0
        self.reads_orders = asyncio.Event()
        self.refuses_while_loading = False
        self.load_lock = asyncio.Lock()
        self.accepted_orders = 0
        self.app = web.Application(
            client_max_size=64 << 20, middlewares=[self.handle_when_awake]
        )
        self.app.add_routes(
            [
                web.get("/control/state", self.show_state),
                web.post(LOAD_PATH, self.load),
                web.post("/control/cancel", self.cancel),
                web.post("/fake/pace", self.set_token_time),
                web.post("/v1/completions", self.completions),
            ]
        )

    @web.middleware
    async def handle_when_awake(self, request: web.Request, handler):
        """Handle a request, but not before the engine goes on."""
        await request.read()
        begin = self.awake
        if request.path == LOAD_PATH and self.unread_orders:
            self.unread_orders -= 1
            begin = self.reads_orders
        if begin.is_set():
            return await handler(request)
        self.read_while_silent.append(request.path)
        handling = asyncio.create_task(self.handle_later(request, handler, begin))
        # The server cancels only the task that waits here.
        self.late_tasks.add(handling)
        handling.add_done_callback(self.late_tasks.discard)
        return await asyncio.shield(handling)

    async def handle_later(self, request: web.Request, handler, begin: asyncio.Event):
        """Handle a request when `begin` is set."""
        await begin.wait()
        return await handler(request)

    async def work(self, seconds: float) -> None:
        """Work for some seconds, and not while the engine stands still."""
        await asyncio.sleep(seconds)
        await self.awake.wait()

    async def show_state(self, request: web.Request) -> web.Response:
        """Return the state; running and waiting requests lag behind."""
        now = asyncio.get_running_loop().time()
        if now - self.reported_load[0] >= self.report_lag_s:
            self.reported_load = (now, self.running, self.waiting)
        return web.json_response(
            {
                "version": self.version,
                "state": "loading" if self.accepted_orders else self.state,
                "fencing": self.fencing,
                "running": self.reported_load[1],
                "waiting": self.reported_load[2],
            }
        )

    def refusal(self, order: dict) -> web.Response | None:
        """Return the response to an order with an outdated fencing number."""
        if not self.checks_fencing or order["fencing"] >= self.fencing:
            return None
        self.records.add("fenced", engine=self.name, fencing=order["fencing"])
        return web.Response(status=409, text=f"fencing is at {self.fencing}")

    async def load(self, request: web.Request) -> web.Response:
        """Load the ordered version from the sidecar's URL, one order at a time."""
        order = await request.json()
        if self.refuses_while_loading and self.state == "loading":
            self.records.add("busy", engine=self.name, fencing=order["fencing"])
            return web.Response(status=503, text="a load is in progress")
        if refusal := self.refusal(order):
            return refusal
        self.fencing = max(self.fencing, order["fencing"])
        self.accepted_orders += 1
        try:
            async with self.load_lock:
                response = self.refusal(order) or await self.execute(order)
        finally:
            self.accepted_orders -= 1
        if self.load_fault == "silent" and response.status == 200:
            await asyncio.Event().wait()
        return response

    async def execute(self, order: dict) -> web.Response:
        """Execute a load order that was accepted."""
        if self.running:
            self.records.add("load_while_running", engine=self.name)
        if self.load_fault == "refuse":
            return web.Response(
                status=500, text="not enough memory to load the version"
            )
        self.version, self.state = "", "loading"
        if self.load_fault == "crash":
            self.state = "empty"
            return web.Response(status=500, text="crashed during the load")
        try:
            digest = await self.read_weights(order["source_url"], order["version"])
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self.state = "empty"
            return web.Response(status=500, text=repr(error))
        await self.work(self.load_s)
        self.version, self.state = digest, "open"
        self.records.add(
            "loaded", engine=self.name, version=digest, ordered=order["version"]
        )
        return web.Response(text="loaded")

    async def read_weights(self, source_url: str, version: str) -> str:
        """Read all weights; return the manifest digest of the bytes that were read."""
        base = f"{source_url}/{version}"
        async with aiohttp.ClientSession() as session:
            manifest = await read_body(session, f"{base}/manifest.json", {}, 200)
            tree = json.loads(manifest)
            for file in tree["files"]:
                file["chunks"] = [
                    digest
                    async for digest in self.read_file(
                        session, base, file, tree["chunk_bytes"]
                    )
                ]
        text = json.dumps(tree, separators=(",", ":"), ensure_ascii=False)
        return blake3(text.encode()).hexdigest()

    async def read_file(self, session, base: str, file: dict, chunk_bytes: int):
        """Yield the digest of each chunk as it was read."""
        url = f"{base}/files/{file['path']}"
        for start in range(0, file["size"], chunk_bytes):
            last = min(start + chunk_bytes, file["size"]) - 1
            headers = {"Range": f"bytes={start}-{last}"}
            data = await read_body(session, url, headers, 206)
            if self.load_fault == "damage":
                data = data[:-1] + bytes([data[-1] ^ 1])
            yield blake3(data).hexdigest()

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request."""
        body = await request.json()
        task = self.tasks.get(body["request_id"])
        if task is not None:
            task.cancel()
        return web.Response(text="ok")

    async def set_token_time(self, request: web.Request) -> web.Response:
        """Set the seconds per token, to make a target slow or normal again."""
        self.token_s = (await request.json())["token_s"]
        return web.Response(text="ok")

    async def completions(self, request: web.Request) -> web.StreamResponse:
        """Run a completion of ``max_tokens`` tokens, streamed if requested."""
        body = await request.json()
        request_id = request.headers["X-Request-Id"]
        self.tasks[request_id] = asyncio.current_task()
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        version = self.version
        started_at = time.time()
        try:
            return await self.generate(request, body, version)
        finally:
            self.running -= 1
            self.slots.release()
            self.tasks.pop(request_id, None)
            self.records.add(
                "ran",
                engine=self.name,
                request_id=request_id,
                key=request.headers.get("Idempotency-Key", ""),
                account=request.headers.get("X-Client-Account", ""),
                prompt=body.get("prompt", ""),
                version=version,
                version_at_end=self.version,
                started_at=started_at,
            )

    async def generate(
        self, request: web.Request, body: dict, version: str
    ) -> web.StreamResponse:
        """Generate tokens that contain the prompt, to detect responses mixed up."""
        if not version:
            self.records.add("no_weights", engine=self.name)
            return web.Response(status=503, text="no weights loaded")
        tokens = [f"{body['prompt']}:{i} " for i in range(body.get("max_tokens", 4))]
        headers = {"X-Model-Version": version}
        if not body.get("stream"):
            await self.work(self.token_s * len(tokens))
            choice = {"index": 0, "text": "".join(tokens), "finish_reason": "stop"}
            answer = {"object": "text_completion", "choices": [choice]}
            return web.json_response(answer, headers=headers)
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for token in tokens:
            await self.work(self.token_s)
            event = {"choices": [{"index": 0, "text": token}]}
            await response.write(f"data: {json.dumps(event)}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        return response


class FakePlainService:
    """Fake plain service that records each request it runs."""

    def __init__(self, name: str, records: Records, service_time_s: float = 0.005):
        self.name = name
        self.records = records
        self.service_time_s = service_time_s
        self.app = web.Application(client_max_size=64 << 20)
        self.app.add_routes(
            [web.get("/health", self.health), web.route("*", "/{rest:.*}", self.run)]
        )

    async def health(self, request: web.Request) -> web.Response:
        """Respond that the service is up."""
        return web.Response(text="ok")

    async def run(self, request: web.Request) -> web.Response:
        """Run and record a request."""
        body = (await request.read()).decode(errors="replace")
        self.records.add(
            "ran",
            engine=self.name,
            request_id=request.headers.get("X-Request-Id", ""),
            key=request.headers.get("Idempotency-Key", ""),
            account=request.headers.get("X-Client-Account", ""),
            prompt=body,
            version="",
            version_at_end="",
            started_at=time.time(),
        )
        await asyncio.sleep(self.service_time_s)
        return web.json_response({"path": request.path, "echo": body})


async def read_body(session, url: str, headers: dict, status: int) -> bytes:
    """Return the body of a GET; raise ValueError on an unexpected status."""
    async with session.get(url, headers=headers) as response:
        body = await response.read()
        if response.status != status:
            raise ValueError(f"GET {url}: unexpected status {response.status}")
        return body


async def main() -> None:
    """Run as a process with command-line options."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--records", required=True)
    parser.add_argument("--plain", action="store_true")
    parser.add_argument("--ignores-fencing", action="store_true")
    parser.add_argument("--load-fault", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-s", type=float, default=0.002)
    parser.add_argument("--load-s", type=float, default=0.05)
    parser.add_argument("--work-s", type=float, default=0.005)
    args = parser.parse_args()
    records = Records(args.records)
    if args.plain:
        fake = FakePlainService(args.name, records, args.work_s)
    else:
        fake = FakeEngine(
            args.name,
            records,
            not args.ignores_fencing,
            args.slots,
            args.token_s,
            args.load_s,
        )
        fake.load_fault = args.load_fault
    await serve(fake.app, args.port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
