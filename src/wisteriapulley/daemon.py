"""Run the service of a daemon on a uvloop event loop until a signal."""

import asyncio
import gc
import logging
import signal
import sys
from importlib import import_module

import aiomisc
import uvloop

from wisteriapulley import logs
from wisteriapulley.build import build_fields
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.settings import NodeSettings, load_settings

log = logging.getLogger(__name__)

# Imported on demand: modules that a role does not need must not count against its
# memory limit of 32 MB.
SERVICES = {
    "control": ("wisteriapulley.control.service", "ControlService"),
    "entry": ("wisteriapulley.entry.service", "EntryService"),
    "sidecar": ("wisteriapulley.sidecar.service", "SidecarService"),
}
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_FAILED = 1
# Allocations of objects, less deallocations, that trigger a collection. Requests and
# frames are freed by reference counting, so the interpreter's default of 700 only
# causes frequent collections that find nothing.
GC_THRESHOLD_OBJECTS = 20_000


def main() -> int:
    """Run the daemon for the role and settings file in ``sys.argv``."""
    role, path = sys.argv[1:]
    try:
        return run(role, load_settings(path, role))
    except WisteriapulleyError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED


def run(role: str, settings: NodeSettings) -> int:
    """Run the daemon of `role` until SIGTERM or SIGINT.

    Returns
    -------
    int
        Exit status.

    Raises
    ------
    WisteriapulleyError
        The daemon could not start, or failed fatally.
    """
    logs.configure(settings.node_id, settings.log_level)
    log.info("started", extra=logs.fields(role=role, **build_fields()))
    module, name = SERVICES[role]
    service = getattr(import_module(module), name).from_settings(settings)
    # The settings are not read again, and the default would end all requests.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(service))
    return 0


def reduce_gc_frequency() -> None:
    """Exclude the objects created at start from collections, and collect rarely."""
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    gc.enable()


async def serve(service: aiomisc.Service) -> None:
    """Run a service until a stop signal or a fatal failure.

    Further signals have no effect: a shutdown in progress still finishes all
    requests, however often the platform signals.

    Raises
    ------
    WisteriapulleyError
        Exception that the service set on its ``fatal`` future.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()

    def request_stop(*_: object) -> None:
        # Each call of a handler delays the loop, so frequent signals would keep it
        # from ever running the shutdown.
        ignore_stop_signals()
        loop.call_soon_threadsafe(stop.set)

    for number in STOP_SIGNALS:
        signal.signal(number, request_stop)
    service.fatal = loop.create_future()
    async with aiomisc.entrypoint(service, log_config=False, catch_signals=()):
        stopping = loop.create_task(stop.wait())
        await asyncio.wait(
            (stopping, service.fatal), return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
    # Python removes its signal handlers before the process ends: a signal in between
    # would kill the process instead of a clean exit.
    ignore_stop_signals()
    if service.fatal.done():
        service.fatal.result()


def ignore_stop_signals() -> None:
    """Let further stop signals have no effect, also while the interpreter ends."""
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


if __name__ == "__main__":
    sys.exit(main())
