"""Send answers over a link: head, parts within the reader's window, end mark."""

import zlib
from collections.abc import AsyncIterator

import aiohttp

from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.sidecar.attempts import KeptAnswer
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.flow import Window

PART_BYTES = 1 << 16
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "transfer-encoding", "content-length", "keep-alive", "host", "date")
)
VERSION_HEADER = "X-Model-Version"


def end_to_end_headers(response: aiohttp.ClientResponse) -> tuple[messages.Header, ...]:
    """Return the headers that are forwarded to the caller."""
    return tuple(
        messages.Header(name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS and value.isprintable()
    )


async def kept_parts(body: bytes) -> AsyncIterator[bytes]:
    """Yield the body of a kept answer in parts."""
    for start in range(0, len(body), PART_BYTES):
        yield body[start : start + PART_BYTES]


class AnswerSender:
    """Sends answers, each within its own flow-control window."""

    def __init__(self):
        self.windows: dict[tuple[Link, str], Window] = {}

    def add_credit(self, link: Link, credit: messages.Credit) -> None:
        """Add a reader's credit to its window; ignore it for a finished answer."""
        window = self.windows.get((link, credit.request_id))
        if window is not None:
            window.grant(credit.bytes)

    async def send_kept(
        self, link: Link, request_id: str, frame: Frame, answer: KeptAnswer
    ) -> None:
        """Send a kept answer: head, parts and end mark."""
        head = messages.AnswerHead(
            request_id,
            answer.status,
            tuple(messages.Header(*header) for header in answer.headers),
            answer.version,
            len(answer.body),
        )
        link.post(head, reply_to=frame.id)
        await self.send_parts(link, request_id, frame, kept_parts(answer.body))

    async def send_parts(
        self, link: Link, request_id: str, frame: Frame, parts: AsyncIterator[bytes]
    ) -> None:
        """Send the parts of an answer and its end mark."""
        window = self.windows[link, request_id] = Window()
        try:
            offset = crc = 0
            async for data in parts:
                await window.consume(len(data))
                part = messages.AnswerPart(request_id, offset)
                link.post(part, reply_to=frame.id, body=data)
                offset += len(data)
                crc = zlib.crc32(data, crc)
                await link.drain()
            if link.closed.is_set():
                raise WireError(
                    ResultCode.LINK_CLOSED,
                    f"the link to {link.peer_id} closed before the response was sent",
                )
            link.post(messages.AnswerEnd(request_id, offset, crc), reply_to=frame.id)
            await link.drain()
        finally:
            self.windows.pop((link, request_id), None)
