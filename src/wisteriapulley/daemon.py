"""Runs a daemon's service on one uvloop loop until a signal."""

import asyncio
import gc
import signal
import sys
from importlib import import_module

import aiomisc
import uvloop

from wisteriapulley import logs
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.settings import NodeSettings, load_settings

# Imported late: what a role does not need must not weigh on its 32 MB.
SERVICES = {
    "control": ("wisteriapulley.control.service", "ControlService"),
    "entry": ("wisteriapulley.entry.service", "EntryService"),
    "sidecar": ("wisteriapulley.sidecar.service", "SidecarService"),
}
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_FAILED = 1
# Objects made since the last collection until the next one. Requests and frames free
# theirs without it, so the interpreter's own 700 collects again and again for nothing.
GC_THRESHOLD_OBJECTS = 20_000


def main() -> int:
    """Run the daemon that the command line named: role and settings file."""
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
        The daemon could not start, or failed for good.
    """
    logs.configure(settings.node_id, settings.log_level)
    module, name = SERVICES[role]
    service = getattr(import_module(module), name).from_settings(settings)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(service))
    return 0


def reduce_gc_frequency() -> None:
    """Leave what the start made out of collections, and collect seldom after it."""
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    gc.enable()


async def serve(service: aiomisc.Service) -> None:
    """Run a service until a signal, or until it fails for good.

    A second signal changes nothing: a stop in progress still finishes every
    request, however often the platform asks.

    Raises
    ------
    WisteriapulleyError
        What the service set as the exception of its ``fatal`` future.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: loop.call_soon_threadsafe(stop.set))
    service.fatal = loop.create_future()
    async with aiomisc.entrypoint(service, log_config=False, catch_signals=()):
        stopping = loop.create_task(stop.wait())
        await asyncio.wait(
            (stopping, service.fatal), return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
    # Handlers of Python go before the process does: a signal in between would
    # end a clean exit as a kill.
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    if service.fatal.done():
        service.fatal.result()


if __name__ == "__main__":
    sys.exit(main())
