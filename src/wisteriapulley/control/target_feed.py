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
BATCH_DELAY_S = 0.02
# How often followers hear which targets are still there: below the silence after
# which they take the control instances for away.
HEARTBEAT_INTERVAL_S = 1.0


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
        send_to_peers: Callable[[tuple], None],
    ):
        self.targets = targets
        self.followers = followers
        self.send_to_peers = send_to_peers
        self.pending_for_followers: dict[str, Change] = {}
        self.pending_for_peers: set[str] = set()
        self.flush_timer: asyncio.TimerHandle | None = None
        self.last_heartbeats_ms = steady_ms()

    # -- changes ---------------------------------------------------------

    def observe_announcement(self, state: TargetState) -> Change:
        """Take in what a target announces here."""
        change = self.targets.update(state, steady_ms())
        if change:
            self.pending_for_peers.add(state.target_id)
            self.queue_change(state.target_id, change)
        return change

    def record_end(self, target_id: str) -> TargetState:
        """Take in a target's word that it ends; return the news of it."""
        state = self.targets.mark_gone(target_id, steady_ms())
        self.pending_for_peers.add(target_id)
        self.queue_change(target_id, Change.MEMBERSHIP)
        return state

    def observe_peer_update(self, states: Iterable[TargetState]) -> None:
        """Take in what another instance tells."""
        now_ms = steady_ms()
        for state in states:
            change = self.targets.update(state, now_ms, direct=False)
            if change:
                self.queue_change(state.target_id, change)

    def queue_change(self, target_id: str, change: Change) -> None:
        """Tell of a target with all that changes in these milliseconds."""
        known = self.pending_for_followers.get(target_id, Change.NONE)
        self.pending_for_followers[target_id] = max(known, change)
        if self.flush_timer is None:
            loop = asyncio.get_running_loop()
            self.flush_timer = loop.call_later(BATCH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Send what changed."""
        self.flush_timer = None
        changes, self.pending_for_followers = self.pending_for_followers, {}
        peers, self.pending_for_peers = self.pending_for_peers, set()
        now_ms = steady_ms()
        self.followers.push_targets(self.targets.states(now_ms, changes), changes)
        states = tuple(self.targets.states(now_ms, peers))
        if states:
            self.send_to_peers(messages.TargetNews(states))

    # -- what still is there ---------------------------------------------

    def send_heartbeats_if_due(self, now_ms: float) -> None:
        """Tell once a second which targets were heard again."""
        since_ms = self.last_heartbeats_ms
        if now_ms - since_ms < HEARTBEAT_INTERVAL_S * 1000:
            return
        self.last_heartbeats_ms = now_ms
        self.followers.push_heartbeats(tuple(self.targets.heartbeats(now_ms, since_ms)))
        direct = tuple(self.targets.heartbeats(now_ms, since_ms, direct_only=True))
        if direct:
            self.send_to_peers(TargetBeats(direct))

    def observe_heartbeats(self, message: TargetBeats, link: Link) -> None:
        """Take in which targets another instance heard; ask for missed news."""
        now_ms = steady_ms()
        missed = [
            beat.target_id
            for beat in message.beats
            if not self.targets.record_heartbeat(beat, now_ms)
        ]
        if missed:
            link.post(TargetQuery(tuple(missed)))

    def answer_query(self, query: TargetQuery, link: Link) -> None:
        """Answer with the news of some targets."""
        states = tuple(self.targets.states(steady_ms(), query.target_ids))
        if states:
            link.post(messages.TargetNews(states))

    def full_update(self) -> messages.TargetNews:
        """Make the news of all targets known here."""
        return messages.TargetNews(tuple(self.targets.states(steady_ms())))

    def stop(self) -> None:
        """Send nothing more."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()
