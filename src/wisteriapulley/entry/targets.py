"""Links of an entry to the targets it may send requests to."""

import asyncio
from collections.abc import Iterator

from wisteriapulley.control.client import ControlClient
from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.policy import TargetView
from wisteriapulley.settings import Address, EntrySettings
from wisteriapulley.weights.schedule import rendezvous
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.keeper import LinkKeeper


class Target:
    """One target and the link to its sidecar."""

    def __init__(self, member: messages.Announce, keeper: LinkKeeper):
        self.member = member
        self.keeper = keeper
        self.in_flight = 0

    @property
    def link(self) -> Link | None:
        """The open link, if there is one."""
        return self.keeper.open_link

    def serves(self, version: str) -> bool:
        """Tell whether it is open with `version`, by its own heartbeat."""
        link = self.link
        if link is None or self.member.leaving:
            return False
        beat = link.peer_heartbeat
        return beat.state == "open" and beat.version == version and not beat.leaving


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

    def members_changed(self) -> None:
        """Follow the members that control tells of."""
        chosen = dict(self.choose())
        for name in set(self.targets) - set(chosen):
            self.drop(name)
        for name, member in chosen.items():
            target = self.targets.get(name)
            if target is not None and target.member.address == member.address:
                target.member = member
                continue
            if target is not None:
                self.drop(name)
            self.add(member)

    def choose(self) -> Iterator[tuple[str, messages.Announce]]:
        """Yield the members that this entry links to."""
        services: dict[str, list[messages.Announce]] = {}
        for member in self.control.members.values():
            if member.role == "sidecar":
                services.setdefault(member.service, []).append(member)
        me = self.settings.node_id
        for members in services.values():
            members.sort(key=lambda m: rendezvous(me, m.node_id))
            for member in members[: self.settings.links_per_service]:
                yield member.node_id, member

    def add(self, member: messages.Announce) -> None:
        """Open a link to a member."""
        keeper = LinkKeeper(
            [Address.from_text(member.address)],
            self.identity,
            self.handler,
            self.heartbeat,
            self.settings,
            self.link_opened,
        )
        self.targets[member.node_id] = Target(member, keeper)
        keeper.start()

    def drop(self, name: str) -> None:
        """Close the link to a member that is gone."""
        target = self.targets.pop(name)
        task = asyncio.get_running_loop().create_task(target.keeper.stop())
        task.add_done_callback(lambda done: done.exception())

    async def link_opened(self, link: Link) -> None:
        """Compare revisions on each heartbeat of a target."""
        link.on_heartbeat = self.control.heard

    def views(self, service: str, version: str, avoid: set[str]) -> list[TargetView]:
        """Return the targets that may take a request now."""
        return [
            TargetView(name, target.in_flight, target.link.peer_heartbeat.running)
            for name, target in self.targets.items()
            if target.member.service == service
            and name not in avoid
            and target.serves(version)
        ]

    def find(self, name: str, incarnation: int) -> Target:
        """Return a linked target of that incarnation.

        Raises
        ------
        RequestError
            NO_TARGET.
        """
        target = self.targets.get(name)
        if target is None or target.link is None:
            raise RequestError(ResultCode.NO_TARGET, f"no link to {name!r}", 1000)
        if target.link.peer.incarnation != incarnation:
            raise RequestError(ResultCode.MAY_HAVE_RUN, f"{name!r} has restarted")
        return target

    async def stop(self) -> None:
        """Close every link."""
        for target in self.targets.values():
            await target.keeper.stop()
