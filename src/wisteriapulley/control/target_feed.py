"""Publishes targets to followers and the other control instances, in batches.

Each target announces itself about once a second at some control instance, and
hundreds of entries and sidecars need the state of each. Forwarding each announcement
by itself would cost one frame for each target and each follower, which is 8,000 frames
a second for 102 targets at 12 instances. So only changes are forwarded, and those
within some milliseconds share one frame. Once a second one frame lists the targets
observed since. A receiver that missed an update notices it there, and requests it.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

from wisteriapulley.clocks import steady_ms
from wisteriapulley.control.followers import Followers
from wisteriapulley.control.targets import Change, TargetTable
from wisteriapulley.logs import fields
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.messages import TargetBeats, TargetQuery, TargetState

log = logging.getLogger(__name__)

# Changes within this delay share one frame. It is far below the time within which a
# leaving target must get no new requests, and long enough for a burst of starts.
BATCH_DELAY_S = 0.02
# Interval of target heartbeats to followers; below the silence after which they treat
# the control instances as unreachable.
HEARTBEAT_INTERVAL_S = 1.0


class TargetFeed:
    """Publishes the targets of one control instance.

    Parameters
    ----------
    targets : TargetTable
        Newest state of each target.
    followers : Followers
        Entries and sidecars that follow this instance.
    send_to_peers : callable
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
        """Record an announcement that a target sent to this instance."""
        change = self.targets.update(state, steady_ms())
        if change:
            self.pending_for_peers.add(state.target_id)
            self.queue_change(state.target_id, change)
        return change

    def record_end(self, target_id: str) -> TargetState:
        """Record that a target shuts down; return its final state."""
        state = self.targets.mark_gone(target_id, steady_ms())
        self.pending_for_peers.add(target_id)
        self.queue_change(target_id, Change.MEMBERSHIP)
        return state

    def observe_peer_update(self, states: Iterable[TargetState], peer: str) -> None:
        """Record targets that another instance published."""
        now_ms = steady_ms()
        for state in states:
            change = self.targets.update(state, now_ms, direct=False)
            if change:
                self.queue_change(state.target_id, change)
            if change is Change.MEMBERSHIP and (state.leaving or state.gone):
                log.info("target changed", extra=target_fields(state, peer=peer))

    def queue_change(self, target_id: str, change: Change) -> None:
        """Queue a change for the next batch."""
        known = self.pending_for_followers.get(target_id, Change.NONE)
        self.pending_for_followers[target_id] = max(known, change)
        if self.flush_timer is None:
            loop = asyncio.get_running_loop()
            self.flush_timer = loop.call_later(BATCH_DELAY_S, self.flush)

    def publish(self, target_ids: Iterable[str]) -> None:
        """Send the queued changes now, and the states of some targets to all peers."""
        self.pending_for_peers.update(target_ids)
        self.flush()

    def flush(self) -> None:
        """Send the queued changes."""
        self.stop()
        changes, self.pending_for_followers = self.pending_for_followers, {}
        peers, self.pending_for_peers = self.pending_for_peers, set()
        now_ms = steady_ms()
        self.followers.push_targets(self.targets.states(now_ms, changes), changes)
        states = tuple(self.targets.states(now_ms, peers))
        if states:
            self.send_to_peers(messages.TargetNews(states))

    # -- heartbeats ------------------------------------------------------

    def send_heartbeats_if_due(self, now_ms: float) -> None:
        """Send heartbeats of recently observed targets, once per interval."""
        since_ms = self.last_heartbeats_ms
        if now_ms - since_ms < HEARTBEAT_INTERVAL_S * 1000:
            return
        self.last_heartbeats_ms = now_ms
        self.followers.push_heartbeats(tuple(self.targets.heartbeats(now_ms, since_ms)))
        direct = tuple(self.targets.heartbeats(now_ms, since_ms, direct_only=True))
        if direct:
            self.send_to_peers(TargetBeats(direct))

    def observe_heartbeats(self, message: TargetBeats, link: Link) -> None:
        """Record heartbeats from another instance; request missed updates."""
        now_ms = steady_ms()
        missed = [
            heartbeat.target_id
            for heartbeat in message.beats
            if not self.targets.record_heartbeat(heartbeat, now_ms)
        ]
        if missed:
            link.post(TargetQuery(tuple(missed)))

    def answer_query(self, query: TargetQuery, link: Link) -> None:
        """Reply with the state of the requested targets.

        Followers hear of changes first: the sender may wait until they were told.
        """
        if not self.pending_for_followers.keys().isdisjoint(query.target_ids):
            self.flush()
        states = tuple(self.targets.states(steady_ms(), query.target_ids))
        if states:
            link.post(messages.TargetNews(states))

    def full_update(self) -> messages.TargetNews:
        """Return the state of all known targets."""
        return messages.TargetNews(tuple(self.targets.states(steady_ms())))

    def stop(self) -> None:
        """Cancel the pending batch."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()
            self.flush_timer = None


def target_fields(state: TargetState, **more: object) -> dict[str, object]:
    """Return the log fields that describe a target."""
    return fields(
        target=state.target_id,
        service=state.service,
        address=state.address,
        sequence=state.sequence,
        leaving=state.leaving,
        gone=state.gone,
        version=state.version,
        **more,
    )
