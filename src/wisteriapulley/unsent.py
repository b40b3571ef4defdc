"""Bytes that were written to a connection and that its peer has not received."""

import asyncio
import fcntl
import socket
import struct
import termios
from pathlib import Path

# SO_LINGER with a time of zero: a close discards what waits and resets the connection.
DISCARD = struct.pack("ii", 1, 0)
# See socket(7).
LARGEST_BUFFER_FILE = Path("/proc/sys/net/core/wmem_max")


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer has not acknowledged yet.

    The bytes in the process and those in the socket buffer of the kernel are counted.
    """
    return transport.get_write_buffer_size() + unacknowledged_bytes(transport)


def discard_unsent(transport: asyncio.Transport) -> None:
    """Let the close of a connection discard what its peer has not received."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD)


def keep_unsent(transport: asyncio.Transport) -> None:
    """Let the system take what waits in the process, as far as it allows.

    It goes on sending this after the end of the process.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    size = min(unsent_bytes(transport), largest_buffer_bytes())
    # The system doubles what it is asked for, since it counts its own overhead too. A
    # buffer that it has enlarged by itself may be larger than what can be asked for.
    if 2 * size > sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def largest_buffer_bytes() -> int:
    """Return the largest send buffer that can be asked for; 0 if that is not known."""
    try:
        return int(LARGEST_BUFFER_FILE.read_text())
    except (OSError, ValueError):
        return 0


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes in the send buffer of the kernel; 0 if it does not tell."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    size = struct.pack("i", 0)
    try:
        # For TCP sockets this is SIOCOUTQ; see tcp(7).
        return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, size))[0]
    except OSError:
        return 0
