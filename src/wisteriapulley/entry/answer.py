"""Check that an answer is complete and belongs to its request."""

import zlib
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import NamedTuple

from wisteriapulley.errors import RequestError, ResultCode, WisteriapulleyError
from wisteriapulley.wire import Call, Frame, messages
from wisteriapulley.wire.call import raise_failure
from wisteriapulley.wire.flow import CREDIT_BYTES


class Answer(NamedTuple):
    """Answer whose body is still being received.

    Attributes
    ----------
    head : AnswerHead
        Status and headers.
    parts : async generator of bytes
        The body; raises an error if the answer is cut off.
    abandon : callable
        Cancels the request at its target unless the answer is complete. Always
        call it at the end: a generator that was never started runs no clean-up of
        its own.
    """

    head: messages.AnswerHead
    parts: AsyncGenerator[bytes, None]
    abandon: Callable[[], None]


async def next_reply(
    call: Call, request_id: str, timeout_s: float | None = None
) -> Frame:
    """Return the next reply to this request; drop and count those to other requests.

    Raises
    ------
    WisteriapulleyError
        The peer answered with a failure.
    WireError
        The link closed or no reply came in time.
    """
    while True:
        frame = await call.reply(timeout_s)
        raise_failure(frame)
        if frame.message.request_id == request_id:
            return frame
        call.link.crossed_replies += 1


class PartReader:
    """Reads the parts of an answer up to an end mark that matches them.

    Consumed bytes are returned as credit, so a slow caller holds at most one window of
    its answer here.

    Parameters
    ----------
    call : Call
        Call that receives the answer.
    request_id : str
        Id of the request; replies to others are dropped.

    Attributes
    ----------
    offset : int
        Bytes that were read.
    """

    def __init__(self, call: Call, request_id: str):
        self.call = call
        self.request_id = request_id
        self.offset = 0
        self.crc = 0
        self.consumed = 0

    async def next_part(self) -> bytes | None:
        """Return the next part; None after the end mark.

        There is no timeout here, because a timer for each part would cost more than the
        part; the consumer has one for the whole answer.

        Raises
        ------
        RequestError
            ANSWER_CUT: a part is missing, or the length or checksum differs.
        WireError
            LINK_SILENT: the peer is silent. If the link is still open, the answer may
            go on later.
        """
        self.return_credit()
        frame = await next_reply(self.call, self.request_id)
        message = frame.message
        if isinstance(message, messages.AnswerEnd):
            self.check_end(message)
            return None
        if message.offset != self.offset:
            raise RequestError(
                ResultCode.ANSWER_CUT,
                "part of the response missing:"
                f" expected offset {self.offset}, got {message.offset}",
            )
        self.offset += len(frame.body)
        self.consumed += len(frame.body)
        self.crc = zlib.crc32(frame.body, self.crc)
        return frame.body

    def check_end(self, end: messages.AnswerEnd) -> None:
        """Check the parts against the end mark."""
        if (end.length, end.crc) != (self.offset, self.crc):
            raise RequestError(
                ResultCode.ANSWER_CUT,
                "response truncated or corrupted:"
                f" expected {end.length} bytes, got {self.offset}",
            )

    def return_credit(self) -> None:
        """Return the bytes of the parts that the consumer has finished with."""
        if self.consumed >= CREDIT_BYTES and not self.call.link.closed.is_set():
            self.call.link.post(messages.Credit(self.request_id, self.consumed))
            self.consumed = 0


async def read_parts(call: Call, request_id: str) -> AsyncIterator[bytes]:
    """Yield the parts of an answer; see `PartReader.next_part`."""
    reader = PartReader(call, request_id)
    while (part := await reader.next_part()) is not None:
        yield part


def is_open_silence(error: WisteriapulleyError, call: Call) -> bool:
    """Return whether the peer is silent only, and may go on with the answer."""
    return error.code == ResultCode.LINK_SILENT and not call.link.closed.is_set()
