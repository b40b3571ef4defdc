"""Links of an entry to the targets that it sends requests to."""

import asyncio
import time
from collections.abc import Container, Iterator

from wisteriapulley.catalogue import Entry
from wisteriapulley.control.client import ControlClient
from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.policy import TargetView
from wisteriapulley.rendezvous import rendezvous_weight
from wisteriapulley.settings import Address, EntrySettings
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.reconnect import ReconnectingLink

# A target gets no new requests after this many heartbeat intervals without a frame.
UNRESPONSIVE_AFTER_HEARTBEATS = 2.0
# How long a link opened to resolve a claim stays open after its last use, so that the
# response can arrive over it.
CLAIM_LINK_IDLE_S = 30.0
# A starting entry may find a target in a claim before it receives the member list.
# Until this time has passed, a target that is not listed does not count as gone.
STARTUP_GRACE_S = 3.0


class Target:
    """One target and the link to its sidecar.

    Attributes
    ----------
    in_flight : int
        In-flight requests of this entry at the target.
    in_flight_at_report : int
        Maximum of `in_flight` in the interval before the last heartbeat, which is
        what that heartbeat may have counted. Answers may arrive while a heartbeat
        is in transit. Compared with the lower current count, the heartbeat would
        seem to report requests of other entries, and a slot would stay empty until
        the next heartbeat.
    peak : int
        Maximum of `in_flight` since the last heartbeat.
    unlisted : bool
        Whether the member list no longer contains the target. It is used as long
        as heartbeats arrive on its link.
    outside_subset : bool
        Whether the target is outside this entry's subset. It gets no new requests,
        and its link closes when it is idle.
    last_queried_s : float
        Time when the target was last asked about a claim.
    """

    def __init__(self, member: messages.Announce, connection: ReconnectingLink):
        self.member = member
        self.connection = connection
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.peak = 0
        self.unlisted = False
        self.outside_subset = False
        self.last_queried_s = 0.0

    @property
    def link(self) -> Link | None:
        """The open link, or None."""
        return self.connection.open_link

    def add_request(self) -> None:
        """Count a request that this entry sends to the target."""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)

    def view(self) -> TargetView:
        """Return the state of the target that the placement policy needs."""
        return TargetView(
            self.member.node_id,
            self.in_flight,
            self.link.peer_heartbeat.running,
            self.in_flight_at_report,
        )

    def is_unresponsive(self, silence_limit_s: float) -> bool:
        """Return whether nothing arrived from it for longer than the limit."""
        silence_s = asyncio.get_running_loop().time() - self.link.last_received
        return silence_s > silence_limit_s

    def accepts(self, entry: Entry, version: str = "") -> bool:
        """Return whether it accepts requests of an entry, by its own heartbeats.

        Any accepted version that the target is open with counts: while hundreds of
        targets still download a new version, the previous one keeps serving.

        Parameters
        ----------
        entry : Entry
            Catalogue entry of the request.
        version : str, optional
            The only version to accept, for the rest of a cut answer.
        """
        link = self.link
        if link is None or self.member.leaving or self.outside_subset:
            return False
        heartbeat = link.peer_heartbeat
        if heartbeat.state != "open" or heartbeat.leaving:
            return False
        if version:
            return heartbeat.version == version
        return bool(heartbeat.version) == bool(entry.version)

    def may_close(self, now_s: float) -> bool:
        """Return whether its link may be closed."""
        if self.unlisted:
            return self.link is None and self.in_flight == 0
        idle = self.in_flight == 0 and now_s - self.last_queried_s > CLAIM_LINK_IDLE_S
        return self.outside_subset and idle


