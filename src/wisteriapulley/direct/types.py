"""What an entry takes from callers and targets, whatever format they speak."""

from collections.abc import AsyncIterator
from enum import Enum
from typing import NamedTuple, Protocol

from wisteriapulley.policy.response_signals import ResponseSignals

Headers = tuple[tuple[str, str], ...]


class CallerRequest(NamedTuple):
    """One attempt of a caller, read whole.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt; each attempt has its own.
    method, target : str
        As on the request line; the target is passed on unchanged.
    host, path : str
        What selects the route: host without port, target without query.
    headers : Headers
        To be passed on, in order; those of the connection, of the caller's key
        and those that the entry sets itself are left out.
    body : bytes
        The whole body.
    key : str
        The caller's key; empty without one.
    arrived_s : float
        When the request was read, on the loop's clock.
    patience_s : float
        How long the caller waits from then on.
    prompt_tokens : int
        Tokens of the prompt; 0 where the caller does not say.
    answer_tokens : int
        Tokens of the answer, as the caller expects; 0 where it does not say.
    resume_after : str
        Id of the last event that the caller holds; empty for a whole stream.
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


class Refusal(NamedTuple):
    """Final word on a request without a target's answer.

    Attributes
    ----------
    kind : RefusalKind
        Why.
    retry_s : float
        When to come back; 0 where coming back does not help.
    reason : str
        For the log and the caller.
    """

    kind: "RefusalKind"
    retry_s: float = 0.0
    reason: str = ""


class RefusalKind(Enum):
    """Why a request gets no target's answer.

    `OVERLOADED`, `UNAVAILABLE`, `NOT_READY` and `QUARANTINED` promise that it did
    not run and never will: no place in time, something missing that another attempt
    may find, an entry that knows no routing table or target yet, or a request under
    which targets end. `FAILED` and `TIMED_OUT` promise nothing.
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
        Incarnation that must be there; any other one refuses.
    account : str
        Client account; empty where there is none.
    remaining_s : float
        Time that the target gets.
    version : int
        Version of weights that must be there; 0 for any.
    resume_after : str
        Id of the last event that is not needed again.
    fresh_connection : bool
        Whether no kept connection may be used: the target may have closed it,
        and what was sent on it may have run or not.
    """

    address: str
    target_id: str
    account: str
    remaining_s: float
    version: int = 0
    resume_after: str = ""
    fresh_connection: bool = False


class NotSentError(Exception):
    """No connection to the target: the request did not run."""


class BrokenAnswerError(Exception):
    """The target's answer did not come, or not whole: it may have run."""


class TargetAnswer(Protocol):
    """An answer whose head has arrived.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : Headers
        To be passed on to the caller.
    length : int or None
        Bytes of the body, where the target says.
    not_run : bool
        Whether the target says that it did not run the request.
    other_instance : bool
        Whether another incarnation has the address.
    says : Statements
        What the target says of itself.
    """

    status: int
    headers: Headers
    length: int | None
    not_run: bool
    other_instance: bool
    signals: ResponseSignals

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises
        ------
        BrokenAnswerError
            It ended early.
        """

    def close(self) -> None:
        """Drop the connection unless the answer was read whole."""


class TargetClient(Protocol):
    """Sends requests to targets."""

    async def send(self, request: CallerRequest, plan: SendPlan) -> TargetAnswer:
        """Send a request and wait for the head of its answer.

        Raises
        ------
        NotSentError
            Nothing was sent.
        BrokenAnswerError
            It was sent, and no head came.
        """


class CallerAnswer(Protocol):
    """Where the answer to one caller goes.

    Attributes
    ----------
    started : bool
        Whether the head has left.
    """

    started: bool

    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Send the end."""

    def cut(self) -> None:
        """Close the connection, so that the answer does not look complete."""
