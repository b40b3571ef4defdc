"""Versions of weights that are named faster than an engine downloads one."""

import asyncio
import hashlib

import pytest
from bench.turned_away import VirtualLoop
from msgspec import structs

from tests.test_evacuated_engine import ENGINE, name_version, new_service
from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.rollout.engine import EngineReport, OrderOutcome
from wisteriapulley.settings import Address
from wisteriapulley.weights.fetch_order import VersionFetch
from wisteriapulley.weights.pieces import PieceManifest
from wisteriapulley.weights.relay import Relay, manifest_reply
from wisteriapulley.wire import Frame, messages

ENGINES = 12
PIECES, PIECE_BYTES = 64, 32768
# A copy takes 2.8 s over the origin's link and 4.4 s over an engine's.
ORIGIN_PIECE_S = 0.044
ENGINE_LINK_MBPS = 3.8
LOAD_S = 0.3
ONE_WAY_S = 0.001
SAMPLE_S = 0.1


def piece(version, position):
    return (b"%06d.%04d " % (version, position)) * (PIECE_BYTES // 12)


def manifest_of(version):
    digests = [hashlib.sha256(piece(version, n)).digest() for n in range(PIECES)]
    return PieceManifest("m", version, len(piece(1, 0)), 4, tuple(digests))


class Origin:
    """The newest version and the one before it, over a slow link."""

    name = key = "origin"
    max_in_flight = 4

    def __init__(self):
        self.newest = 1
        self.free_s = 0.0
        self.away = False
        self.manifests = {}

    def check(self, version):
        if self.away or version < self.newest - 1:
            raise WeightsError(ResultCode.SOURCE_UNAVAILABLE, "gone")

    async def manifest(self, model, version):
        self.check(version)
        if version not in self.manifests:
            self.manifests[version] = manifest_of(version)
        return self.manifests[version]

    async def held_pieces(self, manifest, known):
        return frozenset(range(PIECES))

    async def piece(self, model, version, position, size):
        self.check(version)
        now_s = asyncio.get_running_loop().time()
        self.free_s = max(now_s, self.free_s) + ORIGIN_PIECE_S
        await asyncio.sleep(self.free_s - now_s)
        self.check(version)
        return piece(version, position)


class ControlLink:
    """The link of an instance with an engine to the control instance."""

    peer_id = "c"

    def __init__(self, relay):
        self.relay = relay
        self.free_s = 0.0

    async def request(self, query, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(ONE_WAY_S)
                return await self.reply(query)
        except TimeoutError:
            raise WeightsError(ResultCode.SOURCE_UNAVAILABLE, "no reply") from None

    async def reply(self, query):
        if isinstance(query, messages.ManifestQuery):
            manifest = await self.relay.wait_manifest(query.model, query.version)
            return Frame(1, 1, manifest_reply(manifest))
        if isinstance(query, messages.HeldQuery):
            return Frame(1, 1, await self.relay.wait_held(query))
        data = await self.relay.piece(query.model, query.version, query.position)
        part = data[query.offset : query.offset + query.length]
        now_s = asyncio.get_running_loop().time()
        self.free_s = max(now_s, self.free_s) + len(part) * 8 / ENGINE_LINK_MBPS / 1e6
        await asyncio.sleep(self.free_s - now_s)
        return Frame(1, 1, messages.Piece(len(data)), part)


class StagingEngine:
    """An engine that loads what is staged, if all of it is of one version."""

    def __init__(self):
        self.pieces = {}
        self.version, self.busy = 1, False
        self.loaded = []

    async def report(self):
        versions = {} if self.busy else {"m": self.version}
        return EngineReport(versions, self.busy)

    async def staged(self, model):
        return set(self.pieces)

    async def staged_piece(self, model, position, size):
        return self.pieces.get(position)

    async def stage(self, model, position, data):
        self.pieces[position] = data

    async def load(self, model, version, expected):
        assert all(self.pieces[n] == piece(version, n) for n in range(PIECES))
        self.busy = True
        asyncio.get_running_loop().call_later(LOAD_S, self.end_load, version)
        return OrderOutcome.STARTED

    def end_load(self, version):
        self.version, self.busy = version, False
        self.loaded.append(version)


class Fleet:
    """Engines of three domains, which fetch through one control instance."""

    def __init__(self, folder):
        self.origin = Origin()
        self.relay = Relay(lambda: [self.origin])
        self.engines = [StagingEngine() for _ in range(ENGINES)]
        self.services = [self.service(folder, n) for n in range(ENGINES)]
        # How many engines may serve, and grant a slot, at each `SAMPLE_S`.
        self.serving = []
        self.granting = []

    def service(self, folder, number):
        service = new_service(folder)
        address = Address("10.0.0.1", number)
        settings = structs.replace(
            service.settings, target=address, link_mbps=ENGINE_LINK_MBPS
        )
        service.settings = service.state.settings = settings
        service.admission.slots.engine = ENGINE
        service.updater.settings = settings
        service.engine = service.updater.engine = self.engines[number]
        service.check.answers.engine = self.engines[number]
        staging, link = service.updater.staging, ControlLink(self.relay)
        staging.engine, staging.upstream = self.engines[number], lambda: [link]
        staging.is_near = lambda link: True
        service.state.update_targets(
            messages.TargetState(
                f"i-{n}", "s", f"10.0.0.1:{n}", f"z{n % 3}", sequence=1, slots=16
            )
            for n in range(ENGINES)
        )
        return service

    def name(self, version):
        """Name a version; an operator has stored it at the origin."""
        self.origin.newest = version
        self.relay.prefetch("m", version)
        for service in self.services:
            name_version(service, version)
            service.admission.slots.engine = ENGINE

    async def play(self, until_s, *times_s, away_s=(0.0, 0.0)):
        """Name a version at each time; record which engines may serve until the end."""
        loop = asyncio.get_running_loop()
        watchers = [loop.create_task(s.watch_engine()) for s in self.services]
        for version, at_s in enumerate(times_s, start=2):
            loop.call_at(at_s, self.name, version)
        while loop.time() < until_s:
            await asyncio.sleep(SAMPLE_S)
            self.origin.away = away_s[0] <= loop.time() < away_s[1]
            self.serving.append(sum(s.may_serve() for s in self.services))
            self.granting.append(sum(map(may_grant, self.services)))
        for watcher, service in zip(watchers, self.services, strict=True):
            watcher.cancel()
            service.updater.stop()
        self.relay.stop()

    def share(self, from_s, until_s):
        """Return the mean fraction of the engines that may serve."""
        return share(self.serving, from_s, until_s)

    def longest_outage_s(self):
        """Return the longest time for which no engine may serve."""
        return longest_outage_s(self.serving)


def may_grant(service):
    """Return whether a sidecar grants a slot to the smallest request."""
    slots, now_ms = service.admission.slots, service.admission.now_ms()
    event_ms = slots.first_event_ms(0, now_ms)
    return slots.open and not slots.starts_too_late(event_ms, now_ms)


def share(counts, from_s, until_s):
    """Return the mean fraction of the engines that were counted."""
    counted = counts[int(from_s / SAMPLE_S) : int(until_s / SAMPLE_S)]
    return sum(counted) / len(counted) / ENGINES


def longest_outage_s(counts):
    """Return the longest time for which no engine was counted."""
    runs = "".join("01"[bool(count)] for count in counts).split("1")
    return max(map(len, runs)) * SAMPLE_S


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch):
    """Let ages follow the clock of the event loop."""

    def loop_time_s():
        return asyncio.get_running_loop().time()

    for module in (
        "rollout.state",
        "control.following",
        "weights.relay",
        "weights.download",
    ):
        name = f"wisteriapulley.{module}.steady_s"
        monkeypatch.setattr(name, loop_time_s)


@pytest.fixture
def play(tmp_path):
    """Play a fleet on a virtual clock."""

    def run(until_s, *times_s, **options):
        async def scenario():
            fleet = Fleet(tmp_path)
            await fleet.play(until_s, *times_s, **options)
            return fleet

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(scenario())

    return run


class TestFleet:
    """Engines that download faster than the versions change, or slower."""

    COUNT = 9
    DOWNLOAD_S = 5.5

    def times_s(self, apart_s, count):
        return [2 + number * apart_s for number in range(count)]

    @pytest.mark.parametrize("apart_s", [2, 3, 4])
    def test_versions_faster_than_a_download_do_not_starve_it(self, play, apart_s):
        """Each download started over, and callers were refused until the last name."""
        times_s = self.times_s(apart_s, self.COUNT)
        fleet = play(times_s[-1] + 13, *times_s)
        for engine in fleet.engines:
            assert len(engine.loaded) > self.COUNT / 3
            assert engine.loaded == sorted(engine.loaded)
            assert engine.loaded[-1] == self.COUNT + 1
        assert fleet.longest_outage_s() < self.DOWNLOAD_S / 2
        # A version serves for 6.55 s from the next name on, and a download takes most
        # of that time.
        assert fleet.share(8, times_s[-1]) > 0.5

    def test_callers_get_slots_between_versions(self, play):
        """An engine that may serve but grants no slot is of no use to them."""
        found = {}
        for apart_s in (2, 3, 4):
            times_s = self.times_s(apart_s, self.COUNT)
            granting = play(times_s[-1] + 13, *times_s).granting
            outage_s = longest_outage_s(granting)
            granted = share(granting, 8, times_s[-1])
            if outage_s >= self.DOWNLOAD_S / 2 or granted <= 0.5:
                found[apart_s] = round(outage_s, 1), round(granted, 3)
        assert not found

    @pytest.mark.parametrize("apart_s", [1, 1.5, 2])
    def test_first_of_two_versions_is_given_up(self, play, apart_s):
        """The second one arrives before the end of the version that is served."""
        fleet = play(20, *self.times_s(apart_s, 2))
        assert all(engine.loaded == [3] for engine in fleet.engines)
        assert fleet.longest_outage_s() <= 0.3

    def test_origin_that_fails_between_two_versions(self, play):
        """The newest one is fetched as soon as the origin is back."""
        fleet = play(20, 2, 5, away_s=(4.5, 9.5))
        assert all(engine.loaded == [3] for engine in fleet.engines)
        assert fleet.share(9.5 + self.DOWNLOAD_S, 20) == 1


class TestFetchOrder:
    """A version of which 2.8 s of fetching are needed; another is named every 2 s."""

    def fetch(self, started_s=0.0, has_given_up=True):
        fetch = VersionFetch(2, 0.0, started_s, has_given_up)
        fetch.progress_s = 2.0
        fetch.supersede(2.0)
        return fetch

    def test_fetch_after_one_that_was_given_up_is_finished(self):
        assert self.fetch().is_worth_finishing(2 / 2.8, 2.0)
        assert not self.fetch(has_given_up=False).is_worth_finishing(2 / 2.8, 2.0)

    def test_fetch_that_the_origin_drops_before_its_end_is_given_up(self):
        assert not self.fetch(started_s=1.5).is_worth_finishing(0.5 / 2.8, 2.0)
        assert not self.fetch().is_worth_finishing(0.0, 2.0)

    def test_fetch_without_a_source_is_given_up(self):
        assert self.fetch().is_worth_finishing(0.9, 2.2)
        assert not self.fetch().is_worth_finishing(0.9, 2.4)

    def test_third_version_does_not_extend_the_time(self):
        fetch = self.fetch()
        fetch.supersede(4.0)
        fetch.progress_s = 4.0
        assert not fetch.is_worth_finishing(0.9, 4.0)


class TestRelay:
    def test_complete_version_of_a_row_is_kept(self):
        """Engines finish it while two newer ones are named."""

        async def scenario():
            origin = Origin()
            relay = Relay(lambda: [origin])
            loop = asyncio.get_running_loop()
            for version, at_s in ((2, 0), (3, 2), (4, 4), (5, 6)):
                await asyncio.sleep(at_s - loop.time())
                origin.newest = version
                relay.prefetch("m", version)
                await relay.manifest("m", version)
            await asyncio.sleep(3)
            held = {version: relay.held_fraction("m", version) for version in (3, 5)}
            await asyncio.sleep(6)
            origin.newest = 6
            relay.prefetch("m", 6)
            await relay.manifest("m", 6)
            relay.stop()
            return held, sorted(version for _, version in relay.manifests)

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            held, kept = runner.run(scenario())
        assert held[3] == 1
        assert kept == [5, 6]
