"""Notices that the settings file changed, with a signal or without one."""

import asyncio
import logging
import os
import signal
from collections.abc import Callable
from typing import Generic, TypeVar

from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.logs import fields

log = logging.getLogger(__name__)

# A look at the file's time costs a microsecond; news of control instances may
# wait this long, since the running links tell them as well.
POLL_INTERVAL_S = 1.0


AnySettings = TypeVar("AnySettings")


class SettingsWatch(Generic[AnySettings]):
    """Reads the settings again whenever they may have changed.

    Parameters
    ----------
    path : str
        The file.
    settings : object
        As read at the start.
    read : callable
        Reads the file.
    on_change : callable
        Called with settings that differ from the last ones.
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
        self.stamp = self.file_stamp()
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Take signals, and begin to look."""
        loop = asyncio.get_running_loop()
        signal.signal(
            signal.SIGHUP,
            lambda *_: loop.call_soon_threadsafe(self.reload_requested.set),
        )
        self.task = loop.create_task(self.run())

    def stop(self) -> None:
        """Stop looking; later signals do nothing."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        if self.task is not None:
            self.task.cancel()

    def file_stamp(self) -> tuple[int, int]:
        """Return what changes with the file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    async def run(self) -> None:
        """Look at the file now and then, and after each signal."""
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
        """Read the file; one that can't be read leaves all as it is."""
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
