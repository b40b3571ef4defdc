"""Fakes of the platform, written from its documentation: targets, engine, origin."""

import asyncio
import hashlib
import json

from aiohttp import web

# Key under which a request holds when its target stops work on it.
STOPS_AT_S = web.RequestKey("stops_at_s", float)


def is_overdue(request):
    """Return whether the time limit that a target got with a request has passed."""
    return asyncio.get_running_loop().time() >= request[STOPS_AT_S]


def cut(request):
    """End the connection of a request within its response."""
    if request.transport is not None:
        request.transport.abort()


class Listener:
    """An HTTP server on loopback."""

    def __init__(self):
        self.app = web.Application(client_max_size=1 << 24)
        self.runner = web.AppRunner(self.app, access_log=None)
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        name = site._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    async def stop(self):
        self.runner._shutdown_timeout = 0.1
        await self.runner.cleanup()


class PausingTarget(Listener):
    """Target whose process may stand still and go on.

    It has read the requests that arrive meanwhile, and handles them when it goes on,
    whether or not their connections are still open.

    Attributes
    ----------
    awake : asyncio.Event
        Cleared while the target stands still.
    counts_silence : bool
        Whether the time of a request runs while the target stands still. It does not
        if the target reads the request only when it goes on.
    """

    def __init__(self):
        super().__init__()
        self.awake = asyncio.Event()
        self.awake.set()
        self.counts_silence = True
        self.app.middlewares.append(self.handle_when_awake)

    @web.middleware
    async def handle_when_awake(self, request, handler):
        await request.read()
        loop = asyncio.get_running_loop()
        read_s = loop.time()
        await self.awake.wait()
        if not self.counts_silence:
            read_s = loop.time()
        left_ms = float(request.headers.get("X-Deadline-Ms", "inf"))
        request[STOPS_AT_S] = read_s + left_ms / 1000
        return await handler(request)

    async def fall_silent(self, silent_s):
        """Stand still for some seconds."""
        self.awake.clear()
        await asyncio.sleep(silent_s)
        self.awake.set()


class SignallingTarget(PausingTarget):
    """Target whose responses carry signals: advertised rate, cool-down, leaving.

    Attributes
    ----------
    advertised_rate : str
        Requests per second that its responses advertise; empty for none.
    cooldown : str or None
        If not None, it rejects all requests and requests a cool-down of this many
        seconds; empty to reject without a requested cool-down.
    leaving : bool
        Whether its responses report that it is leaving.
    arrivals : list of float
        Arrival times of requests that were meant for it, on the loop's clock.
    rejected : int
        Number of requests rejected because of `cooldown`.
    """

    def __init__(self):
        super().__init__()
        self.advertised_rate = ""
        self.cooldown = None
        self.leaving = False
        self.arrivals = []
        self.rejected = 0

    def signal_headers(self):
        """Return the headers with which every response reports its signals."""
        headers = {}
        if self.advertised_rate:
            headers["Server-Limit"] = self.advertised_rate
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def record_arrival(self, request):
        """Record the arrival of a request; return the rejection if it is rejected."""
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.cooldown is None:
            return None
        self.rejected += 1
        headers = {"X-Not-Executed": "1", **self.signal_headers()}
        if self.cooldown:
            headers["Retry-After"] = self.cooldown
        return web.Response(status=503, headers=headers)


