"""Links of an entry to the targets it may send requests to."""

import asyncio
import time
from collections.abc import Container, Iterator

from wisteriapulley.catalogue import Entry
from wisteriapulley.control.client import ControlClient
from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.policy import TargetView
from wisteriapulley.rendezvous import rendezvous
from wisteriapulley.settings import Address, EntrySettings
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.keeper import LinkKeeper

# New work stops after this many heartbeats without a frame.
UNRESPONSIVE_AFTER_HEARTBEATS = 2.0
# A link opened to ask about a claim is kept this long, for its answer.
CLAIM_LINK_IDLE_S = 30.0
# A starting entry may know a claim's target before control named it here.
STARTUP_GRACE_S = 3.0


class Target:
    """One target and the link to its sidecar.

    Attributes
    ----------
    in_flight : int
        Requests of this entry that it holds.
    in_flight_at_report : int
        The most of them since the heartbeat before the last one: what the last
        may have counted. A report crosses answers on their way, and one taken
        for another entry's request would leave a place empty for a heartbeat.
    peak : int
        The most of them since the last heartbeat.
    gone : bool
        Control no longer names it; it serves on while its link beats.
    displaced : bool
        Others stand before it in this entry's subset: it gets no new work and
        its link closes once it is idle.
    asked_s : float
        When it was last asked about a claim.
    """

    def __init__(self, member: messages.Announce, keeper: LinkKeeper):
        self.member = member
        self.keeper = keeper
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.peak = 0
        self.unlisted = False
        self.outside_subset = False
        self.last_queried_s = 0.0

    @property
    def link(self) -> Link | None:
        """The open link, if there is one."""
        return self.keeper.open_link

    def add_request(self) -> None:
        """Count a request of this entry in."""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)

    def view(self) -> TargetView:
        """Return what placement needs to know of it."""
        return TargetView(
            self.member.node_id,
            self.in_flight,
            self.link.peer_heartbeat.running,
            self.in_flight_at_report,
        )

    def is_unresponsive(self, silence_limit_s: float) -> bool:
        """Tell whether nothing came from it for so long."""
        silence_s = asyncio.get_running_loop().time() - self.link.last_received
        return silence_s > silence_limit_s

    def accepts(self, entry: Entry, version: str = "") -> bool:
        """Tell whether it takes requests of an entry, by its own heartbeats.

        Whichever accepted version it is open with will do: while hundreds of
        targets still copy a new version, the one before goes on answering.

        Parameters
        ----------
        entry : Entry
            Whose request it is.
        version : str, optional
            The only version that will do, for the rest of a cut answer.
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
        """Tell whether its link may close."""
        if self.unlisted:
            return self.link is None and self.in_flight == 0
        idle = self.in_flight == 0 and now_s - self.last_queried_s > CLAIM_LINK_IDLE_S
        return self.outside_subset and idle


class Targets:
    """Targets by service.

    Each entry links to a bounded subset, chosen by rendezvous hash: at 330
    entries and 1,000 sidecars every-to-every would be 330,000 links.
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
        self.started_s = time.monotonic()

    def members_changed(self) -> None:
        """Follow the members that control tells of.

        What control no longer names is not cut off: control itself may have
        restarted. The link's own heartbeats decide.
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

    def close_unused(self) -> None:
        """Close the links that nothing needs any more."""
        now_s = time.monotonic()
        for name, target in tuple(self.targets.items()):
            if target.may_close(now_s):
                self.drop(name)

    def choose_subset(self) -> Iterator[tuple[str, messages.Announce]]:
        """Yield the members that this entry links to."""
        services: dict[str, list[messages.Announce]] = {}
        for member in self.control.members.values():
            if member.role == "sidecar":
                services.setdefault(member.service, []).append(member)
        own_id = self.settings.node_id
        for members in services.values():
            members.sort(key=lambda m: rendezvous(own_id, m.node_id))
            for member in members[: self.settings.links_per_service]:
                yield member.node_id, member

    def add(self, member: messages.Announce) -> Target:
        """Open a link to a member."""
        keeper = LinkKeeper(
            [Address.from_text(member.address)],
            self.identity,
            self.handler,
            self.heartbeat,
            self.settings,
            self.link_opened,
        )
        target = self.targets[member.node_id] = Target(member, keeper)
        keeper.start()
        return target

    def drop(self, name: str) -> None:
        """Close the link to a member that is gone."""
        target = self.targets.pop(name)
        task = asyncio.get_running_loop().create_task(target.keeper.stop())
        task.add_done_callback(lambda done: done.exception())

    async def link_opened(self, link: Link) -> None:
        """Listen to the heartbeats of a target."""
        link.on_heartbeat = self.observe_heartbeat

    def observe_heartbeat(self, link: Link) -> None:
        """Take in a heartbeat: load as of now, and the target's revision."""
        target = self.targets.get(link.peer_id)
        if target is not None:
            target.in_flight_at_report = target.peak
            target.peak = target.in_flight
        self.control.heard(link)

    def views(
        self, entry: Entry, avoid: Container[str] = (), version: str = ""
    ) -> list[TargetView]:
        """Return the targets that may take a request of an entry now.

        One that has been quiet may be leaving or cut off without our hearing
        of it, so it gets new work only when all are: then the quiet is ours.
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
            and target.accepts(entry, version)
        ]
        responsive = [
            target
            for target in open_targets
            if not target.is_unresponsive(silence_limit_s)
        ]
        return [target.view() for target in responsive or open_targets]

    def claim_link(self, name: str, incarnation: int) -> Link | None:
        """Return the link to the target of a claim; None while it opens.

        Raises
        ------
        RequestError
            MAY_HAVE_RUN: that incarnation of the target is gone for good.
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
                raise RequestError(ResultCode.MAY_HAVE_RUN, f"{name!r} has restarted")
            return link
        if member is None and time.monotonic() - self.started_s > STARTUP_GRACE_S:
            raise RequestError(ResultCode.MAY_HAVE_RUN, f"{name!r} is gone")
        if member is not None and member.incarnation > incarnation:
            raise RequestError(ResultCode.MAY_HAVE_RUN, f"{name!r} has restarted")
        return None

    async def stop(self) -> None:
        """Close every link."""
        for target in self.targets.values():
            await target.keeper.stop()
