"""Relays the response of whichever target goes on first, if one falls silent."""

import asyncio
from collections.abc import Awaitable, Callable

from wisteriapulley.direct.exchange import Arrival, Exchange
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.sending import Sender
from wisteriapulley.direct.types import CallerAnswer, Refusal
from wisteriapulley.policy.silence import (
    MAX_TIMER_DELAY_S,
    MIN_LOOK_INTERVAL_S,
    next_look_s,
    silence_limit_s,
)

# Sends a request to one more target, or returns why there is none.
OpenExchange = Callable[[], Awaitable[Exchange | Refusal]]
# An arrival, and the exchange that it comes from.
Arrived = tuple[Exchange, Arrival]


class HedgedRelay:
    """Relays one response to a caller, from the first target that goes on.

    The request is at one target as long as that target sends something. When it falls
    silent, the request is also sent to another one, a spare, if a send, the retry
    budget and a slot permit it. The first of them that sends an event or the rest of a
    body goes on alone, and the other is cancelled.

    Parameters
    ----------
    sender : Sender
        Exchanges data with targets.
    admitted : Admitted
        The request.
    progress : Progress
        Its progress.
    answer : CallerAnswer
        Receives the response.
    open_another : callable
        Sends the request to one more target.

    Attributes
    ----------
    exchange : Exchange or None
        The exchange whose next arrival is waited for.
    waiting : asyncio.Timeout or None
        Interrupts the wait for that arrival; None while the entry does not wait.
    look_timer : asyncio.TimerHandle or None
        Looks whether the target is silent.
    look_at_s : float
        When it is due, on the loop's clock.
    spare_task : asyncio.Task or None
        Looks for a spare, and waits until it sends something.
    spare : HedgedRelay or None
        Waits for the spare, which may fall silent like any other target.
    """

    def __init__(
        self,
        sender: Sender,
        admitted: Admitted,
        progress: Progress,
        answer: CallerAnswer,
        open_another: OpenExchange,
    ):
        self.sender = sender
        self.admitted = admitted
        self.progress = progress
        self.answer = answer
        self.open_another = open_another
        self.exchange: Exchange | None = None
        self.waiting: asyncio.Timeout | None = None
        self.look_timer: asyncio.TimerHandle | None = None
        self.look_at_s = 0.0
        self.spare_task: asyncio.Task[Arrived] | None = None
        self.spare: HedgedRelay | None = None

    def now_s(self) -> float:
        """Return the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    async def run(self, exchange: Exchange) -> Refusal | None:
        """Relay a response to its end.

        Returns
        -------
        Refusal or None
            None if the caller has the complete response, else why the last target
            that was left does not serve the request.
        """
        try:
            while True:
                exchange, arrival = await self.next_arrival(exchange)
                if arrival.refusal is not None:
                    return arrival.refusal
                await self.relay(exchange, arrival)
                if arrival.ended:
                    return None
                # The time that the caller took to read is not the target's.
                exchange.waiting_since_s = self.now_s()
        finally:
            self.close()

    async def relay(self, exchange: Exchange, arrival: Arrival) -> None:
        """Relay what arrived, to a caller that may leave before it has read it."""
        try:
            await self.sender.relay(
                exchange, arrival, self.admitted, self.progress, self.answer
            )
        except (asyncio.CancelledError, ConnectionError):
            if not arrival.ended:
                self.sender.record_given_up(exchange, self.admitted)
            raise

    async def next_arrival(self, exchange: Exchange) -> Arrived:
        """Return what arrives next, from this target or from a spare.

        Unless it is the final refusal, the exchange that it comes from is the only one
        that is left.
        """
        self.exchange = exchange
        self.plan_look()
        arrival: Arrival | None = None
        try:
            async with asyncio.timeout(None) as self.waiting:
                arrival = await self.sender.next_arrival(
                    exchange, self.admitted, self.progress, self.answer
                )
        except TimeoutError:
            if not self.waiting.expired():
                raise
        except asyncio.CancelledError:
            self.sender.record_given_up(exchange, self.admitted)
            raise
        finally:
            self.waiting = None
        if arrival is None:
            self.sender.record_abandoned(exchange, self.admitted)
            return await self.use_spare()
        if arrival.refusal is not None:
            if self.spare is None:
                await self.end_search()
                return exchange, arrival
            return await self.use_spare()
        if exchange.silent_since_s is not None:
            self.sender.record_resumed(exchange, self.admitted)
            await self.end_search()
            self.give_up_spare()
        return exchange, arrival

    # -- silence ---------------------------------------------------------

    def silence_limit_s(self) -> float | None:
        """Return how long the target may be silent; None without a limit."""
        return silence_limit_s(
            self.admitted.route,
            self.admitted.deadline_s - self.exchange.sent_s,
            self.progress.has_sends_left,
        )

    def plan_look(self) -> None:
        """Look later whether the target is silent, unless that is planned already."""
        if self.look_timer is not None or self.spare_task is not None:
            return
        limit_s = self.silence_limit_s()
        if limit_s is not None:
            self.look_at(self.exchange.waiting_since_s + limit_s)

    def look_at(self, at_s: float) -> None:
        """Set the timer."""
        self.look_at_s = at_s
        self.look_timer = asyncio.get_running_loop().call_at(at_s, self.look)

    def look(self) -> None:
        """Look for a spare if the target has been silent for too long.

        A process that stood still itself has not read yet what arrived meanwhile.
        """
        self.look_timer = None
        now_s, limit_s = self.now_s(), self.silence_limit_s()
        if limit_s is None or self.waiting is None:
            # The next wait plans the next look.
            return
        silent_at_s = self.exchange.waiting_since_s + limit_s
        if now_s < silent_at_s:
            self.look_at(silent_at_s)
        elif now_s > self.look_at_s + MAX_TIMER_DELAY_S:
            self.look_at(now_s + MIN_LOOK_INTERVAL_S)
        else:
            self.exchange.fall_silent()
            self.sender.log_silence("target silent", self.exchange, self.admitted)
            loop = asyncio.get_running_loop()
            self.spare_task = loop.create_task(self.run_spare())

    # -- spare -----------------------------------------------------------

    async def run_spare(self) -> Arrived:
        """Send the request to a spare, and return what arrives from it first.

        Without room for it, this looks again until the silent target goes on.
        """
        while True:
            opened = await self.open_another()
            if isinstance(opened, Refusal):
                await asyncio.sleep(next_look_s(opened.retry_s))
                continue
            self.spare = HedgedRelay(
                self.sender,
                self.admitted,
                self.progress,
                self.answer,
                self.open_another,
            )
            exchange, arrival = await self.spare.next_arrival(opened)
            if arrival.refusal is None:
                if self.waiting is not None:
                    self.waiting.reschedule(self.now_s())
                return exchange, arrival
            self.spare.close()
            if self.exchange.closed or not self.progress.has_sends_left:
                return exchange, arrival
            self.spare = None

    async def use_spare(self) -> Arrived:
        """Close the exchange, and go on with the spare."""
        self.exchange.close()
        exchange, arrival = await self.spare_task
        self.exchange = exchange
        self.spare_task = self.spare = None
        return exchange, arrival

    async def end_search(self) -> None:
        """Stop looking for a spare, and wait until the search has ended.

        A slot request that it cancels is withdrawn by the id of the request. The next
        one for the same request must not be sent before that.
        """
        task = self.spare_task
        if task is not None and task.cancel():
            await asyncio.wait([task])

    def give_up_spare(self) -> None:
        """Cancel the request at the spare, which may be asked again later."""
        spare = self.spare
        self.drop_spare()
        if spare is not None and spare.exchange is not None:
            self.progress.given_up.add(spare.exchange.target.target_id)

    def drop_spare(self) -> None:
        """Stop looking for a spare, or cancel the request there.

        An error in doing so must not end the response of a target that goes on.
        """
        task = self.spare_task
        if task is not None and not task.cancel() and not task.cancelled():
            self.sender.record_spare_error(task.exception(), self.admitted)
        if self.spare is not None:
            self.spare.close()
        self.spare_task = self.spare = None

    def close(self) -> None:
        """Close all exchanges."""
        if self.look_timer is not None:
            self.look_timer.cancel()
            self.look_timer = None
        self.drop_spare()
        if self.exchange is not None:
            self.exchange.close()
