"""Puts the product's daemons together with the platform's formats."""

import logging
import os
from typing import TYPE_CHECKING

from wisteriapulley.platform.settings import PlatformSettings
from wisteriapulley.settings import Address
from wisteriapulley.start_order import wait_for_listener

if TYPE_CHECKING:
    import aiomisc

log = logging.getLogger(__name__)

SETTINGS_VARIABLE = "WISTERIAPULLEY_CONFIG"


def settings_from_environment() -> PlatformSettings:
    """Read the settings file that the platform names."""
    return PlatformSettings.from_file(os.environ[SETTINGS_VARIABLE])


def new_control(settings: PlatformSettings, key_file: str) -> "aiomisc.Service":
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


def new_entry(settings: PlatformSettings, key_file: str) -> "aiomisc.Service":
    """Make an entry."""
    from wisteriapulley.direct.service import DirectEntryService
    from wisteriapulley.platform import names
    from wisteriapulley.platform.http import HttpClient
    from wisteriapulley.platform.ingress import Ingress
    from wisteriapulley.platform.target_client import HttpTargetClient
    from wisteriapulley.readiness import ReadinessServer

    class PlatformEntry(DirectEntryService):
        """An entry that also answers the balancer."""

        async def start(self) -> None:
            """Listen for the balancer, then start."""
            self.readiness = ReadinessServer(names.READY_CALL, self.is_ready)
            await self.readiness.start(self.settings.ready_listen)
            await super().start()

        async def stop(self, exception: Exception | None = None) -> None:
            """Stop, and answer the balancer until then."""
            await super().stop(exception)
            await self.readiness.stop()
            await http.close()

    http = HttpClient()
    return PlatformEntry(settings.direct(key_file), HttpTargetClient(http), Ingress)


def new_sidecar(settings: PlatformSettings, key_file: str) -> "aiomisc.Service":
    """Make a sidecar."""
    from wisteriapulley.platform.engine import HttpEngine
    from wisteriapulley.platform.http import HttpClient
    from wisteriapulley.rollout.service import RolloutService

    sidecar_settings = settings.rollout(key_file)
    return RolloutService(
        sidecar_settings, HttpEngine(HttpClient(), sidecar_settings.target)
    )


DAEMON_FACTORIES = {"control": new_control, "entry": new_entry, "sidecar": new_sidecar}


async def run(role: str, settings: PlatformSettings, key_file: str) -> None:
    """Run the daemon of `role` until a stop signal.

    Raises
    ------
    WisteriapulleyError
        It could not start, or failed for good.
    """
    from wisteriapulley.daemon import reduce_gc_frequency, serve
    from wisteriapulley.logs import fields
    from wisteriapulley.settings_watch import SettingsWatch

    service = DAEMON_FACTORIES[role](settings, key_file)
    watch = SettingsWatch(
        os.environ[SETTINGS_VARIABLE],
        settings,
        PlatformSettings.from_file,
        lambda changed: service.add_hosts(seed.host for seed in changed.seeds()),
    )
    watch.start()
    reduce_gc_frequency()
    log.info("started", extra=fields(role=role))
    try:
        await serve(service)
    finally:
        watch.stop()
        log.info("stopped", extra=fields(role=role))


def run_until_stopped(role: str, settings: PlatformSettings, key_file: str) -> None:
    """Run a daemon on a loop of its own."""
    import asyncio

    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(role, settings, key_file))


def main(role: str, key_file: str) -> int:
    """Run a daemon; return its exit status.

    What is slow to import is imported once the daemon's turn to start has come.
    """
    import sys

    from wisteriapulley import logs
    from wisteriapulley.errors import WisteriapulleyError

    try:
        settings = settings_from_environment()
        logs.configure(settings.node_name)
        if role == "entry" and settings.counts_as_loss:
            # The host has a disk, so a control instance runs beside this entry.
            wait_for_listener(settings.control_wire_address())
        run_until_stopped(role, settings, key_file)
    except WisteriapulleyError as error:
        print(error, file=sys.stderr)
        return 1
    return 0
