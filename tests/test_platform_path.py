"""End-to-end tests with the platform's formats: control, entry, sidecar on loopback."""

import asyncio
import contextlib
from pathlib import Path

import aiohttp
import pytest

from tests.fakes.platform import EVENT_STREAM, Engine, Origin, configuration
from tests.fleet import free_hosts, free_port
from wisteriapulley.platform import ingress, names
from wisteriapulley.platform.daemons import new_control, new_entry, new_sidecar
from wisteriapulley.platform.settings import PlatformSettings

KEY = "k" * 40
MAX_WAIT_S = 30.0


def settings_file(folder, host, base, **more):
    """Write a settings file in the platform's format; `seed` defaults to the host."""
    seed = more.get("seed", host)
    text = f"""
node-name = "node-{host}"
ip-address = "{host}"
zone = "palermo"
region = "palermo"
internal-port-range = [{base},{base + 15}]
seed-nodes = ["{seed}:{base + 10}"]
bootstrap = true
data-directory = "{folder}"
heartbeat-interval-ms = 1200
unknown-key = 1
app = "{more.get("app", "")}"
service = "model-service"
[zones]
palermo = "sicily"
[listen-addresses]
frontend = "{host}:{base + 8}"
readiness = "{host}:{base + 9}"
control-plane = "{host}:{base + 10}"
[limits]
link-mbps = 0.0
[fault-tolerance]
machines = 0
[bounds]
grace-period-s = 3
version_ms = {more.get("version_ms", 8000)}
"""
    path = Path(folder) / f"settings-{host}.toml"
    path.write_text(text)
    return PlatformSettings.from_file(str(path))


class PlatformFleet:
    """One control instance, one entry, one sidecar, an engine and an origin."""

    def __init__(self, folder, version_ms=8000):
        self.folder = folder
        self.version_ms = version_ms
        (self.host,) = free_hosts(1)
        self.base = free_port()
        self.origin = Origin()
        self.engine = Engine(self.origin)
        self.sequence = 0
        self.cold_ms = 0
        self.services = []

    async def start(self):
        key = self.folder / "key"
        key.write_text(KEY)
        await self.origin.start()
        await self.engine.start(self.host)
        own = settings_file(
            str(self.folder),
            self.host,
            self.base,
            app=self.engine.address,
            version_ms=self.version_ms,
        )
        self.control = new_control(own, str(key))
        self.sidecar = new_sidecar(own, str(key))
        self.entry = new_entry(own, str(key))
        self.services = [self.control, self.sidecar, self.entry]
        for service in self.services:
            service.fatal = asyncio.get_running_loop().create_future()
            await service.start()
        self.session = aiohttp.ClientSession()
        self.heartbeat_task = asyncio.create_task(self.heartbeat_loop())

    async def stop(self):
        self.heartbeat_task.cancel()
        await self.session.close()
        for service in reversed(self.services):
            await service.stop()
        await self.engine.stop()
        await self.origin.stop()

    def url(self, port, path):
        return f"http://{self.host}:{self.base + port}{path}"

    async def post(self, path, body):
        async with self.session.post(self.url(10, path), data=body) as answer:
            await answer.read()
            return answer.status

    async def read(self):
        async with self.session.get(self.url(10, names.READ_CALL)) as answer:
            return answer.status, await answer.read()

    async def send_heartbeat(self, state="ready"):
        self.sequence += 1
        body = (
            f'{{"service":"model-service","address":"{self.engine.address}",'
            f'"zone":"palermo","version":"v1","slots":8,"state":"{state}",'
            f'"cold-remaining-ms":{self.cold_ms},"sequence":{self.sequence},"models":'
            f'[{{"name":"model","version":{self.engine.version},"adapters":[]}}]}}'
        )
        path = names.HEARTBEAT_CALL.format(target_id=self.engine.target_id)
        return await self.post(path, body.encode())

    async def heartbeat_loop(self):
        """Send heartbeats, also after one that found no control instance."""
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                await self.send_heartbeat()
            await asyncio.sleep(0.2)

    async def until(self, check):
        """Wait for a condition, with a time limit that suits a busy machine."""
        async with asyncio.timeout(MAX_WAIT_S):
            while not await check():
                await asyncio.sleep(0.02)

    async def post_until_accepted(self, path, body):
        async def check():
            return await self.post(path, body) == 200

        await self.until(check)

    async def ask(
        self,
        path="/m/a%2Fb?x=%20y",
        method="POST",
        key="key-1",
        body=b"body",
        **headers,
    ):
        async with self.session.request(
            method,
            aiohttp.client.URL(self.url(8, path), encoded=True),
            data=body if method == "POST" else None,
            headers={
                "Host": "model.example",
                "X-Request-Attempt-Id": headers.pop("id", "request-1"),
                "X-Deadline-Ms": "5000",
                "X-Token-Counts": "100,50",
                "Authorization": f"Bearer {key}",
                **headers,
            },
        ) as answer:
            return answer.status, await answer.read(), answer.headers

    async def wait_confirmed(self):
        """Wait until a quorum confirmed the entry's table; before, it sends no 404."""

        async def check():
            return self.entry.is_ready()

        await self.until(check)

    async def wait_served(self):
        async def check():
            status, _, _ = await self.ask()
            return status == 200

        await self.until(check)


