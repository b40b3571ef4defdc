"""When a batching engine emits the first event of a new request. Pure.

An engine works in batch steps, each of several decode steps. A request that arrives
during a batch step waits for its end; the next one prefills the prompts of all
requests that arrived meanwhile, before its decode steps emit their first events. An
estimate from the mean prefill rate leaves out the decode steps in between, and admits
requests whose first event then misses its objective, which delays the requests
behind them as well.
"""


class BatchStepClock:
    """Estimated batch step in progress at one engine.

    Attributes
    ----------
    step_end_ms : float
        When the batch step in progress ends.
    prefill_ms : float
        Time to prefill the prompts that arrived since it began.
    """

    def __init__(self):
        self.step_end_ms = 0.0
        self.prefill_ms = 0.0

    def advance(self, now_ms: float, step_ms: float, running: int) -> None:
        """Advance the batch steps to the current time.

        Parameters
        ----------
        now_ms : float
            Current time.
        step_ms : float
            Length of a batch step without prefill.
        running : int
            Requests at the engine; without any it waits for the next one.
        """
        while self.step_end_ms <= now_ms:
            if not running and not self.prefill_ms:
                self.step_end_ms = now_ms
                return
            self.step_end_ms += step_ms + self.prefill_ms
            self.prefill_ms = 0.0
            if self.step_end_ms < now_ms - step_ms:
                # After a long gap the steps in between don't matter.
                self.step_end_ms = now_ms

    def add(self, prefill_ms: float) -> None:
        """Add a request, given the time to prefill its prompt."""
        self.prefill_ms += prefill_ms

    def remove(self, prefill_ms: float, now_ms: float) -> None:
        """Remove prefill that was added but is not done any more."""
        pending_ms = min(prefill_ms, self.prefill_ms)
        self.prefill_ms -= pending_ms
        end_ms = self.step_end_ms - (prefill_ms - pending_ms)
        self.step_end_ms = max(min(now_ms, self.step_end_ms), end_ms)

    def first_event_ms(
        self, prompt_tokens: int, prefill_rate: float, step_ms: float, now_ms: float
    ) -> float:
        """Return the milliseconds until the first event of a new request."""
        remaining_ms = max(0.0, self.step_end_ms - now_ms)
        return remaining_ms + self.prefill_ms + prompt_tokens / prefill_rate + step_ms
