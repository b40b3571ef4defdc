"""Whether the fetch of a superseded version goes on before the newest one. Pure."""

# A fetch without a new piece for this long has lost its source: a piece takes some ten
# milliseconds. The origin no longer returns a version that was superseded twice.
SOURCE_LOST_AFTER_S = 0.3


class VersionFetch:
    """Fetch of one version from the origin or another instance.

    Parameters
    ----------
    version : int
        The version.
    named_s : float
        When it was first requested, in seconds of `clocks.steady_s`.
    started_s : float
        When its fetch started.
    has_given_up : bool
        Whether a fetch was given up for a newer version since the newest one was held.

    Attributes
    ----------
    superseded_s : float or None
        When the first newer version was requested.
    progress_s : float
        When the last piece arrived.
    """

    def __init__(
        self,
        version: int,
        named_s: float,
        started_s: float,
        has_given_up: bool = False,
    ):
        self.version = version
        self.named_s = named_s
        self.started_s = started_s
        self.has_given_up = has_given_up
        self.superseded_s: float | None = None
        self.progress_s = started_s

    def supersede(self, now_s: float) -> None:
        """Record that a newer version was requested."""
        if self.superseded_s is None:
            self.superseded_s = now_s

    def is_worth_finishing(self, held_fraction: float, now_s: float) -> bool:
        """Return whether to finish the fetch although a newer version was named.

        The newest one is served for longest, so a newer version replaces a fetch at
        once. But if every newer version did, none would complete while versions are
        named faster than one is fetched. So later ones in such a row are finished if
        they can be: the next version is expected after as long as the last one, and
        the origin then drops this one.

        Parameters
        ----------
        held_fraction : float
            Fraction of the version that is held.
        now_s : float
            Now, in seconds of `clocks.steady_s`.
        """
        if not self.has_given_up or not held_fraction:
            return False
        if now_s - self.progress_s > SOURCE_LOST_AFTER_S:
            return False
        if self.superseded_s is None:
            return True
        left_s = (now_s - self.started_s) * (1 - held_fraction) / held_fraction
        next_s = self.superseded_s + (self.superseded_s - self.named_s)
        return now_s + left_s <= next_s
