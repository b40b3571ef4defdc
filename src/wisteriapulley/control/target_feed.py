"""Tells followers and the other control instances of targets, in batches.

Load: each target announces itself every second or so at some control instance, and
hundreds of entries and sidecars want to know of each. Harm prevented: passing each
announcement on by itself costs one frame for each target and each follower, 8,000 a
second for 102 targets at 12 instances. So only what changed is passed on, all that
came within some milliseconds in one frame, and once a second one frame says which
targets were heard again. Whoever missed news sees it there, and asks for them.
"""

import asyncio
from collections.abc import Callable, Iterable

from wisteriapulley.clocks import steady_ms
from wisteriapulley.control.followers import Followers
from wisteriapulley.control.targets import Change, TargetTable
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.messages import TargetBeats, TargetQuery, TargetState

# What changes within this time goes out together: far below the time in which a
# leaving target must have no new work, and long enough for a burst of starts.
BATCH_S = 0.02
# How often followers hear which targets are still there: below the silence after
# which they take the control instances for away.
BEATS_S = 1.0


class TargetFeed:
    """News of targets on their way out of one control instance.

    Parameters
    ----------
    targets : TargetTable
        What is known of them.
    followers : Followers
        Entries and sidecars that follow this instance.
    tell_peers : callable
        Sends a message to every other control instance.
    """

    def __init__(
        self,
        targets: TargetTable,
        followers: Followers,
        tell_peers: Callable[[tuple], None],
    ):
        self.targets = targets
        self.followers = followers
        self.tell_peers = tell_peers
        self.for_followers: dict[str, Change] = {}
        self.for_peers: set[str] = set()
        self.flushing: asyncio.TimerHandle | None = None
        self.beats_ms = steady_ms()

    # -- changes ---------------------------------------------------------

    def announced(self, state: TargetState) -> Change:
        """Take in what a target announces here."""
        change = self.targets.update(state, steady_ms())
        if change:
            self.for_peers.add(state.target_id)
            self.changed(state.target_id, change)
        return change

    def ended(self, target_id: str) -> TargetState:
        """Take in a target's word that it ends; return the news of it."""
        state = self.targets.mark_gone(target_id, steady_ms())
        self.for_peers.add(target_id)
        self.changed(target_id, Change.MEMBERSHIP)
        return state

    def told(self, states: Iterable[TargetState]) -> None:
        """Take in what another instance tells."""
        now_ms = steady_ms()
        for state in states:
            change = self.targets.update(state, now_ms, direct=False)
            if change:
                self.changed(state.target_id, change)

    def changed(self, target_id: str, change: Change) -> None:
        """Tell of a target with all that changes in these milliseconds."""
        known = self.for_followers.get(target_id, Change.NONE)
        self.for_followers[target_id] = max(known, change)
        if self.flushing is None:
            loop = asyncio.get_running_loop()
            self.flushing = loop.call_later(BATCH_S, self.flush)

    def flush(self) -> None:
        """Send what changed."""
        self.flushing = None
        changes, self.for_followers = self.for_followers, {}
        peers, self.for_peers = self.for_peers, set()
        now_ms = steady_ms()
        self.followers.push_targets(self.targets.states(now_ms, changes), changes)
        states = tuple(self.targets.states(now_ms, peers))
        if states:
            self.tell_peers(messages.TargetNews(states))

    # -- what still is there ---------------------------------------------

    def beat_if_due(self, now_ms: float) -> None:
        """Tell once a second which targets were heard again."""
        since_ms = self.beats_ms
        if now_ms - since_ms < BEATS_S * 1000:
            return
        self.beats_ms = now_ms
        self.followers.push_beats(tuple(self.targets.heartbeats(now_ms, since_ms)))
        direct = tuple(self.targets.heartbeats(now_ms, since_ms, direct_only=True))
        if direct:
            self.tell_peers(TargetBeats(direct))

    def take_beats(self, message: TargetBeats, link: Link) -> None:
        """Take in which targets another instance heard; ask for missed news."""
        now_ms = steady_ms()
        missed = [
            beat.target_id
            for beat in message.beats
            if not self.targets.record_heartbeat(beat, now_ms)
        ]
        if missed:
            link.post(TargetQuery(tuple(missed)))

    def answer(self, query: TargetQuery, link: Link) -> None:
        """Answer with the news of some targets."""
        states = tuple(self.targets.states(steady_ms(), query.target_ids))
        if states:
            link.post(messages.TargetNews(states))

    def all_news(self) -> messages.TargetNews:
        """Make the news of all targets known here."""
        return messages.TargetNews(tuple(self.targets.states(steady_ms())))

    def stop(self) -> None:
        """Send nothing more."""
        if self.flushing is not None:
            self.flushing.cancel()
