"""Sends chunks to neighbours, in parts and within the link's budget."""

import asyncio
import logging

from wisteriapulley.errors import ResultCode, WeightsError, WireError
from wisteriapulley.weights.chunk_store import ChunkStore
from wisteriapulley.weights.pace import LinkBudget
from wisteriapulley.wire import Frame, Link, messages

log = logging.getLogger(__name__)

# Two at once keep the link busy when one neighbour reads slowly; with more, all
# chunks would come late together instead of one after the other.
MAX_PARALLEL_UPLOADS = 2
# A neighbour that takes nothing for this long must not hold a place.
SEND_TIMEOUT_S = 5.0
# Chunks queued here by neighbours; past it they are told to ask another.
MAX_QUEUED_CHUNKS = 256
OVERLOAD_RETRY_MS = 200


class Uploader:
    """Sends verified chunks, first come first served.

    Parameters
    ----------
    store : ChunkStore
        Verified chunks.
    budget : LinkBudget
        This instance's link.
    """

    def __init__(self, store: ChunkStore, budget: LinkBudget):
        self.store = store
        self.budget = budget
        self.upload_slots = asyncio.Semaphore(MAX_PARALLEL_UPLOADS)
        self.tasks: dict[tuple[str, int], asyncio.Task] = {}
        self.bytes_sent = 0

    async def send(
        self, link: Link, message: messages.ChunkQuery, frame: Frame
    ) -> None:
        """Answer a query; cancelled when the link closes or the peer asks.

        Raises
        ------
        WeightsError
            The chunk is not here, or too many wait.
        """
        if message.digest not in self.store:
            raise WeightsError(ResultCode.SOURCE_UNAVAILABLE, "chunk is not here")
        if len(self.tasks) >= MAX_QUEUED_CHUNKS:
            raise WeightsError(
                ResultCode.OVERLOADED, "too many chunks wait here", OVERLOAD_RETRY_MS
            )
        key = (link.peer_id, frame.id)
        self.tasks[key] = asyncio.current_task()
        try:
            async with self.upload_slots:
                data = self.store.get(message.digest)
                if data is None:
                    raise WeightsError(
                        ResultCode.SOURCE_UNAVAILABLE, "chunk is not here"
                    )
                await self.send_parts(link, frame, message.digest, data)
        finally:
            self.tasks.pop(key, None)

    async def send_parts(
        self, link: Link, frame: Frame, digest: str, data: bytes
    ) -> None:
        """Send a chunk part by part, so that other frames pass in between."""
        step = self.budget.part_bytes
        for offset in range(0, len(data), step):
            part = data[offset : offset + step]
            await self.budget.acquire(len(part))
            message = messages.Chunk(digest, offset, len(data))
            link.post(message, reply_to=frame.id, body=part)
            self.bytes_sent += len(part)
            try:
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await link.drain()
            except TimeoutError:
                link.close(WireError(ResultCode.LINK_SILENT, "takes no chunk"))
                return

    def cancel(self, link: Link, message: messages.ChunkCancel) -> None:
        """Stop sending a chunk that the peer no longer wants."""
        task = self.tasks.get((link.peer_id, message.query))
        if task is not None:
            task.cancel()
