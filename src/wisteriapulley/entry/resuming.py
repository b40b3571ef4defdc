"""Read an answer to its end, from another target if the first one does not go on."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import TYPE_CHECKING

from wisteriapulley.entry.answer import Answer, PartReader, is_open_silence
from wisteriapulley.entry.placing import Slot
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.errors import WisteriapulleyError

if TYPE_CHECKING:
    from wisteriapulley.entry.dispatch import Dispatcher, OpenAnswer

# Interval at which a silent link is compared with the one that replaced it.
SILENCE_POLL_INTERVAL_S = 0.1


class ResumableAnswer:
    """The answer of one target, and its rest from another one.

    A target that stands still goes on later with what it has read. So its answer is
    kept while another target is asked for the rest; whichever goes on first is used.

    Parameters
    ----------
    dispatcher : Dispatcher
        Asks another target for the rest.
    request : CallerRequest
        The request.
    opened : OpenAnswer
        Head of the answer, and the call that receives its parts.
    slot : Slot
        Slot at the target.

    Attributes
    ----------
    rest : Answer or None
        Rest of the answer from another target, once that one is used.
    """

    def __init__(
        self,
        dispatcher: "Dispatcher",
        request: CallerRequest,
        opened: "OpenAnswer",
        slot: Slot,
    ):
        self.dispatcher = dispatcher
        self.request = request
        self.opened = opened
        self.slot = slot
        self.reader = PartReader(opened.call, request.request_id)
        self.rest: Answer | None = None

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the answer's parts; cancel the request if the caller gives up.

        Raises
        ------
        WisteriapulleyError
            The answer broke off, and no other target has its rest.
        """
        try:
            while (part := await self.next_part()) is not None:
                yield part
            if self.rest is None:
                self.slot.release(ok=True)
                self.opened.call.close()
                return
            self.end_first(ok=False)
            async with aclosing(self.rest.parts) as parts:
                async for part in parts:
                    yield part
        finally:
            self.abandon()

    def end_first(self, ok: bool, cancelled: bool = False) -> None:
        """End the answer of the first target; every call after the first is ignored."""
        self.slot.release(ok=ok, cancelled=cancelled)
        self.dispatcher.cancel(self.opened, self.request)

    def abandon(self) -> None:
        """Cancel what is still in progress."""
        self.end_first(ok=False, cancelled=True)
        if self.rest is not None:
            self.rest.abandon()

    async def next_part(self) -> bytes | None:
        """Return the next part; None after the end, or when `rest` is to be used."""
        while self.rest is None:
            try:
                return await self.reader.next_part()
            except WisteriapulleyError as error:
                if is_open_silence(error, self.opened.call):
                    part = await self.part_or_rest(error)
                    if part is not None or self.rest is None:
                        return part
                else:
                    await self.resume_after(error)
        return None

    async def resume_after(self, error: WisteriapulleyError) -> None:
        """Go on at another target after the first one broke off, or raise the error."""
        self.end_first(ok=False)
        self.rest = await self.dispatcher.resume(
            self.request, self.opened, self.slot, self.reader.offset, error
        )
        if self.rest is None:
            raise self.dispatcher.as_deadline_error(self.request, error) from error

    async def part_or_rest(self, error: WisteriapulleyError) -> bytes | None:
        """Wait until the silent target goes on, or another one has the rest.

        Returns
        -------
        bytes or None
            The next part; None after the end, or if `rest` was set.

        Raises
        ------
        WisteriapulleyError
            Neither can go on: the link has closed, or only its replacement is in use.
        """
        reading = asyncio.ensure_future(self.reader.next_part())
        resuming = self.start_resuming(error)
        try:
            while not has_succeeded(reading):
                if resuming.done():
                    self.rest = resuming.result()
                    if self.rest is not None:
                        return None
                    if reading.done() or self.slot.is_superseded(self.opened.call.link):
                        raise reading.exception() if reading.done() else error
                    resuming = self.start_resuming(error)
                await asyncio.wait(
                    [task for task in (reading, resuming) if not task.done()],
                    timeout=SILENCE_POLL_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            return reading.result()
        finally:
            reading.cancel()
            resuming.cancel()
            if self.rest is None:
                resuming.add_done_callback(abandon_result)

    def start_resuming(self, error: WisteriapulleyError) -> asyncio.Future:
        """Start to look for another target."""
        return asyncio.ensure_future(self.resume_elsewhere(error))

    async def resume_elsewhere(self, error: WisteriapulleyError) -> Answer | None:
        """Ask another target for the rest; without one, wait before the next look."""
        answer = await self.dispatcher.resume(
            self.request, self.opened, self.slot, self.reader.offset, error
        )
        if answer is None:
            await asyncio.sleep(SILENCE_POLL_INTERVAL_S)
        return answer


def has_succeeded(task: asyncio.Future) -> bool:
    """Return whether a task has ended without an error."""
    return task.done() and not task.cancelled() and task.exception() is None


def abandon_result(resuming: asyncio.Future) -> None:
    """Cancel the rest of an answer that is not needed."""
    if has_succeeded(resuming) and resuming.result() is not None:
        resuming.result().abandon()
