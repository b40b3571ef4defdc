"""Relays the response of whichever target goes on first, if one falls silent."""

import asyncio
from collections.abc import Awaitable, Callable

from wisteriapulley.direct.exchange import Exchange
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


class HedgedRelay:
    """Relays one response to a caller, from the first target that goes on.

    The request is at one target as long as that target sends something. When it falls
    silent, the request is also sent to another one if a send, the retry budget and a
    slot permit it. The first of them that sends an event or the rest of a body goes on
    alone, and the others are cancelled.

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
    exchanges : list of Exchange
        Exchanges in progress.
    opening : asyncio.Task or None
        Looks for one more target.
    look_at_s : float or None
        When to look for one, on the loop's clock; None while there is no reason to.
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
        self.exchanges: list[Exchange] = []
        self.opening: asyncio.Task[Exchange | Refusal] | None = None
        self.look_at_s: float | None = None

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
        self.add(exchange)
        refusal: Refusal | None = None
        try:
            while True:
                exchange = await self.next_arrived()
                if exchange is None:
                    return refusal
                arrival = exchange.arrival.result()
                if arrival.refusal is not None:
                    refusal = arrival.refusal
                    self.remove(exchange)
                    continue
                self.keep_only(exchange)
                await self.sender.relay(
                    exchange, arrival, self.admitted, self.progress, self.answer
                )
                if arrival.ended:
                    return None
                self.expect_next(exchange)
        finally:
            self.close()

    # -- waiting ---------------------------------------------------------

    async def next_arrived(self) -> Exchange | None:
        """Return an exchange with an arrival; None if no exchange is left."""
        while True:
            for exchange in self.exchanges:
                if exchange.arrival.done():
                    return exchange
            if self.opening is not None and self.opening.done():
                self.finish_opening()
                continue
            waiting = [exchange.arrival for exchange in self.exchanges]
            if self.opening is not None:
                waiting.append(self.opening)
            if not waiting:
                return None
            await asyncio.wait(
                waiting,
                timeout=self.left_until_look_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.look_if_due()

    def expect_next(self, exchange: Exchange) -> None:
        """Wait for what the target sends next.

        The time that the caller took to read what came before is not the target's.
        """
        exchange.waiting_since_s = self.now_s()
        self.sender.expect_next(exchange, self.admitted, self.progress, self.answer)
        self.plan_look(exchange)

    def plan_look(self, exchange: Exchange) -> None:
        """Set when to look for another target if this one stays silent."""
        remaining_s = self.admitted.deadline_s - exchange.sent_s
        limit_s = silence_limit_s(
            self.admitted.route, remaining_s, self.progress.has_sends_left
        )
        self.look_at_s = None if limit_s is None else exchange.waiting_since_s + limit_s

    def left_until_look_s(self) -> float | None:
        """Return the time until another target is to be looked for."""
        if self.look_at_s is None or self.opening is not None:
            return None
        return max(0.0, self.look_at_s - self.now_s())

    def look_if_due(self) -> None:
        """Look for another target if all are silent for too long.

        A process that stood still itself has not read yet what arrived meanwhile.
        """
        now_s = self.now_s()
        due = self.look_at_s is not None and now_s >= self.look_at_s
        if not due or self.opening is not None or not self.exchanges:
            return
        if any(exchange.arrival.done() for exchange in self.exchanges):
            return
        if now_s > self.look_at_s + MAX_TIMER_DELAY_S:
            self.look_at_s = now_s + MIN_LOOK_INTERVAL_S
            return
        for exchange in self.exchanges:
            if exchange.fall_silent():
                self.sender.log_silence("target silent", exchange, self.admitted)
        self.opening = asyncio.get_running_loop().create_task(self.open_another())

    def finish_opening(self) -> None:
        """Add the exchange that was opened, or plan the next look."""
        opened, self.opening = self.opening.result(), None
        if isinstance(opened, Exchange):
            self.add(opened)
        elif self.exchanges:
            self.look_at_s = self.now_s() + next_look_s(opened.retry_s)

    # -- exchanges -------------------------------------------------------

    def add(self, exchange: Exchange) -> None:
        """Add an exchange that was opened."""
        self.exchanges.append(exchange)
        self.plan_look(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Close an exchange."""
        self.exchanges.remove(exchange)
        exchange.close()

    def keep_only(self, exchange: Exchange) -> None:
        """Cancel all but the exchange that goes on."""
        if exchange.silent_since_s is not None:
            self.sender.record_resumed(exchange, self.admitted)
        self.cancel_opening()
        for other in [each for each in self.exchanges if each is not exchange]:
            if other.silent_since_s is not None:
                self.sender.record_abandoned(other, self.admitted, self.progress)
            self.remove(other)

    def cancel_opening(self) -> None:
        """Stop looking for another target."""
        opening, self.opening = self.opening, None
        if opening is None or opening.cancel() or opening.cancelled():
            return
        if opening.exception() is None and isinstance(opening.result(), Exchange):
            opening.result().close()

    def close(self) -> None:
        """Close all exchanges."""
        self.cancel_opening()
        for exchange in tuple(self.exchanges):
            self.remove(exchange)
