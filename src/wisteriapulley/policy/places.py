"""Who gets a place at one target, and who waits for one.

Load pattern: many entries send to one engine, which batches `slots` requests and
reads new prompts between the tokens of those that run. No entry sees what the
others send. Harm prevented: without one queue in front of the engine, the entries
together overfill one target while another has places empty, and a burst of long
prompts makes the first event of every request late.

The engine's sidecar keeps this queue; its entries ask for a place before they
send. A place is granted only if the first event can still be in time, so that
what can't be is refused at once and does not delay what can.
"""

import heapq
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from wisteriapulley.policy.circuit_breaker import CircuitBreaker, SendOutcome
from wisteriapulley.policy.passes import PassClock
from wisteriapulley.policy.stated_rate import RateLimits
from wisteriapulley.routing import Engine

# Requests granted beyond the slots: an ended request's place is known here only
# after its entry said so, some milliseconds later, and the engine takes new
# requests at the end of a pass. One more keeps that slot from standing empty.
EXTRA_PLACES = 1
# Until ends were seen: a mean request holds its place for so long.
FIRST_HOLD_MS = 1500.0
# Until ends were seen: an engine with all slots taken makes an event of each
# request in a pass of so long, reading included.
FIRST_EVENT_PACE_MS = 80.0
# A request may end so long after the engine is to change: the change waits for it.
OVERRUN_MS = 800.0
# Places that requests may fill which come late: below this the engine has room
# for the new ones that come meanwhile.
ROOM_SHARE = 0.7
# Prompts of late requests that a pass may read, in milliseconds. A new request's
# first event waits for what its pass reads: of an objective of 400 ms this takes a
# quarter, and one mean prompt of 50 ms always fits.
LATE_READING_MS = 100.0
# A request is granted on weights whose time ends only if its first event is expected
# so long before. Left for the way there, and for what the estimate of the first
# event misses; a request that still is late is dropped by its entry in time.
BEGIN_MARGIN_MS = 250.0
GAIN = 0.1
# A place whose entry neither uses nor releases it is taken back: longer than any
# route's timeout.
LONGEST_HOLD_MS = 15_000.0
# Never tell a caller to come back sooner.
LEAST_RETRY_MS = 50.0


class PlacesState(Enum):
    """Whether places are granted now, soon, or not at all.

    `LIMITED` is open, but for the rate that the engine states.
    """

    OPEN = "open"
    LIMITED = "limited"
    OPENING = "opening"
    CLOSED = "closed"


class PlaceRequest(NamedTuple):
    """One request's wish for a place.

    Attributes
    ----------
    request_id : str
        Names the request.
    owner : str
        The entry that asks.
    prompt_tokens, answer_tokens : int
        Tokens to be read before the first event, and expected to be written.
    priority : int
        0 goes first.
    wait_ms : float
        Time until the first event must come.
    late : bool
        Whether the request's objective has passed already.
    target : str
        The engine's start that the request is for.
    is_last : bool
        Whether it can't be sent again if the engine turns it away.
    """

    request_id: str
    owner: str
    prompt_tokens: int
    answer_tokens: int
    priority: int
    wait_ms: float
    late: bool = False
    target: str = ""
    is_last: bool = False


class Held(NamedTuple):
    """A granted place."""

    owner: str
    since_ms: float
    events: float


class Waiting(NamedTuple):
    """A request in the queue, ordered by priority, then by arrival."""

    priority: int
    number: int
    request: PlaceRequest
    until_ms: float


class Verdict(NamedTuple):
    """What becomes of a request now; neither granted nor denied means it waits.

    `limited` says that the engine itself holds requests back: it states a rate, or
    turned some away.
    """

    request_id: str
    granted: bool = False
    denied: bool = False
    retry_ms: float = 0.0
    limited: bool = False


