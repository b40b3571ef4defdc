"""The sidecar of an engine in an evacuated failure domain."""

import asyncio
import logging
from types import SimpleNamespace

from tests.test_slot_admission import ENGINE, TEST_TIMEOUT_S, EntryLink, reserve
from wisteriapulley.direct.settings import RolloutSettings
from wisteriapulley.rollout import updater as updater_module
from wisteriapulley.rollout.engine import EngineReport
from wisteriapulley.rollout.service import RolloutService
from wisteriapulley.rollout.switch_order import SwitchRank
from wisteriapulley.settings import Address
from wisteriapulley.weights.pieces import PieceManifest
from wisteriapulley.wire import messages
from wisteriapulley.wire.messages import ModelNews, ModelState, TargetState, VersionAge

NONE = Address("127.0.0.1", 0)
MANIFEST = PieceManifest("m", 2, 20, 4, (b"x",) * 8)


class LoadingEngine:
    """An engine that loads whatever is ordered.

    While it is silent, its report comes at `goes_on_s` of the time of the call.
    """

    def __init__(self):
        self.goes_on_s = None
        self.cooldown = SimpleNamespace(wait_s=lambda now_s: 0.0)
        self.version = 1

    async def report(self):
        if self.goes_on_s is not None:
            now_s = asyncio.get_running_loop().time()
            await asyncio.sleep(self.goes_on_s(now_s) - now_s)
        return EngineReport({"m": self.version})


def new_service(tmp_path):
    """Return the sidecar of an engine in the domain `z` that holds version 1."""
    (tmp_path / "key").write_text("k" * 40)
    settings = RolloutSettings(
        node_id="s",
        failure_domain="z",
        http_listen=NONE,
        fleet_key_file=str(tmp_path / "key"),
        wire_listen=NONE,
        control=(NONE,),
        target=Address("10.0.0.0", 80),
        service="s",
    )
    service = RolloutService(settings, LoadingEngine())
    service.admission.server = SimpleNamespace(links=())
    service.state.report = EngineReport({"m": 1})
    name_version(service, 1)
    service.admission.slots.engine = ENGINE
    return service


def name_version(service, version):
    state = ModelState("s", "m", (VersionAge(version, 0),), ENGINE.slots)
    service.follower.receive(ModelNews((state,)))


def evacuate(service, revision, *domains):
    service.follower.receive(messages.EvacuationNews(revision, domains))


async def decisions(service, link, count):
    """Wait until a number of requests is decided; return the decisions."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while True:
            answers = [m for m in link.written if isinstance(m, messages.Reserved)]
            decided = [answer for answer in answers if not answer.queued]
            if len(decided) >= count:
                return decided
            await asyncio.sleep(0)


class TestSlots:
    def test_queued_and_new_requests_are_denied_at_once_as_closed(
        self, tmp_path, caplog
    ):
        """Under load: all slots are taken, and more requests are queued."""

        async def run():
            service, link = new_service(tmp_path), EntryLink()
            service.update_admission()
            held = ENGINE.slots + 1
            sent = [
                asyncio.create_task(reserve(service.admission, link, number))
                for number in range(held + 6)
            ]
            await decisions(service, link, held)
            while not service.admission.slots.queue:
                await asyncio.sleep(0)
            waiting = len(service.admission.slots.queue)
            evacuate(service, 1, "z")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await asyncio.gather(*sent)
            denied = (await decisions(service, link, held + 6))[-waiting:]
            assert waiting and all(a.closed and not a.granted for a in denied)
            await reserve(service.admission, link, 99)
            assert link.written[-1].closed and not link.written[-1].granted
            # What runs there ends, and keeps its slots meanwhile.
            assert len(service.admission.slots.grants) == held
            assert service.admission.heartbeat().state == "closed"

        with caplog.at_level(logging.INFO):
            asyncio.run(run())
        (closed,) = [r for r in caplog.records if r.message == "places closed"]
        assert "evacuated" in str(vars(closed))

    def test_slots_open_again_after_the_withdrawal(self, tmp_path):
        async def run():
            service = new_service(tmp_path)
            service.update_admission()
            evacuate(service, 1, "z")
            assert not service.admission.slots.open
            evacuate(service, 2)
            assert service.admission.slots.open
            evacuate(service, 1, "z")
            assert service.admission.slots.open

        asyncio.run(run())

    def test_other_domains_stay_open(self, tmp_path):
        async def run():
            service = new_service(tmp_path)
            service.update_admission()
            evacuate(service, 1, "y")
            assert service.admission.slots.open

        asyncio.run(run())

    def test_load_queues_no_requests(self, tmp_path):
        """An engine that loads its weights looks as if it opened soon."""

        async def run():
            service = new_service(tmp_path)
            service.updater.loading = True
            service.admission.expect_opening(300.0)
            assert service.admission.heartbeat().state == "opening"
            evacuate(service, 1, "z")
            assert service.admission.heartbeat().state == "closed"
            service.admission.expect_opening(300.0)
            assert service.admission.heartbeat().state == "closed"

        asyncio.run(run())


def add_engines(service, domains):
    states = tuple(
        TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", domain, sequence=1)
        for n, domain in enumerate(domains)
    )
    service.state.update_targets(states)


class TestSwitch:
    def test_evacuated_engine_switches_at_once(self, tmp_path):
        async def run():
            service = new_service(tmp_path)
            add_engines(service, "zyyy")
            name_version(service, 2)
            assert service.updater.switch_in_ms(MANIFEST) > 0
            evacuate(service, 1, "z")
            assert service.updater.switch_in_ms(MANIFEST) == 0

        asyncio.run(run())

    def test_wait_for_the_switch_ends_with_the_evacuation(self, tmp_path, monkeypatch):
        async def run():
            service = new_service(tmp_path)
            add_engines(service, "zyyy")
            name_version(service, 2)
            waits = []

            async def sleep(delay_s):
                waits.append(delay_s)
                evacuate(service, 1, "z")

            loop = asyncio.get_running_loop()
            sleeping = SimpleNamespace(sleep=sleep, get_running_loop=lambda: loop)
            monkeypatch.setattr(updater_module, "asyncio", sleeping)
            await service.updater.wait_for_switch(MANIFEST)
            assert len(waits) == 1 and waits[0] <= updater_module.MAX_SWITCH_SLEEP_S

        asyncio.run(run())

    def test_others_do_not_count_evacuated_engines(self, tmp_path):
        """Two serve after the evacuation: the first and the last of the order."""

        async def run():
            service = new_service(tmp_path)
            add_engines(service, "zyyyyz")
            assert service.state.switch_rank().count == 6
            evacuate(service, 1, "y")
            assert service.state.switch_rank() == SwitchRank(0, 2)

        asyncio.run(run())
