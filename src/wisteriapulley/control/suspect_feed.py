"""Passes on under which requests targets ended, from each entry to all others."""

from collections.abc import Callable, Iterable

from wisteriapulley.clocks import steady_s
from wisteriapulley.control.followers import Followers
from wisteriapulley.control.suspect_store import SuspectStore
from wisteriapulley.policy.crash_suspects import CrashSuspects
from wisteriapulley.policy.token_bucket import TokenBucket
from wisteriapulley.wire import Link, messages

# News of requests under which fewer than two targets ended that one instance passes
# on in a second, and at once. Load: hundreds of targets end together, under
# thousands of requests. Harm prevented: each of these would be told to each entry.
# One that goes on ending targets is told in any case.
NEW_SUSPECTS_PER_S = 100.0
NEW_SUSPECTS_BURST = 300.0
# Targets that ended under a request of which news are bounded so.
MAX_RATE_LIMITED_ENDS = 1


class SuspectFeed:
    """News of suspects on their way through one control instance.

    Parameters
    ----------
    followers : Followers
        Entries that follow this instance.
    tell_peers : callable
        Sends a message to every other control instance.

    Attributes
    ----------
    suspects : CrashSuspects
        What is known here.
    store : SuspectStore or None
        Where quarantined requests are kept; set once there is a data folder.
    """

    def __init__(self, followers: Followers, send_to_peers: Callable[[tuple], None]):
        self.followers = followers
        self.send_to_peers = send_to_peers
        self.suspects = CrashSuspects()
        self.store: SuspectStore | None = None
        self.new_suspects = TokenBucket(NEW_SUSPECTS_PER_S, NEW_SUSPECTS_BURST)

    def restore(self, store: SuspectStore) -> None:
        """Take in what the disk holds, and keep it there from now on."""
        self.store = store
        self.suspects.merge_updates(store.load(), steady_s())

    def observe(self, message: messages.SuspectNews, from_entry: bool) -> None:
        """Take news in, and pass on what was not known.

        Parameters
        ----------
        news : SuspectNews
            What an entry or another instance tells.
        from_entry : bool
            Whether other instances still have to be told: one that was told by an
            entry tells them all itself.
        """
        before = self.suspects.quarantined()
        changed = self.suspects.merge_updates(message.suspects, steady_s())
        told = self.message_for(filter(self.may_forward, changed))
        if told.suspects:
            self.followers.push_suspects(told)
            if from_entry:
                self.send_to_peers(told)
        if before != self.suspects.quarantined():
            self.save()

    def may_forward(self, digest: bytes) -> bool:
        """Tell whether news of a request go on to others."""
        record = self.suspects.records.get(digest)
        if record is None:
            return False
        return len(record.ended) > MAX_RATE_LIMITED_ENDS or self.new_suspects.take(
            steady_s()
        )

    def save(self) -> None:
        """Write the quarantined requests."""
        if self.store is not None:
            self.store.save(self.message_for(self.suspects.quarantined()).suspects)

    def message_for(self, digests: Iterable[bytes]) -> messages.SuspectNews:
        """Make the news of some requests."""
        return messages.SuspectNews(tuple(self.suspects.updates(steady_s(), digests)))

    def send_all(self, link: Link) -> None:
        """Tell a new link what it needs to know."""
        news = self.message_for(self.suspects.top_suspects())
        if news.suspects:
            link.post(news)

    def sweep(self) -> None:
        """Forget what is long past."""
        self.suspects.remove_expired(steady_s())
