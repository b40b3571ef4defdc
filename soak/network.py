"""Relays for all connections of the fleet, through which faults are injected.

A process connects to another one at the other's host, but on a port of its own port
range. Port ranges are disjoint, so the port identifies the connecting process. A
relay listens there and forwards to the listener of the other process.
"""

import asyncio
from collections.abc import Iterable

from tests.relay import Relay


class NetworkPath(Relay):
    """Relay that listens at the address where `caller` expects `callee`."""

    def __init__(self, caller: str, callee: str, listen: tuple[str, int], to: str):
        super().__init__(to, listen)
        self.caller = caller
        self.callee = callee

    def touches(self, names: Iterable[str]) -> bool:
        """Return whether either end is one of the names."""
        return self.caller in names or self.callee in names


class Network:
    """All relayed paths of a fleet."""

    def __init__(self):
        self.paths: list[NetworkPath] = []

    async def add(
        self, caller: str, callee: str, host: str, port: int, to_port: int
    ) -> str:
        """Add and start a path; return the address that it listens at."""
        path = NetworkPath(caller, callee, (host, port), f"{host}:{to_port}")
        await path.start()
        self.paths.append(path)
        return path.address

    def paths_touching(self, *names: str) -> list[NetworkPath]:
        """Return the paths that start or end at one of the names."""
        return [path for path in self.paths if path.touches(names)]

    def partition(self, name: str, both_ways: bool) -> None:
        """Hold what a process sends and, if `both_ways`, what it would receive."""
        for path in self.paths_touching(name):
            sends = path.caller == name
            path.hold(forward=both_ways or sends, reverse=both_ways or not sends)

    def heal(self, name: str) -> None:
        """End every fault on the paths of a process except silenced connections."""
        for path in self.paths_touching(name):
            path.heal()

    async def reset(self, name: str) -> None:
        """Reset every connection of a process."""
        for path in self.paths_touching(name):
            path.reset()
        await asyncio.sleep(0)

    async def stop(self) -> None:
        """Stop all relays."""
        await asyncio.gather(*(path.stop() for path in self.paths))