def run_scenario(tmp_path, scenario, **options):
    async def run():
        path = PlatformFleet(tmp_path, **options)
        try:
            await path.start()
            await path.post_until_accepted(
                names.REPLACE_CALL, configuration(3, path.origin)
            )
            await path.wait_served()
            await path.wait_confirmed()
            path.engine.runs.clear()
            await scenario(path)
        finally:
            await path.stop()

    asyncio.run(run())


class TestRequests:
    def test_stream_is_forwarded_unchanged(self, tmp_path):
        async def scenario(path):
            status, body, headers = await path.ask(**{"X-Tenant": "forged"})
            assert (status, body) == (200, EVENT_STREAM)
            assert headers["X-Server-Stamp"] == "stamp.i-1"
            ((method, raw, sent, got),) = path.engine.runs
            assert (method, raw, sent) == ("POST", "/m/a%2Fb?x=%20y", b"body")
            assert got.getall("X-Tenant") == ["dealer"]
            assert "Authorization" not in got
            assert got["X-Expect-Instance"] == "i-1"
            assert got["X-Expect-Version"] == "1"
            assert 0 < int(got["X-Deadline-Ms"]) <= 5000

        run_scenario(tmp_path, scenario)

    def test_refusals(self, tmp_path):
        async def scenario(path):
            assert (await path.ask("/none/"))[0] == 404
            assert (await path.ask(key="wrong"))[0] == 401
            path.engine.target_id = "i-2"
            # Another instance at the address rejects the request without running it.
            status, _, headers = await path.ask()
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            assert path.engine.runs == []

        run_scenario(tmp_path, scenario)

    def test_token_count_out_of_range_ends_no_request(self, tmp_path):
        async def scenario(path):
            status, body, _ = await path.ask(**{"X-Token-Counts": "4294967296,50"})
            assert (status, body) == (200, EVENT_STREAM)

        run_scenario(tmp_path, scenario)

    def test_request_that_is_not_understood_is_counted(self, tmp_path, monkeypatch):
        def fail(*args):
            raise KeyError("unexpected")

        async def scenario(path):
            monkeypatch.setattr(ingress, "decode_request", fail)
            status, _, _ = await path.ask()
            assert status == 502
            assert path.entry.dispatcher.metrics.internal_errors.get({}) == 1

        run_scenario(tmp_path, scenario)

    def test_broken_stream_of_the_only_target_is_cut(self, tmp_path):
        async def scenario(path):
            path.engine.break_stream_after = 4
            # A request is not sent to the same target twice, so the answer is cut.
            with pytest.raises(aiohttp.ClientError):
                await path.ask()
            assert len(path.engine.runs) == 1

        run_scenario(tmp_path, scenario)

    def test_leaving_target_receives_no_more_requests(self, tmp_path):
        async def scenario(path):
            path.heartbeat_task.cancel()
            assert await path.send_heartbeat("draining") == 200

            async def refused():
                return (await path.ask())[0] == 503

            await path.until(refused)
            runs = len(path.engine.runs)
            assert await path.send_heartbeat("ready") == 200
            assert (await path.ask())[0] == 503
            assert len(path.engine.runs) == runs

        run_scenario(tmp_path, scenario)

    def test_configuration_is_read_back_unchanged(self, tmp_path):
        async def scenario(path):
            newer = configuration(9, path.origin, extra="kept")
            await path.post_until_accepted(names.REPLACE_CALL, newer)
            assert await path.read() == (200, newer)
            other = configuration(9, path.origin, extra="other")
            assert await path.post(names.REPLACE_CALL, other) == 200
            assert await path.post(names.REPLACE_CALL, newer[:-9]) == 400
            assert await path.read() == (200, newer)

        run_scenario(tmp_path, scenario)

    def test_removed_route_is_no_longer_served(self, tmp_path):
        async def scenario(path):
            await path.post_until_accepted(
                names.REPLACE_CALL, configuration(9, path.origin, routes=[])
            )

            async def gone():
                return (await path.ask())[0] == 404

            await path.until(gone)

        run_scenario(tmp_path, scenario)


