"""Model servers and the origin of weights, as PROTOCOL.md describes them."""

import asyncio
import hashlib
import json

from aiohttp import web
from standins.servers import PlainServer

MODEL = "daka510000"
LAYERS, CHUNKS, CHUNK_BYTES = 16, 64, 32768
WARM_S = 0.3
EVENTS, EVENT_S = 20, 0.0465
ORIGIN_BITS_PER_S = 9.9e6
SPOILT_PIECE = 7


def spoilt(body, digest):
    """Return a body in which the lowest bit of one digit of a digest is wrong."""
    at = next(
        n for n in range(body.index(digest), len(body)) if 0x30 <= body[n] <= 0x39
    )
    return body[:at] + bytes([body[at] ^ 1]) + body[at + 1 :]


def piece_bytes(version, position):
    """Return a piece of a version."""
    seed = hashlib.sha256(f"{version}/{position}".encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


class Origin:
    """Serves manifests and pieces of all versions over a link of its own.

    `spoils_next` lets one bit of the next manifest of the newest version be wrong.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.newest = 1
        self.spoils_next = False
        self.answers = 0
        self.link = asyncio.Lock()
        app = web.Application()
        app.router.add_get("/api/manifest/{model}", self.manifest)
        app.router.add_get("/api/piece/{model}", self.piece)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)

    async def start(self, host):
        """Listen."""
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, 0)
        await site.start()
        self.address = f"{host}:{site._server.sockets[0].getsockname()[1]}"

    async def manifest(self, request):
        """Return the digests of a version."""
        self.answers += 1
        version = int(request.query.get("version", self.newest))
        digests = [
            hashlib.sha256(piece_bytes(version, n)).hexdigest() for n in range(CHUNKS)
        ]
        body = json.dumps(
            {
                "model": request.match_info["model"],
                "version": version,
                "chunk-bytes": CHUNK_BYTES,
                "layers": LAYERS,
                "digests": digests,
            }
        ).encode()
        if self.spoils_next and version == self.newest:
            self.spoils_next = False
            body = spoilt(body, digests[SPOILT_PIECE].encode())
            self.deployment.record(f"origin sends a spoilt manifest of {version}")
        else:
            self.deployment.record(f"origin sends the manifest of {version}")
        return web.Response(body=body, content_type="application/json")

    async def piece(self, request):
        """Return a piece."""
        self.answers += 1
        version = int(request.query.get("version", self.newest))
        async with self.link:
            await asyncio.sleep(CHUNK_BYTES * 8 / ORIGIN_BITS_PER_S)
        return web.Response(body=piece_bytes(version, int(request.query["quantity"])))


class EngineServer(PlainServer):
    """A model server with staged pieces and one loaded version."""

    def __init__(self, deployment, session, service, instance, zone):
        super().__init__(deployment, session, service, instance, zone)
        self.version, self.sequence_of_orders, self.busy = 1, 0, False
        self.staged = {n: piece_bytes(1, n) for n in range(CHUNKS)}
        self.idle = asyncio.Event()
        self.idle.set()
        self.app = web.Application(client_max_size=8 << 20)
        router = self.app.router
        router.add_get("/api/report", self.show_report)
        router.add_post("/api/order", self.order)
        router.add_put("/api/stage-put/{model}", self.stage)
        router.add_get("/api/stage-get/{model}", self.show_staged)
        router.add_route("*", "/{tail:.*}", self.serve)
        self.runner = web.AppRunner(self.app, access_log=None, shutdown_timeout=0.1)

    def models(self):
        """Return the models as reports and status reports list them."""
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def show_report(self, request):
        """Return the report."""
        return web.json_response(
            {
                "stage": "both",
                "models": self.models(),
                "layers": {"range-start": 0, "to": LAYERS, "version": self.version},
                "busy": self.busy,
                "sequence": self.sequence_of_orders,
                "waiting": 0,
                "running": self.running,
                "kv-cache-used": 1000 * self.running,
                "kv-cache-total": 317000,
                "handles": 0,
                "pace": 1.0,
            }
        )

    async def stage(self, request):
        """Store a piece; it isn't checked."""
        position = int(request.query["quantity"])
        self.staged[position] = await request.read()
        return web.Response()

    async def show_staged(self, request):
        """Return a staged piece, or which there are."""
        if "quantity" not in request.query:
            return web.json_response({"held": sorted(self.staged)})
        position = int(request.query["quantity"])
        if position not in self.staged:
            return web.Response(status=404)
        return web.Response(body=self.staged[position])

    async def order(self, request):
        """Accept an order to load the staged pieces as they are now."""
        order = await request.json()
        version = order["version"]
        if order["operation"] != "start" or order["model"] != MODEL:
            return web.Response(status=400)
        if version == self.version and not self.busy:
            return web.Response(status=200)
        if self.busy or order.get("expected", self.sequence_of_orders) != (
            self.sequence_of_orders
        ):
            return web.Response(status=409)
        self.sequence_of_orders += 1
        self.busy = True
        self.deployment.record(f"{self.instance} accepts an order for {version}")
        self.task_of_load = asyncio.create_task(self.load(version))
        return web.Response(status=202)

    async def load(self, version):
        """Load after the running requests."""
        await self.idle.wait()
        await asyncio.sleep(WARM_S)
        self.version, self.busy = version, False

    async def report(self):
        """Send a status report, with the models."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold-remaining-ms": 0,
            "stage": "both",
            "models": self.models(),
            "sequence": self.sequence,
        }
        path = f"/api/Instances.Heartbeat/{self.instance}"
        for address in self.controls():
            if await self.call(address, path, body):
                return

    async def serve(self, request):
        """Run a stream."""
        await request.read()
        if request.path == "/health":
            return web.Response(headers={"X-Instance-Id": self.instance})
        expected = request.headers.get("X-Expect-Instance", self.instance)
        version = int(request.headers.get("X-Expect-Version", self.version))
        if expected != self.instance or version != self.version:
            return web.Response(status=421, headers={"X-Not-Executed": "1"})
        if self.busy or self.running >= 16:
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        attempt = request.headers.get("X-Request-Attempt-Id", "")
        self.running += 1
        self.idle.clear()
        self.runs.append((self.deployment.now_s(), attempt))
        self.deployment.record(
            f"{self.instance} runs {attempt}, version {self.version}"
        )
        try:
            return await self.stream(request, attempt)
        finally:
            self.running -= 1
            if not self.running:
                self.idle.set()

    async def stream(self, request, attempt):
        """Send the events."""
        response = web.StreamResponse(
            headers={
                "X-Request-Attempt-Id": attempt,
                "X-Server-Stamp": f"stamp.{self.instance}.{attempt}",
                "X-Server-Load": f"{self.running},0,16",
                "X-Weight-Versions": str(self.version),
                "Content-Type": "text/event-stream",
            }
        )
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            await response.write(b"id: %d\ndata: %d\n\n" % (number, number))
        await response.write_eof()
        return response


def engine_config(version, origin, service):
    """Return a config with one model service and the origin."""
    zones = ("galway-hall", "swords-hall", "belfast-hall")
    return {
        "version": version,
        "routes": [
            {
                "name": "r-summarise",
                "host": "letters.example",
                "path-prefix": "/summarise/",
                "kind": "streaming",
                "timeout-ms": 6000,
                "target-latency-ms": 506,
                "target-gap-ms": 400,
                "priority": 1,
                "service": service,
                "attempts": 2,
                "public": False,
                "session-affinity": True,
                "stream-resumption": True,
            }
        ],
        "services": [
            {
                "name": service,
                "health-check-path": "/health",
                "max-connections": 344,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 16,
                    "kv-cache-tokens": 317000,
                    "kv-token-bytes": 262144,
                    "link-mbps": 400000.0,
                    "stride": 5,
                    "models": [
                        {
                            "name": MODEL,
                            "pace": 1.0,
                            "load-time-s": 4.0,
                            "warm-s": WARM_S,
                        }
                    ],
                    "megabytes": 149000.0,
                    "adapter-slots": 8,
                    "loads-per-s": 0.0,
                    "step_ms": 9.27,
                    "per_seq_ms": 0.0232,
                    "context_per_k": 0.0322,
                    "read_per_s": 20700.0,
                    "pairs_per_m": 1.18,
                    "chunk": 2048,
                    "report_lag_ms": 200.0,
                    "loads_at_once": 8,
                    "delays": [
                        {"range-start": a, "to": b, "delay_ms": 1.8}
                        for a, b in zip(zones, zones[1:], strict=False)
                    ],
                    "usual": {"prompt": 979, "answer": 92},
                    "layers": LAYERS,
                    "layer_mb": 4090.0,
                    "act_bytes": 16384,
                    "pipe_mbps": 0.0,
                    "chunks": CHUNKS,
                    "chunk-bytes": CHUNK_BYTES,
                },
            },
            {
                "name": "intake",
                "origin": origin.address,
                "zone": "galway-hall",
                "link-mbps": 9.9,
                "max-connections": 48,
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "council", "api-keys": ["key-council"], "priority": 1}],
    }
