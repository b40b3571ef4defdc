"""Forwards crash suspects to all entries.

These are the requests that ran when targets ended, and the parts of their prompts.
"""

from collections.abc import Callable, Iterable

from wisteriapulley.clocks import steady_s
from wisteriapulley.control.followers import Followers
from wisteriapulley.control.reports import QuarantineRow
from wisteriapulley.control.suspect_store import SuspectStore
from wisteriapulley.policy.crash_suspects import CrashSuspects
from wisteriapulley.policy.fingerprint import is_part, log_name
from wisteriapulley.policy.token_bucket import TokenBucket
from wisteriapulley.wire import Link, messages

# Rate and burst at which one instance forwards suspects under which only one target
# ended. If hundreds of targets end together, each of their thousands of requests is a
# suspect, and each would be sent to each entry. A suspect under which more targets
# ended is always forwarded. Parts have a limit of their own: most requests at a target
# are neighbours of the one that crashed it, while most of their parts are known to be
# harmless.
NEW_SUSPECTS_PER_S = 100.0
NEW_SUSPECTS_BURST = 300.0
# Highest number of ended targets for which a suspect is rate-limited.
MAX_RATE_LIMITED_ENDS = 1


class SuspectFeed:
    """Forwards suspects through one control instance.

    Parameters
    ----------
    followers : Followers
        Followers of this instance; its entries get the suspects.
    send_to_peers : callable
        Sends a message to every other control instance.

    Attributes
    ----------
    suspects : CrashSuspects
        The suspects recorded here.
    store : SuspectStore or None
        Store of quarantined requests; set once there is a data folder.
    """

    def __init__(self, followers: Followers, send_to_peers: Callable[[tuple], None]):
        self.followers = followers
        self.send_to_peers = send_to_peers
        self.suspects = CrashSuspects()
        self.store: SuspectStore | None = None
        self.new_requests = TokenBucket(NEW_SUSPECTS_PER_S, NEW_SUSPECTS_BURST)
        self.new_parts = TokenBucket(NEW_SUSPECTS_PER_S, NEW_SUSPECTS_BURST)

    def restore(self, store: SuspectStore) -> None:
        """Load the quarantined requests from `store`, and save to it from now on."""
        self.store = store
        self.suspects.merge_updates(store.load(), steady_s())

    def observe(self, message: messages.SuspectNews, from_entry: bool) -> None:
        """Record suspects, and forward those that changed.

        Parameters
        ----------
        message : SuspectNews
            Message from an entry or another instance.
        from_entry : bool
            Whether an entry sent the message. Then this instance forwards it to all
            other instances; an instance that gets it from another one does not.
        """
        before = self.suspects.quarantined()
        changed = self.suspects.merge_updates(message.suspects, steady_s())
        forwarded = self.message_for(filter(self.may_forward, changed))
        if forwarded.suspects:
            self.followers.push_suspects(forwarded)
            if from_entry:
                self.send_to_peers(forwarded)
        if before != self.suspects.quarantined():
            self.save()

    def correct(self, message: messages.SuspectNews, link: Link) -> None:
        """Send back the records that were cleared since the sender's were.

        It was not connected then. Suspects without ends are not sent on a new link, so
        it would keep its quarantine.
        """
        records = self.suspects.records
        outdated = [
            suspect.digest
            for suspect in message.suspects
            if suspect.digest in records
            and records[suspect.digest].cleared > suspect.cleared
        ]
        if outdated:
            link.post(self.message_for(outdated))

    def quarantined(self) -> tuple[QuarantineRow, ...]:
        """Return what is quarantined, as far as this instance knows."""
        now_s = steady_s()
        return tuple(
            QuarantineRow(
                log_name(digest),
                "part" if is_part(digest) else "request",
                self.suspects.records[digest].ended,
                int(now_s - self.suspects.records[digest].at_s),
            )
            for digest in self.suspects.quarantined()
        )

    def lift(self, name: str) -> bool:
        """End a quarantine, and tell all instances; return whether there was one.

        One that was lifted before is told again: others may have missed it.

        Parameters
        ----------
        name : str
            The fingerprint as it appears in logs.
        """
        named = [d for d in self.suspects.records if log_name(d) == name]
        lifted = [d for d in named if self.suspects.is_quarantined(d)]
        for digest in lifted:
            self.suspects.record_answer(digest, steady_s())
        cleared = [d for d in named if not self.suspects.records[d].ended]
        if cleared:
            message = self.message_for(cleared)
            self.followers.push_suspects(message)
            self.send_to_peers(message)
        if lifted:
            self.save()
        return bool(lifted)

    def may_forward(self, digest: bytes) -> bool:
        """Return whether a suspect may be forwarded now."""
        record = self.suspects.records.get(digest)
        if record is None:
            return False
        bucket = self.new_parts if is_part(digest) else self.new_requests
        return len(record.ended) > MAX_RATE_LIMITED_ENDS or bucket.take(steady_s())

    def save(self) -> None:
        """Save the quarantined requests."""
        if self.store is not None:
            self.store.save(self.message_for(self.suspects.quarantined()).suspects)

    def message_for(self, digests: Iterable[bytes]) -> messages.SuspectNews:
        """Return a message with the suspects of `digests`."""
        return messages.SuspectNews(tuple(self.suspects.updates(steady_s(), digests)))

    def send_all(self, link: Link) -> None:
        """Send the suspects with the highest weight over a new link."""
        message = self.message_for(self.suspects.top_suspects())
        if message.suspects:
            link.post(message)

    def sweep(self) -> None:
        """Expire old suspects."""
        self.suspects.remove_expired(steady_s())