class TestWeights:
    def test_newer_version_is_downloaded_verified_and_loaded(self, tmp_path):
        async def scenario(path):
            path.origin.newest_version = 2
            path.origin.corrupt_positions = {1, 4}
            path.engine.corrupt_positions = {0, 3}
            order = b'{"model":"model","version":2}'
            await path.post_until_accepted(names.WEIGHTS_CALL, order)

            async def loaded():
                return path.engine.version == 2

            await path.until(loaded)
            assert path.engine.corrupted_loads == 0
            await path.wait_served()
            status, body, _ = await path.ask()
            assert (status, body) == (200, EVENT_STREAM)
            assert path.engine.runs[-1][3]["X-Expect-Version"] == "2"
            # Each piece was fetched once, and again if it arrived corrupted.
            assert path.origin.pieces_sent <= path.origin.chunks + 2

        run_scenario(tmp_path, scenario)

    def test_engine_that_lost_its_weights_loads_them_again(self, tmp_path):
        async def scenario(path):
            path.engine.version = 0

            async def loaded():
                return path.engine.version == 1

            await path.until(loaded)
            assert path.engine.corrupted_loads == 0
            await path.wait_served()

        run_scenario(tmp_path, scenario)


class StallClock:
    """Measures the longest stall of the loop, which all parts of a test share."""

    INTERVAL_S = 0.01

    def __init__(self):
        self.longest_s = 0.0

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + self.INTERVAL_S
            await asyncio.sleep(self.INTERVAL_S)
            self.longest_s = max(self.longest_s, loop.time() - due_s)


class TestVersionEnd:
    """The newer version never arrives, and the engine stands still across the end."""

    VERSION_S = 3.0
    PAUSE_AFTER_S = 0.6

    @pytest.mark.parametrize("before_s", [0.5, 1.0])
    def test_no_request_begins_after_the_end(self, tmp_path, before_s):
        async def scenario(path):
            loop = asyncio.get_running_loop()
            stalls = StallClock()
            path.origin.withheld_version = 2
            order = b'{"model":"model","version":2}'
            await path.post_until_accepted(names.WEIGHTS_CALL, order)
            end_s = loop.time() + self.VERSION_S
            path.engine.begun.clear()
            tasks = [
                asyncio.create_task(stalls.run()),
                asyncio.create_task(self.pause(path.engine, end_s, before_s)),
            ]
            asked = []
            while loop.time() < end_s + 1:
                asked.append(asyncio.create_task(path.ask(id=f"q{len(asked)}")))
                await asyncio.sleep(0.05)
            await asyncio.gather(*asked, return_exceptions=True)
            for task in tasks:
                task.cancel()
            assert path.engine.begun
            assert {version for _, version in path.engine.begun} == {1}
            late_s = max(at_s for at_s, _ in path.engine.begun) - end_s
            assert late_s <= stalls.longest_s

        run_scenario(tmp_path, scenario, version_ms=int(self.VERSION_S * 1000))

    async def pause(self, engine, end_s, before_s):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(end_s - before_s - loop.time())
        await engine.fall_silent(before_s + self.PAUSE_AFTER_S)


class TestDeadlineOfTheEngine:
    """An engine stands still until after the time that a request gives it."""

    def ask(self, counts_silence):
        """Return the status of a request that an engine has read, and its runs."""

        async def run():
            engine = Engine(Origin())
            engine.counts_silence = counts_silence
            await engine.start()
            silence = asyncio.create_task(engine.fall_silent(0.3))
            await asyncio.sleep(0)
            headers = {"X-Request-Attempt-Id": "q", "X-Deadline-Ms": "100"}
            try:
                async with aiohttp.ClientSession() as session:
                    async with session.get(
                        f"http://{engine.address}/m/a", headers=headers
                    ) as answer:
                        return answer.status, answer.headers, len(engine.begun)
            finally:
                await silence
                await engine.stop()

        return asyncio.run(run())

    def test_request_that_it_had_read_does_not_begin(self):
        status, headers, begun = self.ask(counts_silence=True)
        assert (status, begun) == (503, 0) and headers["X-Not-Executed"]

    def test_request_that_it_reads_when_it_goes_on_begins(self):
        """So a deadline alone does not keep requests from beginning too late."""
        status, _, begun = self.ask(counts_silence=False)
        assert (status, begun) == (200, 1)
