"""Puts the product's daemons together with the platform's formats."""

import asyncio
import logging
import os
from collections.abc import Callable

import aiomisc
from aiohttp import web

from wisteriapulley.logs import fields
from wisteriapulley.platform import names
from wisteriapulley.platform.settings import PlatformSettings
from wisteriapulley.settings import Address
from wisteriapulley.settings_watch import SettingsWatch

log = logging.getLogger(__name__)

SETTINGS_VARIABLE = "WISTERIAPULLEY_CONFIG"


class ReadinessCall:
    """Answers the balancer's question."""

    def __init__(self, is_ready: Callable[[], bool]):
        self.is_ready = is_ready
        self.runner: web.ServerRunner | None = None

    async def start(self, address: Address) -> None:
        """Listen."""
        server = web.Server(self.answer, access_log=None)
        self.runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=0.1
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, address.host, address.port).start()

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer 200 while ready, else 503."""
        if request.path != names.READY_CALL:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()


def settings_from_environment() -> PlatformSettings:
    """Read the settings file that the platform names."""
    return PlatformSettings.from_file(os.environ[SETTINGS_VARIABLE])


def new_control(settings: PlatformSettings, key_file: str) -> aiomisc.Service:
    """Make a control instance."""
    from wisteriapulley.control.service import ControlService
    from wisteriapulley.platform.control_calls import ControlCalls
    from wisteriapulley.platform.http import HttpClient
    from wisteriapulley.platform.origin import HttpOrigin

    class PlatformControl(ControlService):
        """A control instance that also takes the platform's calls."""

        async def start(self) -> None:
            """Start, then listen for the platform's calls."""
            self.client = HttpClient()
            self.open_origin = lambda address: HttpOrigin(self.client, address)
            await super().start()
            self.calls = ControlCalls(self.orders)
            await self.calls.start(
                Address.from_text(settings.listen_addresses.control_plane)
            )

        async def stop(self, exception: Exception | None = None) -> None:
            """Stop taking calls, then stop."""
            await self.calls.stop()
            await super().stop(exception)
            await self.client.close()

    return PlatformControl.from_settings(settings.control(key_file))


def new_entry(settings: PlatformSettings, key_file: str) -> aiomisc.Service:
    """Make an entry."""
    from wisteriapulley.direct.service import DirectEntryService
    from wisteriapulley.platform.http import HttpClient
    from wisteriapulley.platform.ingress import Ingress
    from wisteriapulley.platform.target_client import HttpTargetClient

    class PlatformEntry(DirectEntryService):
        """An entry that also answers the balancer."""

        async def start(self) -> None:
            """Listen for the balancer, then start."""
            self.readiness = ReadinessCall(self.is_ready)
            await self.readiness.start(self.settings.ready_listen)
            await super().start()

        async def stop(self, exception: Exception | None = None) -> None:
            """Stop, and answer the balancer until then."""
            await super().stop(exception)
            await self.readiness.stop()
            await http.close()

    http = HttpClient()
    return PlatformEntry(settings.direct(key_file), HttpTargetClient(http), Ingress)


def new_sidecar(settings: PlatformSettings, key_file: str) -> aiomisc.Service:
    """Make a sidecar."""
    from wisteriapulley.platform.engine import HttpEngine
    from wisteriapulley.platform.http import HttpClient
    from wisteriapulley.rollout.service import RolloutService

    own = settings.rollout(key_file)
    return RolloutService(own, HttpEngine(HttpClient(), own.target))


DAEMONS = {"control": new_control, "entry": new_entry, "sidecar": new_sidecar}


async def run(role: str, settings: PlatformSettings, key_file: str) -> None:
    """Run the daemon of `role` until a stop signal.

    Raises
    ------
    WisteriapulleyError
        It could not start, or failed for good.
    """
    from wisteriapulley.daemon import collect_rarely, serve

    service = DAEMONS[role](settings, key_file)
    watch = SettingsWatch(
        os.environ[SETTINGS_VARIABLE],
        settings,
        PlatformSettings.from_file,
        lambda changed: service.meet_hosts(seed.host for seed in changed.seeds()),
    )
    watch.start()
    collect_rarely()
    log.info("started", extra=fields(role=role))
    try:
        await serve(service)
    finally:
        watch.stop()
        log.info("stopped", extra=fields(role=role))


def main(role: str, key_file: str) -> int:
    """Run a daemon; return its exit status."""
    import sys

    import uvloop

    from wisteriapulley import logs
    from wisteriapulley.errors import WisteriapulleyError

    try:
        settings = settings_from_environment()
        logs.configure(settings.node_name)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(role, settings, key_file))
    except WisteriapulleyError as error:
        print(error, file=sys.stderr)
        return 1
    return 0
