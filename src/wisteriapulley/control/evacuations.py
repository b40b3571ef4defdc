"""Which failure domains are evacuated: in the replicated state, and at a node."""

import logging
from collections.abc import Mapping

import msgspec

from wisteriapulley.logs import fields
from wisteriapulley.wire.messages import EvacuationNews

log = logging.getLogger(__name__)


class EvacuationOrder(msgspec.Struct, frozen=True):
    """Order to evacuate a failure domain, or to withdraw its evacuation.

    Attributes
    ----------
    failure_domain : str
        The failure domain.
    evacuated : bool
        Whether it is to be evacuated.
    known_revision : int
        Revision of the domain's state that the order was given on.
    """

    failure_domain: str
    evacuated: bool
    known_revision: int = 0


class DomainState(msgspec.Struct, frozen=True):
    """State of a failure domain; `revision` is the log index of its last change."""

    evacuated: bool = False
    revision: int = 0


NEVER_EVACUATED = DomainState()


class Evacuations:
    """State of the failure domains for which there ever was an order.

    Attributes
    ----------
    domains : dict of str to DomainState
        State by failure domain.
    """

    def __init__(self):
        self.domains: dict[str, DomainState] = {}

    @property
    def revision(self) -> int:
        """Log index of the last change of any domain; 0 before the first."""
        return max((state.revision for state in self.domains.values()), default=0)

    @property
    def evacuated(self) -> tuple[str, ...]:
        """The evacuated failure domains."""
        return tuple(sorted(d for d, s in self.domains.items() if s.evacuated))

    def state_of(self, failure_domain: str) -> DomainState:
        """Return the state of a failure domain."""
        return self.domains.get(failure_domain, NEVER_EVACUATED)

    def apply(self, order: EvacuationOrder, index: int) -> bool:
        """Apply an order; return whether the domain is evacuated now.

        An order is resent to other instances until it is acknowledged. Without the
        comparison of revisions, a copy that is delayed until after the acknowledged
        withdrawal would evacuate the domain again.
        """
        state = self.state_of(order.failure_domain)
        is_current = order.known_revision >= state.revision
        if order.evacuated != state.evacuated and is_current:
            state = DomainState(order.evacuated, index)
            self.domains[order.failure_domain] = state
        return state.evacuated

    def restore(self, domains: Mapping[str, DomainState]) -> None:
        """Replace the state with that of a snapshot."""
        self.domains = dict(domains)


class EvacuationView:
    """The newest set of evacuated failure domains that a process has received.

    Attributes
    ----------
    news : EvacuationNews
        The message with that set.
    domains : frozenset of str
        The evacuated failure domains.
    """

    def __init__(self):
        self.news = EvacuationNews()
        self.domains: frozenset[str] = frozenset()

    def update(self, news: EvacuationNews) -> bool:
        """Apply a set unless it is older; return whether it is newer."""
        if news.revision <= self.news.revision:
            return False
        self.news = news
        self.domains = frozenset(news.failure_domains)
        log.info(
            "evacuated failure domains",
            extra=fields(revision=news.revision, failure_domains=news.failure_domains),
        )
        return True