class Targets:
    """The targets of an entry, of all services.

    Each entry opens links to a bounded subset of a service's targets, chosen by
    rendezvous hashing. A full mesh of 330 entries and 1,000 sidecars would have
    330,000 links.
    """

    def __init__(
        self,
        settings: EntrySettings,
        identity: Identity,
        control: ControlClient,
        handler,
        heartbeat,
    ):
        self.settings = settings
        self.identity = identity
        self.control = control
        self.handler = handler
        self.heartbeat = heartbeat
        self.targets: dict[str, Target] = {}
        # Failure domains whose targets get no new requests.
        self.evacuated: frozenset[str] = frozenset()
        self.started_s = time.monotonic()

    def members_changed(self) -> None:
        """Update the links after the member list changed.

        The link to a target that is no longer listed stays open, because the
        control instances themselves may have restarted. The heartbeats on the link
        decide.
        """
        chosen = dict(self.choose_subset())
        for name, target in tuple(self.targets.items()):
            member = self.control.members.get(name)
            target.unlisted = member is None
            target.outside_subset = member is not None and name not in chosen
            if member is not None and member.address != target.member.address:
                self.drop(name)
            elif member is not None:
                target.member = member
        for name, member in chosen.items():
            if name not in self.targets:
                self.add(member)
        self.close_unused()

    def set_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Send no new requests to these failure domains, and to others again."""
        self.evacuated = failure_domains
        self.members_changed()

    def close_unused(self) -> None:
        """Close the links that are no longer needed."""
        now_s = time.monotonic()
        for name, target in tuple(self.targets.items()):
            if target.may_close(now_s):
                self.drop(name)

    def choose_subset(self) -> Iterator[tuple[str, messages.Announce]]:
        """Yield the members in this entry's subset, by node id.

        Those in evacuated failure domains are linked to only if there is room.
        """
        services: dict[str, list[messages.Announce]] = {}
        for member in self.control.members.values():
            if member.role == "sidecar":
                services.setdefault(member.service, []).append(member)
        own_id = self.settings.node_id
        for members in services.values():
            members.sort(
                key=lambda m: (
                    m.failure_domain in self.evacuated,
                    rendezvous_weight(own_id, m.node_id),
                )
            )
            for member in members[: self.settings.links_per_service]:
                yield member.node_id, member

    def add(self, member: messages.Announce) -> Target:
        """Open a link to a member."""
        connection = ReconnectingLink(
            [Address.from_text(member.address)],
            self.identity,
            self.handler,
            self.heartbeat,
            self.settings,
            self.link_opened,
        )
        target = self.targets[member.node_id] = Target(member, connection)
        connection.start()
        return target

    def drop(self, name: str) -> None:
        """Remove a target and close its link."""
        target = self.targets.pop(name)
        task = asyncio.get_running_loop().create_task(target.connection.stop())
        task.add_done_callback(lambda done: done.exception())

    async def link_opened(self, link: Link) -> None:
        """Subscribe to the heartbeats of a target."""
        link.on_heartbeat = self.observe_heartbeat

    def observe_heartbeat(self, link: Link) -> None:
        """Record a heartbeat: the target's current load and catalogue revision."""
        target = self.targets.get(link.peer_id)
        if target is not None:
            target.in_flight_at_report = target.peak
            target.peak = target.in_flight
        self.control.pull_if_behind(link)

    def views(
        self, entry: Entry, avoid: Container[str] = (), version: str = ""
    ) -> list[TargetView]:
        """Return the targets that may get a request of an entry now.

        An unresponsive target may be leaving or disconnected without this entry
        knowing it. It gets new requests only if all targets are unresponsive, since
        then the fault is probably at this entry.
        """
        silence_limit_s = (
            UNRESPONSIVE_AFTER_HEARTBEATS * self.settings.heartbeat_ms / 1000
        )
        open_targets = [
            target
            for name, target in self.targets.items()
            if target.member.service == entry.service
            and name not in avoid
            and name not in entry.leaving
            and target.member.failure_domain not in self.evacuated
            and target.accepts(entry, version)
        ]
        responsive = [
            target
            for target in open_targets
            if not target.is_unresponsive(silence_limit_s)
        ]
        return [target.view() for target in responsive or open_targets]

    def link_to(self, name: str) -> Link | None:
        """Return the open link to a target, or None."""
        target = self.targets.get(name)
        return target.link if target is not None else None

    def claim_link(self, name: str, incarnation: int) -> Link | None:
        """Return the link to the target of a claim, or None while it opens.

        Raises
        ------
        RequestError
            MAY_HAVE_RUN: that incarnation of the target no longer exists.
        """
        member = self.control.members.get(name)
        target = self.targets.get(name)
        if target is None and member is not None:
            target = self.add(member)
            target.outside_subset = True
        link = target.link if target is not None else None
        if target is not None:
            target.last_queried_s = time.monotonic()
        if link is not None:
            if link.peer.incarnation != incarnation:
                raise RequestError(
                    ResultCode.MAY_HAVE_RUN, f"target {name!r} restarted"
                )
            return link
        if member is None and time.monotonic() - self.started_s > STARTUP_GRACE_S:
            raise RequestError(
                ResultCode.MAY_HAVE_RUN, f"target {name!r} is no longer a member"
            )
        if member is not None and member.incarnation > incarnation:
            raise RequestError(ResultCode.MAY_HAVE_RUN, f"target {name!r} restarted")
        return None

    async def stop(self) -> None:
        """Close every link."""
        for target in self.targets.values():
            await target.connection.stop()
