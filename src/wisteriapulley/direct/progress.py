"""One request on its way: what allows it, and what has happened to it so far."""

from typing import NamedTuple

from wisteriapulley.direct.events import EventSplitter
from wisteriapulley.direct.types import CallerRequest
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.routing import Account, Route


class Admitted(NamedTuple):
    """A request that a route and a key allow.

    Attributes
    ----------
    request : CallerRequest
        The request.
    route : Route
        What allows it.
    account : Account or None
        Whose key it bears, if any.
    deadline_s : float
        When its caller or its route gives it up, on the loop's clock.
    returned : bool
        Whether its caller was refused before, so that it can't be in time any more.
    """

    request: CallerRequest
    route: Route
    account: Account | None
    deadline_s: float
    returned: bool = False

    @property
    def priority(self) -> int:
        """Rank of the request; the account's goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def account_name(self) -> str:
        """Name of the client account, empty without one."""
        return self.account.name if self.account is not None else ""


class Progress:
    """What has happened to a request so far.

    Parameters
    ----------
    request : CallerRequest
        The request.
    service : str
        The service that was chosen for it.
    most_sends : int
        Targets that it may be sent to in all.

    Attributes
    ----------
    sends : int
        Targets that it was sent to.
    may_have_run : bool
        Whether one of them may have begun to work on it.
    tried : set of str
        Targets that are not asked again.
    outcome : SendOutcome
        Of the last send.
    events : EventSplitter
        Events that the caller has.
    fingerprint : bytes
        Names the request whichever attempt it comes by; empty until it is needed.
    """

    def __init__(self, request: CallerRequest, service: str = "", max_sends: int = 1):
        self.service = service
        self.max_sends = max(1, max_sends)
        self.sends = 0
        self.may_have_run = False
        self.tried: set[str] = set()
        self.outcome = SendOutcome.UNKNOWN
        self.events = EventSplitter(request.resume_after)
        self.fingerprint = b""

    @property
    def has_sends_left(self) -> bool:
        """Whether the route allows one more target."""
        return self.sends < self.max_sends

    @property
    def is_last_send(self) -> bool:
        """Whether the route allows no further target after the next one."""
        return self.sends + 1 >= self.max_sends