class Origin(Listener):
    """Serves weights; each of `corrupt_positions` is sent corrupted once.

    Pieces of `withheld_version` never arrive.
    """

    def __init__(self, chunks=8, chunk_bytes=20000):
        super().__init__()
        self.chunks, self.chunk_bytes = chunks, chunk_bytes
        self.newest_version = 1
        self.corrupt_positions = set()
        self.withheld_version = 0
        self.pieces_sent = 0
        self.app.add_routes(
            [
                web.get("/api/manifest/{model}", self.manifest),
                web.get("/api/piece/{model}", self.piece),
            ]
        )

    def piece_bytes(self, version, position):
        seed = hashlib.sha256(f"{version}/{position}".encode()).digest()
        return (seed * (self.chunk_bytes // len(seed) + 1))[: self.chunk_bytes]

    async def manifest(self, request):
        version = int(request.query.get("version", self.newest_version))
        digests = [
            hashlib.sha256(self.piece_bytes(version, n)).hexdigest()
            for n in range(self.chunks)
        ]
        return web.json_response(
            {
                "model": request.match_info["model"],
                "version": version,
                "chunk-bytes": self.chunk_bytes,
                "layers": 4,
                "digests": digests,
            }
        )

    async def piece(self, request):
        if int(request.query["version"]) == self.withheld_version:
            await asyncio.Event().wait()
        self.pieces_sent += 1
        position = int(request.query["quantity"])
        data = self.piece_bytes(int(request.query["version"]), position)
        if position in self.corrupt_positions:
            self.corrupt_positions.discard(position)
            data = b"spoilt" + data[6:]
        return web.Response(body=data)


class Engine(SignallingTarget):
    """Model engine: staging area, orders and event streams.

    Each of `corrupt_positions` is corrupted once when it is staged. `begun` has the
    time on the loop's clock and the version of the weights of each run.
    """

    def __init__(self, origin, target_id="i-1", version=1, event_s=0.005):
        super().__init__()
        self.origin = origin
        self.target_id = target_id
        self.version = version
        self.event_s = event_s
        self.staged = {}
        self.corrupt_positions = set()
        self.busy = False
        self.sequence = 0
        self.runs = []
        self.begun = []
        self.corrupted_loads = 0
        self.break_stream_after = 0
        # Start of the process in Unix milliseconds.
        self.started_ms = 1
        # Cool-down in seconds requested instead of a report; empty for none.
        self.report_cooldown = ""
        self.report_times = []
        self.app.add_routes(
            [
                web.get("/api/report", self.report),
                web.post("/api/order", self.order),
                web.put("/api/stage-put/{model}", self.stage),
                web.get("/api/stage-get/{model}", self.get_staged),
                web.route("*", "/{tail:.*}", self.serve),
            ]
        )

    async def report(self, request):
        self.report_times.append(asyncio.get_running_loop().time())
        if self.report_cooldown:
            return web.Response(
                status=503, headers={"Retry-After": self.report_cooldown}
            )
        models = [{"name": "model", "version": self.version, "adapters": []}]
        return web.json_response(
            {
                "stage": "both",
                "models": models if self.version else [],
                "layers": {"range-start": 0, "to": 4, "version": self.version},
                "busy": self.busy,
                "sequence": self.sequence,
                "waiting": 0,
                "running": 0,
                "born": self.started_ms,
            },
            headers=self.signal_headers(),
        )

    async def stage(self, request):
        position = int(request.query["quantity"])
        self.staged[position] = await request.read()
        if position in self.corrupt_positions:
            self.corrupt_positions.discard(position)
            self.staged[position] = b"rotten" + self.staged[position][6:]
        return web.Response()

    async def get_staged(self, request):
        if "quantity" not in request.query:
            return web.json_response({"held": sorted(self.staged)})
        data = self.staged.get(int(request.query["quantity"]))
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def order(self, request):
        order = await request.json()
        version = order["version"]
        if version == self.version:
            return web.Response(status=200)
        if self.busy or order.get("expected", self.sequence) != self.sequence:
            return web.Response(status=409)
        self.sequence += 1
        self.busy = True
        expected = {
            n: self.origin.piece_bytes(version, n) for n in range(self.origin.chunks)
        }
        self.corrupted_loads += self.staged != expected
        asyncio.get_running_loop().call_later(0.05, self.finish_load, version)
        return web.Response(status=202)

    def finish_load(self, version):
        self.version, self.busy = version, False

    def rejection(self, request):
        expected = request.headers.get("X-Expect-Instance")
        version = request.headers.get("X-Expect-Version")
        if expected and expected != self.target_id:
            return web.Response(status=421, headers={"X-Instance-Id": self.target_id})
        if version and int(version) != self.version:
            return web.Response(status=421)
        if self.busy or is_overdue(request):
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        return None

    async def serve(self, request):
        body = await request.read()
        rejection = self.rejection(request)
        if rejection is not None:
            return rejection
        cooldown_rejection = self.record_arrival(request)
        if cooldown_rejection is not None:
            return cooldown_rejection
        self.runs.append((request.method, request.raw_path, body, request.headers))
        self.begun.append((asyncio.get_running_loop().time(), self.version))
        headers = {
            "X-Request-Attempt-Id": request.headers["X-Request-Attempt-Id"],
            "X-Server-Stamp": f"stamp.{self.target_id}",
            **self.signal_headers(),
        }
        if request.method == "GET":
            return web.Response(body=b"plain answer", headers=headers)
        return await self.stream(request, headers)

    async def stream(self, request, headers):
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, 11):
            if self.break_stream_after and number > self.break_stream_after:
                await response.write(b"id: %d\nda" % number)
                self.break_stream_after = 0
                cut(request)
                return response
            if is_overdue(request):
                cut(request)
                return response
            await response.write(b"id: %d\ndata: %d\n\n" % (number, number * 7))
            await asyncio.sleep(self.event_s)
            await self.awake.wait()
        await response.write_eof()
        return response


EVENT_STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n * 7) for n in range(1, 11))


def configuration(version, origin, **changes):
    """Return an operator's configuration with one model service."""
    route = {
        "name": "r-model",
        "host": "model.example",
        "path-prefix": "/m/",
        "kind": "streaming",
        "timeout-ms": 6000,
        "target-latency-ms": 2000,
        "target-gap-ms": 1000,
        "priority": 1,
        "service": "model-service",
        "attempts": 2,
        "public": False,
        "stream-resumption": True,
    }
    once = {
        **route,
        "name": "r-once",
        "path-prefix": "/once/",
        "kind": "non_idempotent",
        "attempts": 1,
        "stream-resumption": False,
    }
    text = {
        "version": version,
        "routes": [route, once],
        "services": [
            {
                "name": "model-service",
                "health-check-path": "/health",
                "max-connections": 100,
                "engine": {
                    "slots": 8,
                    "models": [{"name": "model"}],
                    "stride": 5,
                    "step_ms": 9.27,
                    "per_seq_ms": 0.02,
                    "read_per_s": 20700.0,
                    "layers": 4,
                    "chunks": origin.chunks,
                    "chunk-bytes": origin.chunk_bytes,
                },
            },
            {"name": "origin", "origin": origin.address, "zone": "palermo"},
        ],
        "limits": {},
        "tenants": [{"name": "dealer", "api-keys": ["key-1"]}],
        **changes,
    }
    return json.dumps(text).encode()
