"""Answers entries that ask for a place at the engine."""

import asyncio
import logging
from functools import singledispatchmethod

from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.logs import fields
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.places import PlaceRequest, Places, PlacesState, Verdict
from wisteriapulley.rollout.knowledge import Knowledge
from wisteriapulley.routing import Engine
from wisteriapulley.wire import Frame, Link, LinkServer, messages

log = logging.getLogger(__name__)

# Waiting requests are looked at this often; half a pass of an engine.
ADVANCE_S = 0.02
# Load is told to entries at most this often, and to many of them less often: what
# all engines tell all entries grows with both, and a question for a place corrects an
# older word.
BEAT_S = 0.03
BEATS_PER_S = 50


class Granting:
    """Places of one engine, and those that wait for one.

    Parameters
    ----------
    knowledge : Knowledge
        What the engine holds.
    """

    def __init__(self, knowledge: Knowledge):
        self.knowledge = knowledge
        self.places = Places(Engine(""))
        self.waiting: dict[str, asyncio.Future[Verdict]] = {}
        self.beat_at: asyncio.TimerHandle | None = None
        # When the engine lets a request begin again that holds requests back.
        self.passes_at: asyncio.TimerHandle | None = None
        self.server: LinkServer | None = None
        # Set while requests wait: an engine with room needs no look at its queue.
        self.queued = asyncio.Event()

    def now_ms(self) -> float:
        """Return the loop's clock in milliseconds."""
        return asyncio.get_running_loop().time() * 1000

    def open(self, may_serve: bool) -> None:
        """Open or close the places, and tell those that wait and ask."""
        if may_serve == self.places.open:
            return
        self.places.open = may_serve
        if may_serve:
            self.places.opens_ms = None
        log.info(
            "places open" if may_serve else "places closed",
            extra=fields(version=self.knowledge.held_version()),
        )
        self.advance()
        self.beat_soon()

    def opens_in(self, pause_ms: float) -> None:
        """Let requests wait for places that open after a time."""
        self.places.opens_ms = self.now_ms() + pause_ms
        self.beat_soon()

    def ends_in(self, left_ms: float | None) -> None:
        """Know for how long requests may begin; None for without an end."""
        ends_ms = None if left_ms is None else self.now_ms() + left_ms
        self.places.ends_ms = ends_ms

    def stays_closed(self) -> None:
        """Deny those that wait for places that do not open."""
        if self.places.opens_ms is None:
            return
        self.places.opens_ms = None
        self.advance()
        self.beat_soon()

    def engine_started_again(self) -> None:
        """Forget the places that the engine's earlier start held."""
        self.places.forget_held()
        self.advance()
        self.beat_soon()

    # -- what entries are told -------------------------------------------

    def heartbeat(self) -> messages.Heartbeat:
        """Tell the load, and whether places are open."""
        limited = self.places.open and self.holds_back_s() > 0
        state = PlacesState.LIMITED if limited else self.places.state
        return messages.Heartbeat(
            state=state.value,
            running=len(self.places.held),
            waiting=len(self.places.queue),
        )

    def beat_soon(self) -> None:
        """Tell entries of a changed load, but not of each change by itself."""
        if self.beat_at is None:
            loop = asyncio.get_running_loop()
            pause_s = max(BEAT_S, len(self.near_links()) / BEATS_PER_S)
            self.beat_at = loop.call_later(pause_s, self.beat)

    def beat(self) -> None:
        """Tell the entries of the own region of the load.

        Entries of other regions send here only when their own region is full:
        the regular heartbeat is enough for them. Telling all of each change took
        half of the bytes that crossed the borders.
        """
        self.beat_at = None
        for link in self.near_links():
            link.beat()

    def holds_back_s(self) -> float:
        """Return how long the engine holds requests back; 0 for not now."""
        return self.places.holds_back_s(self.now_ms() / 1000)

    def tell_limit(self) -> None:
        """Tell entries that the engine holds requests back, and when it does no more.

        Entries ask one that does after the others.
        """
        wait_s = self.holds_back_s()
        if wait_s > 0 and self.passes_at is None:
            loop = asyncio.get_running_loop()
            self.passes_at = loop.call_later(wait_s, self.passes_again)
        self.beat_soon()

    def passes_again(self) -> None:
        """Tell entries that a request may begin."""
        self.passes_at = None
        self.tell_limit()

    def forget_rates(self) -> None:
        """Forget what earlier starts of the engine stated."""
        self.places.rates.sweep(self.now_ms() / 1000)

    def near_links(self) -> list[Link]:
        """Return the links of entries in the own region."""
        return [link for link in self.server.links if self.knowledge.is_near(link)]

    # -- those that wait -------------------------------------------------

    async def advance_loop(self) -> None:
        """Deny what can't be in time any more."""
        while True:
            await self.queued.wait()
            await asyncio.sleep(ADVANCE_S)
            self.advance()
            if not self.places.queue:
                self.queued.clear()

    def advance(self) -> None:
        """Answer those that waited and now have a verdict."""
        for verdict in self.places.advance(self.now_ms()):
            future = self.waiting.get(verdict.request_id)
            if future is not None and not future.done():
                future.set_result(verdict)
            elif verdict.granted:
                self.places.release(verdict.request_id, self.now_ms())

    async def wait(self, request_id: str) -> Verdict:
        """Wait for the verdict on a request in the queue."""
        future = asyncio.get_running_loop().create_future()
        self.waiting[request_id] = future
        try:
            return await future
        except asyncio.CancelledError:
            self.places.release(request_id, self.now_ms())
            raise
        finally:
            self.waiting.pop(request_id, None)

    # -- frames ----------------------------------------------------------

    async def handle(self, link: Link, frame: Frame) -> None:
        """Handle a frame that is no reply."""
        await self.receive(frame.message, link, frame)

    @singledispatchmethod
    async def receive(self, message: tuple, link: Link, frame: Frame) -> None:
        """Take in a message, by its kind."""
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"a sidecar takes no {type(message).__name__}",
        )

    @receive.register
    async def receive_reserve(
        self, message: messages.Reserve, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Reserve`."""
        verdict = self.places.ask(place_request(message, link), self.now_ms())
        if not verdict.granted and not verdict.denied:
            self.queued.set()
            # Whoever asked takes a sidecar that says nothing for stalled.
            queued = self.reserved(verdict)._replace(queued=True)
            link.post(queued, reply_to=frame.id)
            verdict = await self.wait(message.request_id)
        if verdict.granted and link.closed.is_set():
            self.places.release(message.request_id, self.now_ms())
            return
        self.tell_limit()
        link.post(self.reserved(verdict), reply_to=frame.id)

    def reserved(self, verdict: Verdict) -> messages.Reserved:
        """Make the answer to a reservation."""
        return messages.Reserved(
            verdict.granted,
            self.knowledge.held_version(),
            int(verdict.retry_ms),
            len(self.places.held),
            len(self.places.queue),
            not self.places.open,
            limited=verdict.limited,
        )

    @receive.register
    async def receive_release(
        self, message: messages.Release, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Release`."""
        self.places.ended(
            message.request_id, outcome_of(message), self.now_ms(), message.rests
        )
        future = self.waiting.get(message.request_id)
        if future is not None and not future.done():
            future.set_result(Verdict(message.request_id, denied=True))
        self.advance()
        if message.turned_away:
            self.log_turned_away(link)
            self.tell_limit()
        else:
            self.beat_soon()

    def log_turned_away(self, link: Link) -> None:
        """Log that the engine turned away what was granted, and what follows."""
        log.info(
            "engine turned a request away",
            extra=fields(entry=link.peer_id, pause_s=round(self.holds_back_s(), 3)),
        )

    @receive.register
    async def receive_target_rate(
        self, message: messages.TargetRate, link: Link, frame: Frame
    ) -> None:
        """Handle the message `TargetRate`."""
        heard_s = self.now_ms() / 1000 - message.age_ms / 1000
        self.places.rates.hear(message.target, message.per_s or None, heard_s)
        self.places.is_for(message.target)
        self.advance()
        self.tell_limit()

    def link_opened(self, link: Link) -> None:
        """Spare heartbeats where entries are told of loads and places anyway."""
        link.sparing = True

    def link_closed(self, link: Link) -> None:
        """Take back what an entry held that is gone."""
        self.places.release_owner(owner_of(link))
        self.advance()


def owner_of(link: Link) -> str:
    """Name the entry's incarnation behind a link."""
    return f"{link.peer_id}/{link.peer.incarnation}"


def outcome_of(message: messages.Release) -> SendOutcome:
    """Read from the wire what an engine did with a request."""
    if message.turned_away:
        return SendOutcome.TURNED_AWAY
    return SendOutcome.TAKEN if message.taken else SendOutcome.UNKNOWN


def place_request(message: messages.Reserve, link: Link) -> PlaceRequest:
    """Read a reservation from the wire."""
    return PlaceRequest(
        message.request_id,
        owner_of(link),
        message.prompt_tokens,
        message.answer_tokens,
        message.priority,
        message.wait_ms,
        message.late,
        message.target,
        message.is_last,
    )
