"""Every connection of the fleet goes through a relay, so that it can be harmed.

A process reaches another one at its host, on a port of its own range. The ranges of
all processes differ, so the port tells who connects: behind it stands a relay to
the listener of the other process.
"""

import asyncio
from collections.abc import Iterable

from tests.relay import Relay


class Path(Relay):
    """A relay that listens where one process expects another one."""

    def __init__(self, caller: str, callee: str, listen: tuple[str, int], to: str):
        super().__init__(to, listen)
        self.caller = caller
        self.callee = callee

    def touches(self, names: Iterable[str]) -> bool:
        """Tell whether one of its ends is named."""
        return self.caller in names or self.callee in names


class Network:
    """All paths of a fleet."""

    def __init__(self):
        self.paths: list[Path] = []

    async def add(
        self, caller: str, callee: str, host: str, port: int, to_port: int
    ) -> str:
        """Add a path; return its address."""
        path = Path(caller, callee, (host, port), f"{host}:{to_port}")
        await path.start()
        self.paths.append(path)
        return path.address

    def of(self, *names: str) -> list[Path]:
        """Return the paths that touch one of the names."""
        return [path for path in self.paths if path.touches(names)]

    def cut_off(self, name: str, both_ways: bool) -> None:
        """Hold what a process sends, and what it should receive."""
        for path in self.of(name):
            sends = path.caller == name
            path.hold(forward=both_ways or sends, reverse=both_ways or not sends)

    def heal(self, name: str) -> None:
        """End every fault of a process's paths but silence."""
        for path in self.of(name):
            path.heal()

    async def reset(self, name: str) -> None:
        """Close every connection of a process."""
        for path in self.of(name):
            path.reset()
        await asyncio.sleep(0)

    async def stop(self) -> None:
        """Close everything."""
        await asyncio.gather(*(path.stop() for path in self.paths))
