"""TCP relay on loopback that can cut, hold, slow or corrupt what passes.

A direction that is held keeps its bytes and delivers them once it is let go,
as TCP does after a partition; a silenced connection never delivers again,
while new connections through the same relay work.
"""

import asyncio
import contextlib
import socket

READ_BYTES = 1 << 16
# Pieces below this are control frames and headers, not weights.
CORRUPT_FROM_BYTES = 4096


class Direction:
    """One way through the relay."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()
        self.bytes_per_s = 0.0
        self.corrupting = False

    async def apply_faults(self, piece: bytes) -> bytes:
        """Wait while held, then slow or corrupt a piece."""
        await self.open.wait()
        if self.bytes_per_s:
            await asyncio.sleep(len(piece) / self.bytes_per_s)
        if self.corrupting and len(piece) >= CORRUPT_FROM_BYTES:
            damaged = bytearray(piece)
            damaged[len(piece) // 2] ^= 0xFF
            return bytes(damaged)
        return piece


class Relay:
    """Relay from a port of its own to one destination.

    Parameters
    ----------
    destination : str
        ``host:port``.
    listen : (str, int), optional
        Where to listen; any free port of loopback by default.
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
        """Begin accepting; connections made before wait in the backlog."""
        self.server = await asyncio.start_server(self.accept, sock=self.socket)

    async def accept(self, reader, writer) -> None:
        """Pass one connection on until either end closes."""
        task = asyncio.current_task()
        silenced = self.connections[task] = asyncio.Event()
        writers = [writer]
        try:
            if self.refusing:
                return
            # A held way holds the first packet of a new connection as well.
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
        """Close every connection and refuse new ones."""
        self.refusing = True
        self.reset()

    def reset(self) -> None:
        """Close every connection; new ones are taken."""
        for task in tuple(self.connections):
            task.cancel()

    def hold(self, forward: bool = True, reverse: bool = True) -> None:
        """Hold one way or both."""
        if forward:
            self.forward.open.clear()
        if reverse:
            self.reverse.open.clear()

    def silence(self) -> None:
        """Let no byte pass on today's connections ever again."""
        for silenced in self.connections.values():
            silenced.set()

    def throttle(self, bytes_per_s: float) -> None:
        """Limit both ways."""
        self.forward.bytes_per_s = self.reverse.bytes_per_s = bytes_per_s

    def corrupt(self) -> None:
        """Flip a byte in each long piece that comes back."""
        self.reverse.corrupting = True

    def heal(self) -> None:
        """End every fault but silence, which lasts as long as its connections."""
        self.refusing = self.reverse.corrupting = False
        self.throttle(0.0)
        self.forward.open.set()
        self.reverse.open.set()

    async def stop(self) -> None:
        """Close everything."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.connections):
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)


async def pump(reader, writer, direction: Direction, silenced: asyncio.Event) -> None:
    """Pass bytes one way; end both ways when this one ends."""
    with contextlib.suppress(OSError):
        while piece := await reader.read(READ_BYTES):
            piece = await direction.apply_faults(piece)
            if silenced.is_set():
                await asyncio.Event().wait()
            writer.write(piece)
            await writer.drain()
    raise ConnectionResetError("the other end closed")
