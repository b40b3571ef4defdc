"""Builds and runs the daemons with the platform's settings and HTTP formats."""

import functools
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
    """Read the settings file that the platform passes in the environment."""
    return PlatformSettings.from_file(os.environ[SETTINGS_VARIABLE])


def new_control(settings: PlatformSettings, key_file: str) -> "aiomisc.Service":
    """Return a new control instance."""
    import asyncio

    from wisteriapulley.control.service import ControlService
    from wisteriapulley.platform.control_calls import ControlCalls
    from wisteriapulley.platform.http import HttpClient
    from wisteriapulley.platform.origin import HttpOrigin

    class PlatformControl(ControlService):
        """A control instance that also serves the platform's calls."""

        async def start(self) -> None:
            """Start the instance, then listen for the platform's calls."""
            self.client = HttpClient()
            self.open_origin = lambda address: HttpOrigin(self.client, address)
            await super().start()
            self.calls = ControlCalls(self.api)
            await self.calls.start(
                Address.from_text(settings.listen_addresses.control_plane)
            )

        async def stop(self, exception: Exception | None = None) -> None:
            """Stop the instance, then close the client of the weights' origin."""
            await super().stop(exception)
            await self.client.close()

        async def stop_serving(self, max_s: float) -> None:
            """Answer calls in progress; see `ControlService.stop_serving`."""
            await asyncio.gather(self.calls.stop(max_s), super().stop_serving(max_s))

    return PlatformControl.from_settings(settings.control_settings(key_file))


def new_entry(settings: PlatformSettings, key_file: str) -> "aiomisc.Service":
    """Return a new entry."""
    from wisteriapulley.direct.service import DirectEntryService
    from wisteriapulley.http_listener import wait_limit_s
    from wisteriapulley.platform import names
    from wisteriapulley.platform.http import HttpClient
    from wisteriapulley.platform.ingress import Ingress
    from wisteriapulley.platform.target_client import HttpTargetClient
    from wisteriapulley.readiness import ReadinessServer

    class PlatformEntry(DirectEntryService):
        """An entry that also answers the load balancer's readiness checks."""

        async def start(self) -> None:
            """Listen for readiness checks, then start the entry."""
            errors = self.dispatcher.metrics.internal_errors
            self.ingress.count_internal_error = functools.partial(errors.inc, {})
            self.readiness = ReadinessServer(names.READY_CALL, self.is_ready)
            await self.readiness.start(self.settings.ready_listen)
            await super().start()

        async def stop(self, exception: Exception | None = None) -> None:
            """Stop the entry; readiness checks are answered until it has stopped."""
            await super().stop(exception)
            await self.readiness.stop(wait_limit_s(self.stop_ends_s))
            await http.close()

    entry_settings = settings.entry_settings(key_file)
    http = HttpClient(entry_settings.response_limits)
    return PlatformEntry(entry_settings, HttpTargetClient(http), Ingress)


def new_sidecar(settings: PlatformSettings, key_file: str) -> "aiomisc.Service":
    """Return a new sidecar."""
    from wisteriapulley.platform.engine import HttpEngine
    from wisteriapulley.platform.http import HttpClient
    from wisteriapulley.rollout.service import RolloutService

    sidecar_settings = settings.sidecar_settings(key_file)
    return RolloutService(
        sidecar_settings, HttpEngine(HttpClient(), sidecar_settings.target)
    )


DAEMON_FACTORIES = {"control": new_control, "entry": new_entry, "sidecar": new_sidecar}


async def run(role: str, settings: PlatformSettings, key_file: str) -> None:
    """Run the daemon of `role` until it receives a stop signal.

    Raises
    ------
    WisteriapulleyError
        The daemon could not start, or failed permanently.
    """
    from wisteriapulley.build import build_fields
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
    log.info("started", extra=fields(role=role, **build_fields()))
    try:
        await serve(service)
    finally:
        watch.stop()
        log.info("stopped", extra=fields(role=role))


def run_until_stopped(role: str, settings: PlatformSettings, key_file: str) -> None:
    """Run a daemon on a new event loop."""
    import asyncio

    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(role, settings, key_file))


def main(role: str, key_file: str) -> int:
    """Run a daemon; return its exit status.

    Modules that are slow to import are imported only after `wait_for_listener`: an
    entry that waits for the control instance must not compete with it for the
    processor.
    """
    import sys

    from wisteriapulley import logs
    from wisteriapulley.errors import WisteriapulleyError

    try:
        settings = settings_from_environment()
        logs.configure(settings.node_name)
        if role == "entry" and settings.counts_as_loss:
            # The host has a disk, so a control instance runs on it as well.
            wait_for_listener(settings.control_wire_address())
        run_until_stopped(role, settings, key_file)
    except WisteriapulleyError as error:
        print(error, file=sys.stderr)
        return 1
    return 0
