"""Reload the settings file after SIGHUP or when the file changes."""

import asyncio
import logging
import os
import signal
from collections.abc import Callable
from typing import Generic, TypeVar

from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.logs import fields

log = logging.getLogger(__name__)

# A check of the file's modification time costs a microsecond. Changes of control
# instances in the file tolerate this delay, because open links report them as well.
POLL_INTERVAL_S = 1.0
# Differs from the stamp of every file, also of one that can't be read.
UNKNOWN_STAMP = (-1, -1)


AnySettings = TypeVar("AnySettings")


class SettingsWatch(Generic[AnySettings]):
    """Reload the settings after SIGHUP and when the file has changed.

    Parameters
    ----------
    path : str
        Path of the settings file.
    settings : object
        Settings read at start.
    read : callable
        Returns the settings read from a path.
    on_change : callable
        Called with the new settings if they differ from the previous ones.
    """

    def __init__(
        self,
        path: str,
        settings: AnySettings,
        read: Callable[[str], AnySettings],
        on_change: Callable[[AnySettings], None],
    ):
        self.path = path
        self.read = read
        self.settings = settings
        self.on_change = on_change
        self.reload_requested = asyncio.Event()
        self.is_request_queued = False
        # The file may have changed since it was read: the first check reads it again.
        self.stamp = UNKNOWN_STAMP
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Install the SIGHUP handler and start to watch the file."""
        loop = asyncio.get_running_loop()

        def queue_request(*_: object) -> None:
            # Signals that come faster than the loop runs must not fill its queue.
            if not self.is_request_queued:
                self.is_request_queued = True
                loop.call_soon_threadsafe(self.request_reload)

        signal.signal(signal.SIGHUP, queue_request)
        self.task = loop.create_task(self.run())

    def request_reload(self) -> None:
        """Let the file be read again at once."""
        self.is_request_queued = False
        self.reload_requested.set()

    def stop(self) -> None:
        """Stop watching the file and ignore later signals."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        if self.task is not None:
            self.task.cancel()

    def file_stamp(self) -> tuple[int, int]:
        """Return modification time (ns) and size of the file; zeros if unreadable."""
        try:
            status = os.stat(self.path)
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    async def run(self) -> None:
        """Reload after each signal and when a periodic check finds a change."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self.reload_requested.wait()
            except TimeoutError:
                if self.file_stamp() == self.stamp:
                    continue
            self.reload_requested.clear()
            self.reload()

    def reload(self) -> None:
        """Reload the file; keep the current settings if it is unreadable or invalid."""
        self.stamp = self.file_stamp()
        try:
            settings = self.read(self.path)
        except WisteriapulleyError as error:
            log.warning("settings not reloaded: %s", error)
            return
        changed = settings != self.settings
        log.info("settings reloaded", extra=fields(changed=changed))
        if changed:
            self.settings = settings
            self.on_change(settings)
