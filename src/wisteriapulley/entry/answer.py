"""Check that an answer is complete and belongs to its request."""

import zlib
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import NamedTuple

from wisteriapulley.errors import RequestError, ResultCode
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


async def read_parts(call: Call, request_id: str) -> AsyncIterator[bytes]:
    """Yield the parts of an answer; return only at an end mark that matches them.

    There is no timeout here, because a timer for each part would cost more than the
    part; the consumer has one for the whole answer. Consumed bytes are returned as
    credit, so a slow caller holds at most one window of its answer here.

    Raises
    ------
    RequestError
        ANSWER_CUT: a part is missing, or the length or checksum differs.
    """
    offset = crc = consumed = 0
    while True:
        frame = await next_reply(call, request_id)
        message = frame.message
        if isinstance(message, messages.AnswerEnd):
            if (message.length, message.crc) != (offset, crc):
                raise RequestError(
                    ResultCode.ANSWER_CUT,
                    "response truncated or corrupted:"
                    f" expected {message.length} bytes, got {offset}",
                )
            return
        if message.offset != offset:
            raise RequestError(
                ResultCode.ANSWER_CUT,
                "part of the response missing:"
                f" expected offset {offset}, got {message.offset}",
            )
        offset += len(frame.body)
        crc = zlib.crc32(frame.body, crc)
        yield frame.body
        consumed += len(frame.body)
        if consumed >= CREDIT_BYTES and not call.link.closed.is_set():
            call.link.post(messages.Credit(request_id, consumed))
            consumed = 0
