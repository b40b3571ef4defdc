"""Upload of chunks to neighbours, in parts and within the link's budget."""

import asyncio
import logging

from wisteriapulley.errors import ResultCode, WeightsError, WireError
from wisteriapulley.weights.chunk_store import ChunkStore
from wisteriapulley.weights.pace import LinkBudget
from wisteriapulley.wire import Frame, Link, messages

log = logging.getLogger(__name__)

# Uploads at once: two keep the link busy when one neighbour reads slowly; with more,
# all chunks would arrive late together instead of one after the other.
MAX_PARALLEL_UPLOADS = 2
# A neighbour that reads nothing for this long must not occupy an upload slot.
SEND_TIMEOUT_S = 5.0
# Limit of queued uploads; beyond it, neighbours are told to ask another instance.
MAX_QUEUED_CHUNKS = 256
OVERLOAD_RETRY_MS = 200


class Uploader:
    """Send verified chunks, first come, first served.

    Parameters
    ----------
    store : ChunkStore
        Stores verified chunks.
    budget : LinkBudget
        Bandwidth budget of this instance's link.
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
        """Answer a chunk query; cancelled when the link closes or the peer cancels.

        Raises
        ------
        WeightsError
            The chunk is not stored here, or too many uploads are queued.
        """
        if message.digest not in self.store:
            raise WeightsError(
                ResultCode.SOURCE_UNAVAILABLE, "chunk is not stored here"
            )
        if len(self.tasks) >= MAX_QUEUED_CHUNKS:
            raise WeightsError(
                ResultCode.OVERLOADED,
                "too many chunk uploads are queued here",
                OVERLOAD_RETRY_MS,
            )
        key = (link.peer_id, frame.id)
        self.tasks[key] = asyncio.current_task()
        try:
            async with self.upload_slots:
                data = self.store.get(message.digest)
                if data is None:
                    raise WeightsError(
                        ResultCode.SOURCE_UNAVAILABLE, "chunk is not stored here"
                    )
                await self.send_parts(link, frame, message.digest, data)
        finally:
            self.tasks.pop(key, None)

    async def send_parts(
        self, link: Link, frame: Frame, digest: str, data: bytes
    ) -> None:
        """Send a chunk in parts, so that other frames can be sent in between."""
        part_bytes = self.budget.part_bytes
        for offset in range(0, len(data), part_bytes):
            part = data[offset : offset + part_bytes]
            await self.budget.acquire(len(part))
            message = messages.Chunk(digest, offset, len(data))
            link.post(message, reply_to=frame.id, body=part)
            self.bytes_sent += len(part)
            try:
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await link.drain()
            except TimeoutError:
                link.close(
                    WireError(ResultCode.LINK_SILENT, "peer does not read chunk parts")
                )
                return

    def cancel(self, link: Link, message: messages.ChunkCancel) -> None:
        """Cancel the upload of a chunk that the peer no longer needs."""
        task = self.tasks.get((link.peer_id, message.query))
        if task is not None:
            task.cancel()
