"""TCP relay on loopback that can cut, hold, throttle or corrupt traffic.

A held direction keeps its bytes and delivers them when it is released, as TCP does
after a partition. A silenced connection delivers nothing any more, while new
connections through the same relay work.
"""

import asyncio
import contextlib
import socket

READ_BYTES = 1 << 16
# Shorter reads are control frames and headers, not weights.
CORRUPT_FROM_BYTES = 4096


class Direction:
    """Faults of one direction of the relay."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()
        self.bytes_per_s = 0.0
        self.corrupting = False

    async def apply_faults(self, data: bytes) -> bytes:
        """Wait while the direction is held, then delay or corrupt the data."""
        await self.open.wait()
        if self.bytes_per_s:
            await asyncio.sleep(len(data) / self.bytes_per_s)
        if self.corrupting and len(data) >= CORRUPT_FROM_BYTES:
            corrupted = bytearray(data)
            corrupted[len(data) // 2] ^= 0xFF
            return bytes(corrupted)
        return data


class Relay:
    """Relay connections from its own port to one destination.

    Parameters
    ----------
    destination : str
        ``host:port``.
    listen : (str, int), optional
        Host and port to listen at; by default any free port on loopback.
    """

    def __init__(self, destination: str, listen: tuple[str, int] = ("127.0.0.1", 0)):
        self.host, port = destination.rsplit(":", 1)
        self.port = int(port)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(listen)
        self.socket.listen(128)
        self.address = f"{listen[0]}:{self.socket.getsockname()[1]}"
        self.forward = Direction()
        self.reverse = Direction()
        self.refusing = False
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.Task, asyncio.Event] = {}

    async def start(self) -> None:
        """Accept connections; earlier ones have waited in the listen backlog."""
        self.server = await asyncio.start_server(self.accept, sock=self.socket)

    async def accept(self, reader, writer) -> None:
        """Relay one connection until either end closes it."""
        task = asyncio.current_task()
        silenced = self.connections[task] = asyncio.Event()
        writers = [writer]
        try:
            if self.refusing:
                return
            # A held direction also holds the first packet of a new connection.
            await self.forward.open.wait()
            await self.reverse.open.wait()
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
            writers.append(far_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(pump(reader, far_writer, self.forward, silenced))
                group.create_task(pump(far_reader, writer, self.reverse, silenced))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(task, None)
            for end in writers:
                end.transport.abort() if self.refusing else end.close()

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self.refusing = True
        self.reset()

    def reset(self) -> None:
        """Close all connections; new ones are accepted."""
        for task in tuple(self.connections):
            task.cancel()

    def close_listener(self) -> None:
        """Reset all connections and refuse new ones, as after a process has exited."""
        self.refusing = True
        self.server.close()
        self.reset()

    async def reopen(self) -> None:
        """Listen at the same address again."""
        host, _, port = self.address.rpartition(":")
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, int(port)))
        self.socket.listen(128)
        self.refusing = False
        await self.start()

    def hold(self, forward: bool = True, reverse: bool = True) -> None:
        """Hold one direction or both."""
        if forward:
            self.forward.open.clear()
        if reverse:
            self.reverse.open.clear()

    def silence(self) -> None:
        """Stop all traffic on the current connections permanently."""
        for silenced in self.connections.values():
            silenced.set()

    def throttle(self, bytes_per_s: float) -> None:
        """Limit the rate of both directions; 0 removes the limit."""
        self.forward.bytes_per_s = self.reverse.bytes_per_s = bytes_per_s

    def corrupt(self) -> None:
        """Flip a byte in each long read in the reverse direction."""
        self.reverse.corrupting = True

    def heal(self) -> None:
        """End all faults except silence, which lasts as long as its connections."""
        self.refusing = self.reverse.corrupting = False
        self.throttle(0.0)
        self.forward.open.set()
        self.reverse.open.set()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.connections):
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)


async def pump(reader, writer, direction: Direction, silenced: asyncio.Event) -> None:
    """Copy bytes in one direction; raise an error at its end to close both."""
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            data = await direction.apply_faults(data)
            if silenced.is_set():
                await asyncio.Event().wait()
            writer.write(data)
            await writer.drain()
    raise ConnectionResetError("the peer closed the connection")
