"""Maps failure domains to regions."""

from typing import NamedTuple


class Regions(NamedTuple):
    """Regions of failure domains; an unmapped domain forms a region of its own.

    Attributes
    ----------
    of_domain : dict of str to str
        Region by failure domain.
    """

    of_domain: dict[str, str]

    def of(self, failure_domain: str) -> str:
        """Return the region of a failure domain."""
        return self.of_domain.get(failure_domain, failure_domain)

    def same(self, one: str, other: str) -> bool:
        """Return whether two failure domains are in the same region."""
        return self.of(one) == self.of(other)
