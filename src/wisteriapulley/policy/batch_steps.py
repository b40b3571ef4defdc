"""When an engine that works in passes makes the first event of a new request. Pure.

Load pattern: an engine runs passes of some decode steps. A request that comes
during a pass waits for its end; the next pass reads the prompts of all that came
meanwhile before its steps make their first events. Harm prevented: an estimate by
the mean reading rate leaves the decode steps between out, and admits requests
whose first event then comes after their objective, which makes the ones behind
them late as well.
"""


class BatchStepClock:
    """The pass in progress at one engine, as its queue of places reckons it.

    Attributes
    ----------
    ends_ms : float
        When the pass in progress ends.
    reading_ms : float
        Time to read the prompts that came since it began.
    """

    def __init__(self):
        self.step_end_ms = 0.0
        self.prefill_ms = 0.0

    def advance(self, now_ms: float, step_ms: float, running: int) -> None:
        """Let the passes run until now.

        Parameters
        ----------
        now_ms : float
            The clock.
        pass_ms : float
            Length of a pass without reading.
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
                # Long without a look: only the rhythm counts, not each pass.
                self.step_end_ms = now_ms

    def add(self, prefill_ms: float) -> None:
        """Take a request in, whose prompt takes so long to read."""
        self.prefill_ms += prefill_ms

    def first_event_ms(
        self, prompt_tokens: int, prefill_rate: float, step_ms: float, now_ms: float
    ) -> float:
        """Return how long from now the first event of a new request takes."""
        remaining_ms = max(0.0, self.step_end_ms - now_ms)
        return remaining_ms + self.prefill_ms + prompt_tokens / prefill_rate + step_ms
