"""Asks the engine beside a sidecar whether it answers now."""

import asyncio

from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.policy.answer_calls import AnswerCalls
from wisteriapulley.rollout.engine import EngineClient


class EngineAnswers:
    """Answers of the engine, each to all who asked before its call was sent.

    Parameters
    ----------
    engine : EngineClient
        Engine beside this sidecar.

    Attributes
    ----------
    calls : AnswerCalls
        The calls so far.
    unsent : asyncio.Future or None
        Whether the engine answers the call that is sent next; None if nobody asks.
    """

    def __init__(self, engine: EngineClient):
        self.engine = engine
        self.calls = AnswerCalls()
        self.unsent: asyncio.Future[bool] | None = None
        self.task: asyncio.Task | None = None
        self.stopped = False

    def now_ms(self) -> float:
        """Return the loop's clock in milliseconds."""
        return asyncio.get_running_loop().time() * 1000

    def is_silent(self) -> bool:
        """Return whether the engine leaves a call unanswered."""
        return self.calls.is_silent(self.now_ms())

    def ask(self) -> asyncio.Future[bool]:
        """Return whether the engine answers a call that is sent from now on."""
        loop = asyncio.get_running_loop()
        if self.unsent is None:
            self.unsent = loop.create_future()
        asked = self.unsent
        if self.stopped:
            self.end_unsent()
        elif self.task is None or self.task.done():
            self.task = loop.create_task(self.make_calls())
        return asked

    async def make_calls(self) -> None:
        """Make one call after the other while somebody asks."""
        while self.unsent is not None:
            asked, self.unsent = self.unsent, None
            answers = False
            self.calls.record_sent(self.now_ms())
            try:
                answers = await self.is_answered()
            finally:
                self.calls.record_ended()
                asked.set_result(answers)

    async def is_answered(self) -> bool:
        """Make one call; return whether the engine answers.

        An engine in a cool-down that it requested can't be asked.
        """
        try:
            await self.engine.report()
        except WisteriapulleyError:
            return False
        return True

    def stop(self) -> None:
        """Cancel the call in progress; from now on the engine does not answer."""
        self.stopped = True
        if self.task is not None:
            self.task.cancel()
        self.end_unsent()

    def end_unsent(self) -> None:
        """Tell those who wait for the next call that it is not made."""
        if self.unsent is not None:
            self.unsent.set_result(False)
            self.unsent = None
