"""TCP relay on loopback that can cut, hold, slow or corrupt what passes.

A direction that is held keeps its bytes and delivers them once it is let go,
as TCP does after a partition; a silenced connection never delivers again,
while new connections through the same relay work.
"""

import asyncio
import contextlib
import socket

PIECE_BYTES = 1 << 16
# Pieces below this are control frames and headers, not weights.
CORRUPT_FROM_BYTES = 4096


class Direction:
    """One way through the relay."""

    def __init__(self):
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.bytes_per_s = 0.0
        self.corrupting = False

    async def shape(self, piece: bytes) -> bytes:
        """Wait while held, then slow or corrupt a piece."""
        await self.flowing.wait()
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
        self.towards = Direction()
        self.back = Direction()
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
        opened = [writer]
        try:
            if self.refusing:
                return
            # A held way holds the first packet of a new connection as well.
            await self.towards.flowing.wait()
            await self.back.flowing.wait()
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
            opened.append(far_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(pump(reader, far_writer, self.towards, silenced))
                group.create_task(pump(far_reader, writer, self.back, silenced))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(task, None)
            for end in opened:
                end.transport.abort() if self.refusing else end.close()

    def cut(self) -> None:
        """Close every connection and refuse new ones."""
        self.refusing = True
        self.reset()

    def reset(self) -> None:
        """Close every connection; new ones are taken."""
        for task in tuple(self.connections):
            task.cancel()

    def hold(self, towards: bool = True, back: bool = True) -> None:
        """Hold one way or both."""
        if towards:
            self.towards.flowing.clear()
        if back:
            self.back.flowing.clear()

    def silence(self) -> None:
        """Let no byte pass on today's connections ever again."""
        for silenced in self.connections.values():
            silenced.set()

    def slow(self, bytes_per_s: float) -> None:
        """Limit both ways."""
        self.towards.bytes_per_s = self.back.bytes_per_s = bytes_per_s

    def corrupt(self) -> None:
        """Flip a byte in each long piece that comes back."""
        self.back.corrupting = True

    def heal(self) -> None:
        """End every fault but silence, which lasts as long as its connections."""
        self.refusing = self.back.corrupting = False
        self.slow(0.0)
        self.towards.flowing.set()
        self.back.flowing.set()

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
        while piece := await reader.read(PIECE_BYTES):
            piece = await direction.shape(piece)
            if silenced.is_set():
                await asyncio.Event().wait()
            writer.write(piece)
            await writer.drain()
    raise ConnectionResetError("the other end closed")
