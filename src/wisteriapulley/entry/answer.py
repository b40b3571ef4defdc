"""Checks that an answer is whole and belongs to its request."""

import zlib
from collections.abc import AsyncIterator

from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.wire import Call, messages
from wisteriapulley.wire.link import raise_failure


def check_owner(message, request_id: str) -> None:
    """Refuse a frame that belongs to another request."""
    if message.request_id != request_id:
        raise RequestError(
            ResultCode.ANSWER_CUT,
            f"expected request {request_id}, got {message.request_id}",
        )


async def read_parts(call: Call, request_id: str) -> AsyncIterator[bytes]:
    """Yield the parts of an answer; end only at a matching end mark.

    Raises
    ------
    RequestError
        ANSWER_CUT: a part is missing, or the length or checksum differs.
    """
    offset = crc = 0
    async for frame in call:
        raise_failure(frame)
        message = frame.message
        check_owner(message, request_id)
        if isinstance(message, messages.AnswerEnd):
            if (message.length, message.crc) != (offset, crc):
                raise RequestError(
                    ResultCode.ANSWER_CUT,
                    f"expected {message.length} bytes, got {offset}",
                )
            return
        if message.offset != offset:
            raise RequestError(
                ResultCode.ANSWER_CUT, f"expected byte {offset}, got {message.offset}"
            )
        offset += len(frame.body)
        crc = zlib.crc32(frame.body, crc)
        yield frame.body
