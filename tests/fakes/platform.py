"""Stand-ins of the platform, written from its pages: targets, engine, origin."""

import asyncio
import hashlib
import json

from aiohttp import web


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


class Stating(Listener):
    """A target whose answers state something of itself.

    Attributes
    ----------
    rate : str
        Requests a second that its answers name; empty for none.
    rest : str
        It turns all requests away and asks for so much rest; None while it does not.
        Empty where it turns away without asking for rest.
    leaving : bool
        Whether its answers say that it leaves.
    arrivals : list of float
        When requests came that were meant for it, on the loop's clock.
    turned_away : int
        How many it turned away.
    """

    def __init__(self):
        super().__init__()
        self.rate = ""
        self.rest = None
        self.leaving = False
        self.arrivals = []
        self.turned_away = 0

    def stated(self):
        """Return the headers of what it states with any answer."""
        headers = {}
        if self.rate:
            headers["Server-Limit"] = self.rate
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def arrived(self, request):
        """Note a request; return the answer that turns it away, if it is."""
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.rest is None:
            return None
        self.turned_away += 1
        headers = {"X-Not-Executed": "1", **self.stated()}
        if self.rest:
            headers["Retry-After"] = self.rest
        return web.Response(status=503, headers=headers)


class Origin(Listener):
    """Hands out weights; `spoil` positions come wrong once each."""

    def __init__(self, chunks=8, chunk_bytes=20000):
        super().__init__()
        self.chunks, self.chunk_bytes = chunks, chunk_bytes
        self.newest = 1
        self.spoil = set()
        self.sent = 0
        self.app.add_routes(
            [
                web.get("/api/manifest/{model}", self.manifest),
                web.get("/api/piece/{model}", self.piece),
            ]
        )

    def bytes_of(self, version, position):
        seed = hashlib.sha256(f"{version}/{position}".encode()).digest()
        return (seed * (self.chunk_bytes // len(seed) + 1))[: self.chunk_bytes]

    async def manifest(self, request):
        version = int(request.query.get("version", self.newest))
        digests = [
            hashlib.sha256(self.bytes_of(version, n)).hexdigest()
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
        self.sent += 1
        position = int(request.query["quantity"])
        data = self.bytes_of(int(request.query["version"]), position)
        if position in self.spoil:
            self.spoil.discard(position)
            data = b"spoilt" + data[6:]
        return web.Response(body=data)


class Engine(Stating):
    """A model engine: a staging place, orders, and streams of events."""

    def __init__(self, origin, target_id="i-1", version=1, event_s=0.005):
        super().__init__()
        self.origin = origin
        self.target_id = target_id
        self.version = version
        self.event_s = event_s
        self.staged = {}
        self.rot = set()
        self.busy = False
        self.sequence = 0
        self.runs = []
        self.bad_loads = 0
        self.break_after = 0
        # Unix milliseconds of its start.
        self.born = 1
        # Rest that it asks its sidecar for in place of a report; empty for none.
        self.report_rest = ""
        self.report_times = []
        self.app.add_routes(
            [
                web.get("/api/report", self.report),
                web.post("/api/order", self.order),
                web.put("/api/stage-put/{model}", self.stage),
                web.get("/api/stage-get/{model}", self.held),
                web.route("*", "/{tail:.*}", self.serve),
            ]
        )

    async def report(self, request):
        self.report_times.append(asyncio.get_running_loop().time())
        if self.report_rest:
            return web.Response(status=503, headers={"Retry-After": self.report_rest})
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
                "born": self.born,
            },
            headers=self.stated(),
        )

    async def stage(self, request):
        position = int(request.query["quantity"])
        self.staged[position] = await request.read()
        if position in self.rot:
            self.rot.discard(position)
            self.staged[position] = b"rotten" + self.staged[position][6:]
        return web.Response()

    async def held(self, request):
        if "quantity" not in request.query:
            return web.json_response({"held": sorted(self.staged)})
        data = self.staged.get(int(request.query["quantity"]))
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def order(self, request):
        order = await request.json()
        version = order["version"]
        if version == self.version:
            return web.Response(status=200)
        self.sequence += 1
        self.busy = True
        wanted = {
            n: self.origin.bytes_of(version, n) for n in range(self.origin.chunks)
        }
        self.bad_loads += self.staged != wanted
        asyncio.get_running_loop().call_later(0.05, self.loaded, version)
        return web.Response(status=202)

    def loaded(self, version):
        self.version, self.busy = version, False

    def refusal(self, request):
        expected = request.headers.get("X-Expect-Instance")
        version = request.headers.get("X-Expect-Version")
        if expected and expected != self.target_id:
            return web.Response(status=421, headers={"X-Instance-Id": self.target_id})
        if version and int(version) != self.version:
            return web.Response(status=421)
        if self.busy:
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        return None

    async def serve(self, request):
        body = await request.read()
        refused = self.refusal(request)
        if refused is not None:
            return refused
        away = self.arrived(request)
        if away is not None:
            return away
        self.runs.append((request.method, request.raw_path, body, request.headers))
        headers = {
            "X-Request-Attempt-Id": request.headers["X-Request-Attempt-Id"],
            "X-Server-Stamp": f"stamp.{self.target_id}",
            **self.stated(),
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
            if self.break_after and number > self.break_after:
                await response.write(b"id: %d\nda" % number)
                self.break_after = 0
                request.transport.abort()
                return response
            await response.write(b"id: %d\ndata: %d\n\n" % (number, number * 7))
            await asyncio.sleep(self.event_s)
        await response.write_eof()
        return response


EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n * 7) for n in range(1, 11))


def configuration(version, origin, **changes):
    """Make an operator's configuration of one model service."""
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
