"""Requests, responses and errors of an entry, independent of the wire format."""

from collections.abc import AsyncIterator
from enum import Enum
from typing import NamedTuple, Protocol

from wisteriapulley.policy.response_signals import ResponseSignals

Headers = tuple[tuple[str, str], ...]


class CallerRequest(NamedTuple):
    """One attempt of a caller, read completely.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt; each attempt has its own.
    method, target : str
        As on the request line; the request target is forwarded unchanged.
    host, path : str
        Select the route: host without port, request target without query.
    headers : Headers
        Headers to forward, in order, without connection headers, the caller's key
        and the headers that the entry sets itself.
    body : bytes
        The complete body.
    key : str
        API key of the caller; empty without one.
    arrived_s : float
        When the head of the request was read, on the loop's clock.
    max_wait_s : float
        How long the caller waits from then on.
    prompt_tokens : int
        Tokens in the prompt; 0 if the caller did not state it.
    answer_tokens : int
        Expected tokens in the response; 0 if the caller did not state it.
    resume_after : str
        Id of the last event that the caller has; empty for a complete stream.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, each once: all
        parts but the last.
    queued_s : float
        How long it waited behind others on its connection before it was handled.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str
    arrived_s: float
    max_wait_s: float
    prompt_tokens: int = 0
    answer_tokens: int = 0
    resume_after: str = ""
    prompt_parts: tuple[str, ...] = ()
    queued_s: float = 0.0


class Refusal(NamedTuple):
    """Final result of a request that gets no response from a target.

    Attributes
    ----------
    kind : RefusalKind
        Kind of refusal.
    retry_s : float
        When the caller may retry; 0 if a retry does not help.
    reason : str
        Text for the log and the caller.
    denials : str
        Text for the log: why sidecars denied a slot, and how many.
    """

    kind: "RefusalKind"
    retry_s: float = 0.0
    reason: str = ""
    denials: str = ""


class RefusalKind(Enum):
    """Why a request gets no response from a target.

    `OVERLOADED`, `UNAVAILABLE`, `NOT_READY` and `QUARANTINED` guarantee that the
    request did not run and will not run: no slot was free in time, something was
    missing that another attempt may find, the entry has no routing table or target
    yet, or the request crashes targets. `FAILED` and `TIMED_OUT` guarantee nothing.
    """

    NO_ROUTE = "no_route"
    BAD_KEY = "bad_key"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    NOT_READY = "not_ready"
    QUARANTINED = "quarantined"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


class SendPlan(NamedTuple):
    """How a request is sent to a target.

    Attributes
    ----------
    address : str
        Host and port.
    target_id : str
        Id of the expected target; an instance with another id rejects the request.
    account : str
        Client account; empty without one.
    remaining_s : float
        Time budget of the target from now on; connecting to it takes of that.
    version : int
        Expected version of the weights; 0 for any.
    resume_after : str
        Id of the last event that the caller already has.
    fresh_connection : bool
        Whether to open a new connection. The target may have closed a kept-alive one,
        and then it is unknown whether a request sent on it ran.
    """

    address: str
    target_id: str
    account: str
    remaining_s: float
    version: int = 0
    resume_after: str = ""
    fresh_connection: bool = False


class NotSentError(Exception):
    """The target could not be reached; the request did not run."""


class NoTimeLeftError(NotSentError):
    """The time limit passed before the request could be sent.

    That tells nothing of the target.
    """


class BrokenAnswerError(Exception):
    """The response is missing or incomplete; the request may have run."""


class OversizedAnswerError(BrokenAnswerError):
    """A target sends more than a response may have.

    Parameters
    ----------
    part : str
        The part of the response that is too large.
    size : int
        Its bytes so far, or as the target states.
    max_size : int
        The limit.
    """

    def __init__(self, part: str, size: int, max_size: int):
        super().__init__(
            f"{part} of {size} bytes, {size - max_size} over the limit of {max_size}"
        )


class NoMemoryLeftError(BrokenAnswerError):
    """An entry can't keep more of its responses; the target may be sound."""


class TargetAnswer(Protocol):
    """A target's response of which status and headers have arrived.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : Headers
        Headers to forward to the caller.
    length : int or None
        Bytes of the body, if the target states it.
    unframed : bool
        Whether the body has neither a length nor chunks, and ends with the connection.
        A recipient can't tell a whole one from a cut one (RFC 9112, section 8).
    not_run : bool
        Whether the target states that it did not run the request.
    other_instance : bool
        Whether another instance has the address now.
    signals : ResponseSignals
        Signals in the response headers about the target itself.
    """

    status: int
    headers: Headers
    length: int | None
    unframed: bool
    not_run: bool
    other_instance: bool
    signals: ResponseSignals

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        BrokenAnswerError
            The body ended early.
        """

    def close(self) -> None:
        """Close the connection unless the response was read completely."""


class TargetClient(Protocol):
    """Sends requests to targets."""

    async def send(self, request: CallerRequest, plan: SendPlan) -> TargetAnswer:
        """Send a request and wait for the status and headers of its response.

        Raises
        ------
        NotSentError
            Nothing was sent.
        BrokenAnswerError
            The request was sent, but no status and headers arrived.
        """


class CallerAnswer(Protocol):
    """Response to one caller.

    Attributes
    ----------
    started : bool
        Whether status and headers were sent.
    """

    started: bool

    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the response."""

    def cut(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
