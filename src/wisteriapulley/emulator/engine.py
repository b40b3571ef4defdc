"""A batching engine on a virtual clock."""

from collections.abc import Callable
from typing import NamedTuple

from wisteriapulley.routing import Engine


class Job(NamedTuple):
    """A request at an engine."""

    request_id: str
    prompt_tokens: int
    events: int


class EmulatedEngine:
    """One engine.

    Parameters
    ----------
    parameters : Engine
        Its parameters.
    schedule : callable
        Calls a function after a delay in milliseconds.
    on_first, on_end : callable
        Called with the id of a request at its first event, and at its end.
    factor : callable
        Returns how long work takes now, as a multiple of its usual time.
    """

    def __init__(
        self,
        parameters: Engine,
        schedule: Callable[[float, Callable[[], None]], None],
        on_first: Callable[[str], None],
        on_end: Callable[[str], None],
        factor: Callable[[], float] = lambda: 1.0,
    ):
        self.parameters = parameters
        self.schedule = schedule
        self.on_first = on_first
        self.on_end = on_end
        self.factor = factor
        self.waiting: list[Job] = []
        self.running: dict[str, int] = {}
        self.before_first_event: set[str] = set()
        self.step_running = False
        self.load_ms = 0.0
        self.on_loaded: Callable[[], None] | None = None
        self.busy_slot_ms = 0.0
        self.stopped = False
        # What the engine does next when it goes on, and how long it stands still.
        self.paused_call: Callable[[], None] | None = None
        self.pause_ms = 0.0
        # Longest pause between two events of each request.
        self.longest_pauses: dict[str, float] = {}

    def stop(self) -> None:
        """Lose all requests; this engine emits nothing any more."""
        self.stopped = True

    def pause(self, pause_ms: float) -> None:
        """Stand still for some time, and go on with all requests."""
        if not self.pause_ms:
            self.pause_ms = pause_ms
            self.schedule(pause_ms, self.resume)

    def resume(self) -> None:
        """Go on."""
        for request_id in self.running.keys() - self.before_first_event:
            pause_ms = max(self.pause_ms, self.longest_pauses.get(request_id, 0.0))
            self.longest_pauses[request_id] = pause_ms
        self.pause_ms = 0.0
        call, self.paused_call = self.paused_call, None
        if call is not None:
            call()

    def submit(self, job: Job) -> None:
        """Add a request."""
        self.waiting.append(job)
        if not self.step_running:
            self.begin_batch_step()

    def load(self, load_ms: float, on_loaded: Callable[[], None]) -> None:
        """Load new weights once all requests have ended."""
        self.load_ms, self.on_loaded = load_ms, on_loaded
        if not self.step_running:
            self.begin_batch_step()

    def begin_batch_step(self) -> None:
        """Prefill new prompts, and run the decode steps of a batch step."""
        if self.pause_ms:
            self.paused_call = self.begin_batch_step
            return
        prefill_ms = 0.0
        while self.waiting and len(self.running) < self.parameters.slots:
            job = self.waiting.pop(0)
            prefill_ms += job.prompt_tokens / self.parameters.prefill_tokens_per_ms
            self.running[job.request_id] = job.events
            self.before_first_event.add(job.request_id)
        if not self.running:
            self.step_running = False
            self.begin_load()
            return
        self.step_running = True
        decode_step_ms = self.parameters.step_ms + (
            self.parameters.step_ms_per_request * len(self.running)
        )
        batch_step_ms = decode_step_ms * self.parameters.stride + prefill_ms
        batch_step_ms *= self.factor()
        for request_id in self.running.keys() - self.before_first_event:
            pause_ms = max(batch_step_ms, self.longest_pauses.get(request_id, 0.0))
            self.longest_pauses[request_id] = pause_ms
        self.busy_slot_ms += len(self.running) * batch_step_ms
        self.schedule(batch_step_ms, self.end_batch_step)

    def end_batch_step(self) -> None:
        """Emit an event of each request."""
        if self.stopped:
            return
        if self.pause_ms:
            self.paused_call = self.end_batch_step
            return
        for request_id in tuple(self.running):
            if request_id in self.before_first_event:
                self.before_first_event.discard(request_id)
                self.on_first(request_id)
            self.running[request_id] -= 1
            if not self.running[request_id]:
                del self.running[request_id]
                self.on_end(request_id)
        self.begin_batch_step()

    def begin_load(self) -> None:
        """Load new weights, if requested."""
        if self.on_loaded is None:
            return
        on_loaded, self.on_loaded = self.on_loaded, None
        self.schedule(self.load_ms, on_loaded)