class Places:
    """Places of one engine.

    Parameters
    ----------
    engine : Engine
        Its figures.
    extra_places : int
        Places granted beyond its slots.
    overrun_ms : float
        How long after a planned change a request may still run.
    """

    def __init__(
        self,
        engine: Engine,
        extra_places: int = EXTRA_PLACES,
        overrun_ms: float = OVERRUN_MS,
    ):
        self.engine = engine
        self.extra_places = extra_places
        self.overrun_ms = overrun_ms
        self.held: dict[str, Held] = {}
        self.queue: list[Waiting] = []
        self.numbers = 0
        self.open = False
        self.passes = PassClock()
        self.hold_ms = FIRST_HOLD_MS
        self.event_pace_ms = FIRST_EVENT_PACE_MS
        # When the engine is to take nothing more for a while, if that is planned.
        self.closes_ms: float | None = None
        # When closed places are expected to open: the engine loads, and nothing
        # runs that the load has to wait for.
        self.opens_ms: float | None = None
        # When nothing may begin any more on the weights that the engine holds.
        self.ends_ms: float | None = None
        # What the engine says that it takes, and which start of it was asked for last.
        self.rates = RateLimits()
        self.target = ""
        # What it did with the requests that were granted.
        self.breaker = CircuitBreaker()

    @property
    def state(self) -> PlacesState:
        """Whether places are granted."""
        if self.open:
            return PlacesState.OPEN
        opening = self.opens_ms is not None
        return PlacesState.OPENING if opening else PlacesState.CLOSED

    @property
    def limit(self) -> int:
        """Places granted at once at the most."""
        return self.engine.slots + self.extra_places

    def pass_ms(self) -> float:
        """Return how long a pass without reading takes now."""
        engine = self.engine
        step_ms = engine.step_ms + engine.step_ms_per_request * len(self.held)
        return step_ms * engine.stride

    def first_event_ms(self, prompt_tokens: int, now_ms: float) -> float:
        """Estimate when the first event comes of a request that is sent now."""
        self.passes.advance(now_ms, self.pass_ms(), len(self.held))
        rate = self.engine.prefill_tokens_per_ms
        return self.passes.first_event_ms(prompt_tokens, rate, self.pass_ms(), now_ms)

    def place_wait_ms(self, ahead: int) -> float:
        """Estimate when a place opens for a request with so many before it."""
        free = self.limit - len(self.held)
        if ahead < free:
            return 0.0
        return (ahead - free + 1) * self.hold_ms / self.engine.slots

    # -- inputs ----------------------------------------------------------

    def ask(self, request: PlaceRequest, now_ms: float) -> Verdict:
        """Grant a place, let the request wait, or deny it at once."""
        if self.state is PlacesState.CLOSED:
            return Verdict(request.request_id, denied=True)
        self.is_for(request.target)
        held_back_ms = self.held_back_ms(request, now_ms)
        if held_back_ms > 0:
            retry_ms = max(LEAST_RETRY_MS, held_back_ms)
            return Verdict(
                request.request_id, denied=True, retry_ms=retry_ms, limited=True
            )
        if request.late:
            return self.ask_late(request, now_ms)
        ahead = sum(w.priority <= request.priority for w in self.queue)
        place_ms = self.place_wait_ms(ahead)
        event_ms = self.first_event_ms(request.prompt_tokens, now_ms)
        if self.state is PlacesState.OPENING:
            place_ms = max(place_ms, self.opens_ms - now_ms)
            event_ms += self.queued_reading_ms()
        in_time = place_ms + event_ms <= request.wait_ms
        if not in_time and not (self.open and self.is_late_by_itself()):
            return Verdict(
                request.request_id,
                denied=True,
                retry_ms=max(LEAST_RETRY_MS, place_ms + event_ms - request.wait_ms),
            )
        if self.may_not_begin(request, place_ms + event_ms, now_ms):
            return Verdict(request.request_id, denied=True, retry_ms=LEAST_RETRY_MS)
        if place_ms <= 0 and self.open:
            return self.grant(request, now_ms)
        return self.wait(request, now_ms + request.wait_ms - event_ms)

    def ask_late(self, request: PlaceRequest, now_ms: float) -> Verdict:
        """Decide on a request whose objective has passed already.

        Load: the callers whose streams a loss of all has cut come back at the same
        moment, some eighty within 0.2 s at twelve engines. Harm prevented: their
        prompts together take longer to read than one request may wait, so they
        were refused for good while places stood empty. They wait for their turn to
        be read instead, a few in each pass, so that new requests still are in time.
        """
        opens_ms = 0.0 if self.open else max(0.0, self.opens_ms - now_ms)
        event_ms = opens_ms + self.first_event_ms(request.prompt_tokens, now_ms)
        if not self.has_room(len(self.queue)):
            return Verdict(request.request_id, denied=True, retry_ms=self.hold_ms)
        read_ms = event_ms + self.queued_reading_ms()
        if read_ms > request.wait_ms or self.may_not_begin(request, read_ms, now_ms):
            return Verdict(request.request_id, denied=True, retry_ms=LEAST_RETRY_MS)
        if self.open and not self.queue and self.may_read_late(now_ms):
            return self.grant(request, now_ms)
        return self.wait(request, now_ms + request.wait_ms - event_ms)

    def is_for(self, target: str) -> None:
        """Know which start of the engine requests are for; each is judged anew."""
        if target != self.target:
            self.target = target
            self.breaker = CircuitBreaker()

    def held_back_ms(self, request: PlaceRequest, now_ms: float) -> float:
        """Return how long until what the engine says and does lets a request begin."""
        rate_s = self.rates.wait_s(request.target, now_ms / 1000, request.late)
        breaker_s = self.breaker.wait_s(now_ms / 1000, request.is_last)
        return max(rate_s, breaker_s) * 1000

    def holds_back_s(self, now_s: float) -> float:
        """Return how long the engine takes no request in time."""
        rate_s = self.rates.wait_s(self.target, now_s)
        return max(rate_s, self.breaker.wait_s(now_s))

    def may_read_late(self, now_ms: float) -> bool:
        """Tell whether the next pass may read one more late prompt."""
        self.passes.advance(now_ms, self.pass_ms(), len(self.held))
        return self.has_room() and self.passes.reading_ms < LATE_READING_MS

    def wait(self, request: PlaceRequest, until_ms: float) -> Verdict:
        """Put a request into the queue, until it can't begin in time any more."""
        if self.ends_ms is not None:
            rate = self.engine.prefill_tokens_per_ms
            least_ms = request.prompt_tokens / rate + self.pass_ms() + BEGIN_MARGIN_MS
            until_ms = min(until_ms, self.ends_ms - least_ms)
        self.numbers += 1
        entry = Waiting(request.priority, self.numbers, request, until_ms)
        heapq.heappush(self.queue, entry)
        return Verdict(request.request_id)

    def queued_reading_ms(self) -> float:
        """Return how long the prompts in the queue take to read.

        Load: engines that come back after a loss of all, and callers that ask
        before they have loaded. Harm prevented: those callers were refused, and
        then the engines stood empty; but all that wait are read at once when the
        places open, so only so many may wait as can be in time.
        """
        tokens = sum(waiting.request.prompt_tokens for waiting in self.queue)
        return tokens / self.engine.prefill_tokens_per_ms

    def has_room(self, ahead: int = 0) -> bool:
        """Tell whether a request may have a place though it comes late.

        Load: callers that were refused come back while more new ones come than
        there are places. Harm prevented: a late answer earns a quarter of one in
        time and takes the same place, so it gets what others leave.

        Parameters
        ----------
        ahead : int
            Late requests that wait for the same.
        """
        if self.queue and not self.queue[0].request.late:
            return False
        return len(self.held) + ahead < self.limit * ROOM_SHARE

    def is_late_by_itself(self) -> bool:
        """Tell whether only a request's own length makes it late here.

        The longest prompts take most of an objective to read. They are not refused
        for that while places are free and nobody else's prompt waits to be read.
        """
        return self.has_room() and not self.passes.reading_ms

    def may_not_begin(
        self, request: PlaceRequest, event_ms: float, now_ms: float
    ) -> bool:
        """Tell whether the weights' time ends, or they change, too soon for it."""
        if self.ends_ms is not None:
            if now_ms + event_ms + BEGIN_MARGIN_MS > self.ends_ms:
                return True
        return self.overruns(request, event_ms, now_ms)

    def overruns(self, request: PlaceRequest, event_ms: float, now_ms: float) -> bool:
        """Tell whether a request would still run when the engine is to change.

        Load: an engine that is to load new weights takes nothing new until its
        longest request has ended. Harm prevented: for that time its other places
        stand empty. Before a planned change only requests that end by then are
        admitted, so that the engine is busy until then and soon after it again.
        """
        if self.closes_ms is None:
            return False
        run_ms = self.events_of(request) * self.event_pace_ms
        return now_ms + event_ms + run_ms > self.closes_ms + self.overrun_ms

    def events_of(self, request: PlaceRequest) -> float:
        """Return how many events a request's answer is expected to have."""
        return request.answer_tokens / max(1, self.engine.stride)

    def grant(self, request: PlaceRequest, now_ms: float) -> Verdict:
        """Give a place."""
        self.rates.take(request.target, now_ms / 1000)
        self.breaker.sent(now_ms / 1000)
        self.passes.advance(now_ms, self.pass_ms(), len(self.held))
        self.passes.add(request.prompt_tokens / self.engine.prefill_tokens_per_ms)
        self.held[request.request_id] = Held(
            request.owner, now_ms, self.events_of(request)
        )
        return Verdict(request.request_id, granted=True)

    def ended(
        self,
        request_id: str,
        outcome: SendOutcome,
        now_ms: float,
        rests: bool = False,
    ) -> None:
        """Take a place back, and learn what the engine did with its request.

        `rests` says that the engine asked the sender for rest.
        """
        held = self.held.get(request_id)
        if held is not None:
            sent_s = held.since_ms / 1000
            self.breaker.ended(outcome, sent_s, now_ms / 1000, rests)
            if outcome is SendOutcome.TURNED_AWAY:
                # How long it was held says nothing of the time that requests take.
                del self.held[request_id]
        self.release(request_id, now_ms)

    def release(self, request_id: str, now_ms: float) -> None:
        """Take a place back, or the request out of the queue."""
        held = self.held.pop(request_id, None)
        if held is not None:
            taken_ms = now_ms - held.since_ms
            self.hold_ms += GAIN * (taken_ms - self.hold_ms)
            if held.events >= 1:
                pace_ms = taken_ms / (held.events + 1)
                self.event_pace_ms += GAIN * (pace_ms - self.event_pace_ms)
            return
        self.queue = [w for w in self.queue if w.request.request_id != request_id]
        heapq.heapify(self.queue)

    def release_owner(self, owner: str) -> None:
        """Take back all that an entry held or waited for: it is gone."""
        self.held = {k: h for k, h in self.held.items() if h.owner != owner}
        self.queue = [w for w in self.queue if w.request.owner != owner]
        heapq.heapify(self.queue)

    def forget_held(self) -> None:
        """Take back all places at once: the engine runs none of it any more."""
        self.held.clear()
        self.breaker = CircuitBreaker()
        self.passes = PassClock()

    def close(self) -> None:
        """Grant nothing more; what waits is denied by the next `advance`."""
        self.open = False
        self.opens_ms = None

    def advance(self, now_ms: float) -> Iterator[Verdict]:
        """Yield verdicts on requests that waited.

        Those that can't be in time any more are denied as soon as that is so,
        not when their time has passed.
        """
        self.expire_held(now_ms)
        while self.queue:
            first = self.queue[0]
            if self.state is PlacesState.CLOSED or self.is_lost(first, now_ms):
                heapq.heappop(self.queue)
                yield self.denied(first, now_ms)
            elif self.may_go(first.request, now_ms):
                heapq.heappop(self.queue)
                yield self.grant(first.request, now_ms)
            else:
                break
        yield from self.deny_late(now_ms)

    def is_lost(self, waiting: Waiting, now_ms: float) -> bool:
        """Tell whether a request waits in vain.

        Its time has passed, or it is late and new ones take all that there is. One
        that the engine itself holds back may have a place elsewhere at once.
        """
        if now_ms > waiting.until_ms:
            return True
        if self.held_back_ms(waiting.request, now_ms) > 0:
            return True
        return waiting.request.late and self.open and not self.has_room()

    def may_go(self, request: PlaceRequest, now_ms: float) -> bool:
        """Tell whether the first request of the queue may have a place now."""
        if not self.open:
            return False
        if request.late:
            return self.may_read_late(now_ms)
        return len(self.held) < self.limit

    def deny_late(self, now_ms: float) -> Iterator[Verdict]:
        """Deny what is behind others in the queue and past its time."""
        late = [w for w in self.queue if self.is_lost(w, now_ms)]
        if not late:
            return
        self.queue = [w for w in self.queue if w not in late]
        heapq.heapify(self.queue)
        for waiting in late:
            yield self.denied(waiting, now_ms)

    def denied(self, waiting: Waiting, now_ms: float) -> Verdict:
        """Deny a request that waited; tell when another may have a place."""
        place_ms = self.place_wait_ms(len(self.queue))
        held_back_ms = self.held_back_ms(waiting.request, now_ms)
        return Verdict(
            waiting.request.request_id,
            denied=True,
            retry_ms=max(LEAST_RETRY_MS, place_ms, held_back_ms),
            limited=held_back_ms > 0,
        )

    def expire_held(self, now_ms: float) -> None:
        """Take places back that were forgotten."""
        limit_ms = now_ms - LONGEST_HOLD_MS
        if any(h.since_ms < limit_ms for h in self.held.values()):
            self.held = {k: h for k, h in self.held.items() if h.since_ms >= limit_ms}
