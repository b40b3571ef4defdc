"""Links to neighbouring sidecars for chunks, and the traffic of live requests."""

import asyncio
from collections.abc import Callable

from wisteriapulley.settings import Address, SidecarSettings
from wisteriapulley.weights.seeders import Peer, choose_neighbours
from wisteriapulley.weights.swarm import Swarm
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.link import Handler
from wisteriapulley.wire.reconnect import ReconnectingLink


class RequestTrafficMeter:
    """Counts the bytes on links that carry requests instead of weights."""

    def __init__(self):
        self.links: set[Link] = set()
        self.closed_bytes = 0

    def add(self, link: Link) -> None:
        """Start to count a link."""
        self.links.add(link)

    def drop(self, link: Link) -> None:
        """Stop counting a closed link, but keep its bytes in the total."""
        if link in self.links:
            self.links.discard(link)
            self.closed_bytes += link.bytes_sent + link.bytes_received

    def total_bytes(self) -> int:
        """Return the bytes sent and received so far."""
        open_bytes = sum(ln.bytes_sent + ln.bytes_received for ln in self.links)
        return self.closed_bytes + open_bytes


class Neighbours:
    """Keeps links to the neighbours of this sidecar open.

    Parameters
    ----------
    settings : SidecarSettings
        Settings of this sidecar.
    identity : Identity
        Identity of this process.
    swarm : Swarm
        Gets the links of all sidecars.
    handler, heartbeat : callable
        Frame handler and heartbeat source of each link.
    on_heartbeat : callable
        Called with a link after each heartbeat on it.
    meter : RequestTrafficMeter
        Gets all other links.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        identity: Identity,
        swarm: Swarm,
        handler: Handler,
        heartbeat: Callable[[], messages.Heartbeat],
        on_heartbeat: Callable[[Link], None],
        meter: RequestTrafficMeter,
    ):
        self.settings = settings
        self.identity = identity
        self.swarm = swarm
        self.handler = handler
        self.heartbeat = heartbeat
        self.on_heartbeat = on_heartbeat
        self.meter = meter
        self.connections: dict[str, tuple[str, ReconnectingLink]] = {}
        self.stopping: set[asyncio.Task] = set()

    def update_members(self, announced: dict[str, messages.Announce]) -> None:
        """Update the swarm's members and the links to this sidecar's neighbours."""
        members = {
            name: member
            for name, member in announced.items()
            if member.role == "sidecar" and name != self.settings.node_id
        }
        peers = [Peer(m.node_id, m.failure_domain) for m in members.values()]
        self.swarm.set_members(peers)
        if self.settings.kind != "engine":
            return
        chosen = choose_neighbours(self.swarm.me, peers, self.settings.neighbours)
        self.swarm.neighbour_count = len(chosen)
        desired_addresses = {name: members[name].address for name in chosen}
        for name, (address, _) in tuple(self.connections.items()):
            if desired_addresses.get(name) != address:
                self.drop_connection(name)
        for name in desired_addresses.keys() - self.connections.keys():
            self.add_connection(name, desired_addresses[name])

    def add_connection(self, name: str, address: str) -> None:
        """Start keeping a link to a neighbour open."""
        connection = ReconnectingLink(
            [Address.from_text(address)],
            self.identity,
            self.handler,
            self.heartbeat,
            self.settings,
            self.link_connected,
        )
        self.connections[name] = (address, connection)
        connection.start()

    def drop_connection(self, name: str) -> None:
        """Stop keeping a link open, and close it."""
        _, connection = self.connections.pop(name)
        task = asyncio.get_running_loop().create_task(connection.stop())
        self.stopping.add(task)
        task.add_done_callback(self.stopping.discard)

    async def link_connected(self, link: Link) -> None:
        """Register a link that this sidecar opened."""
        link.on_close = self.link_closed
        self.link_opened(link)

    def link_opened(self, link: Link) -> None:
        """Register a link, opened by either side."""
        link.on_heartbeat = self.on_heartbeat
        if link.peer.role == "sidecar":
            self.swarm.add_link(link)
        else:
            self.meter.add(link)

    def link_closed(self, link: Link) -> None:
        """Remove a closed link."""
        self.swarm.drop_link(link)
        self.meter.drop(link)

    async def stop(self) -> None:
        """Close every link that this sidecar keeps open."""
        for _, connection in self.connections.values():
            await connection.stop()
