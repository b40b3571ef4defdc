"""The sidecar daemon."""

import asyncio
import contextlib
import logging
from functools import singledispatchmethod

import aiomisc

from wisteriapulley.control.client import ControlClient
from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.http_client import new_session
from wisteriapulley.http_server import HttpServer
from wisteriapulley.metrics import Metrics
from wisteriapulley.settings import SidecarSettings
from wisteriapulley.sidecar.engine import ModelEngine, PlainService
from wisteriapulley.sidecar.gate import Gate
from wisteriapulley.sidecar.neighbours import Neighbours, RequestTrafficMeter
from wisteriapulley.sidecar.switch import VersionSwitcher
from wisteriapulley.sidecar.weights_http import PREFIX, WeightsHandlers
from wisteriapulley.statechart import StateChart
from wisteriapulley.weights.chunk_store import ChunkStore
from wisteriapulley.weights.pace import LinkBudget
from wisteriapulley.weights.seeders import Peer
from wisteriapulley.weights.source import HttpSource
from wisteriapulley.weights.swarm import Swarm
from wisteriapulley.wire import Frame, Link, LinkServer, messages
from wisteriapulley.wire.handshake import Identity

log = logging.getLogger(__name__)

# Time limit for the replies to requests in progress at the end of the drain.
OVERDUE_TIMEOUT_S = 1.0


class SidecarService(aiomisc.Service):
    """The sidecar service of one process.

    Parameters
    ----------
    settings : SidecarSettings
        Checked settings.
    """

    def __init__(self, settings: SidecarSettings):
        super().__init__()
        self.settings = settings
        self.metrics = Metrics(settings.node_id, "sidecar")
        self.chart = StateChart("target")
        self.leaving = False
        self.sequence = 0
        self.meter = RequestTrafficMeter()
        self.tasks: list[asyncio.Task] = []

    @classmethod
    def from_settings(cls, settings: SidecarSettings) -> "SidecarService":
        """Return a service with these settings, which are already checked."""
        return cls(settings)

    async def start(self) -> None:
        """Listen, announce the target, and start reconciling."""
        settings = self.settings
        self.identity = Identity.from_settings(settings, "sidecar")
        self.incarnation = self.identity.incarnation
        self.session = new_session()
        adapter = ModelEngine if settings.kind == "engine" else PlainService
        self.engine = adapter(self.session, settings.target_url, settings.fences)
        self.gate = Gate(self.engine, self.incarnation, self.chart)
        budget = LinkBudget(settings.link_bytes_per_s, self.meter.total_bytes)
        origin_budget = LinkBudget(settings.origin_bytes_per_s)
        self.swarm = Swarm(
            Peer(settings.node_id, settings.failure_domain),
            ChunkStore.from_settings(
                settings.scratch_folder, settings.chunk_store_bytes
            ),
            [
                HttpSource(self.session, u, budget, origin_budget)
                for u in self.source_urls()
            ],
            budget,
            settings.patience_ms,
        )
        self.control = ControlClient(
            settings,
            self.identity,
            (settings.service,),
            self.heartbeat,
            self.catalogue_changed,
            self.members_changed,
        )
        self.neighbours = Neighbours(
            settings,
            self.identity,
            self.swarm,
            self.handle,
            self.heartbeat,
            self.control.pull_if_behind,
            self.meter,
        )
        await self.listen()
        self.switcher = VersionSwitcher(
            settings,
            self.control,
            self.gate,
            self.swarm,
            self.engine,
            f"http://{self.http.address}{PREFIX}",
            self.state_changed,
        )
        self.announce()
        self.control.start()
        self.tasks.append(asyncio.get_running_loop().create_task(self.reconcile()))

    def source_urls(self) -> list[str]:
        """Return the URLs of the weight sources in the order they are tried."""
        return [u for u in (self.settings.origin_url, self.settings.store_url) if u]

    async def listen(self) -> None:
        """Start the link server and the HTTP server."""
        settings = self.settings
        self.server = LinkServer(
            self.identity,
            self.handle,
            self.heartbeat,
            settings.heartbeat_ms,
            settings.silence_ms,
        )
        self.server.on_open = self.neighbours.link_opened
        self.server.on_close = self.neighbours.link_closed
        self.wire_address = await self.server.start(settings.wire_listen)
        self.http = HttpServer(
            self.metrics, self.is_ready, WeightsHandlers(self.swarm).routes()
        )
        await self.http.start(settings.http_listen)

    async def reconcile(self) -> None:
        """Run the version switcher once the catalogue is confirmed."""
        await self.control.wait_confirmed()
        await self.switcher.run()

    async def stop(self, exception: Exception | None = None) -> None:
        """Refuse new requests, finish those in progress, then close."""
        self.leaving = True
        self.chart.fire("leave")
        self.gate.end_waits()
        self.announce()
        self.server.send_heartbeats()
        for task in self.tasks:
            task.cancel()
        try:
            async with asyncio.timeout(self.settings.drain_ms / 1000):
                await self.gate.drained_for(self.settings.heartbeat_ms / 1000)
                await self.server.end_links()
        except TimeoutError:
            log.error("requests still running after drain_ms; closing anyway")
            await self.end_overdue()
        await self.control.stop()
        await self.neighbours.stop()
        await self.server.stop()
        await self.http.stop()
        self.gate.stop()
        await self.session.close()

    async def end_overdue(self) -> None:
        """Reply to the requests in progress at the end of the drain; end the links."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OVERDUE_TIMEOUT_S):
                await self.gate.end_overdue()
                await self.server.end_links()

    # -- published state -------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether the target is open."""
        return self.chart.state == "open"

    def heartbeat(self) -> messages.Heartbeat:
        """Return this sidecar's heartbeat."""
        return messages.Heartbeat(
            self.control.catalogue.revision,
            self.leaving,
            self.chart.state,
            self.gate.version,
            self.gate.running,
        )

    def announce(self) -> None:
        """Announce the target to the control instances."""
        self.sequence += 1
        self.control.announce(
            messages.Announce(
                self.settings.node_id,
                self.incarnation,
                "sidecar",
                self.settings.service,
                self.settings.failure_domain,
                str(self.settings.wire_advertise or self.wire_address),
                self.leaving,
                self.sequence,
            )
        )

    def state_changed(self) -> None:
        """Publish a new state to entries and control instances."""
        heartbeat = self.heartbeat()
        if heartbeat[:4] != getattr(self, "last_heartbeat", heartbeat[:3])[:4]:
            self.server.send_heartbeats()
        self.last_heartbeat = heartbeat
        entry = self.switcher.desired_entry()
        download = self.swarm.download
        self.control.send_report(
            messages.Report(
                self.settings.node_id,
                self.settings.service,
                self.settings.failure_domain,
                self.control.catalogue.revision,
                self.chart.state,
                self.gate.version,
                entry.version if entry is not None else "",
                download.reported_bytes if download is not None else 0,
                download.manifest.size if download is not None else 0,
                self.switcher.detail,
                "sidecar",
                self.incarnation,
            )
        )

    def catalogue_changed(self) -> None:
        """Wake the version switcher and report the new revision at once."""
        self.switcher.catalogue_changed.set()
        self.state_changed()

    def members_changed(self) -> None:
        """Update the links to neighbours after the member list changed."""
        self.neighbours.update_members(self.control.members)

    # -- frames ----------------------------------------------------------

    async def handle(self, link: Link, frame: Frame) -> None:
        """Handle a frame that is not a reply."""
        await self.receive(frame.message, link, frame)

    @singledispatchmethod
    async def receive(self, message: tuple, link: Link, frame: Frame) -> None:
        """Handle a message by its type; reject unknown ones."""
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"sidecar does not accept {type(message).__name__}",
        )

    @receive.register
    async def receive_dispatch(
        self, message: messages.Dispatch, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Dispatch`."""
        await self.gate.receive_dispatch(link, message, frame)

    @receive.register
    async def receive_cancel(
        self, message: messages.Cancel, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Cancel`."""
        await self.gate.receive_cancel(link, message, frame)

    @receive.register
    async def receive_resolve(
        self, message: messages.Resolve, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Resolve`."""
        await self.gate.receive_resolve(link, message, frame)

    @receive.register
    async def receive_credit(
        self, message: messages.Credit, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Credit`."""
        self.gate.receive_credit(link, message)

    @receive.register
    async def receive_have(
        self, message: messages.Have, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Have`."""
        self.swarm.receive_have(link, message)

    @receive.register
    async def receive_have_query(
        self, message: messages.HaveQuery, link: Link, frame: Frame
    ) -> None:
        """Handle the message `HaveQuery`."""
        self.swarm.receive_have_query(link, message)

    @receive.register
    async def receive_chunk_query(
        self, message: messages.ChunkQuery, link: Link, frame: Frame
    ) -> None:
        """Handle the message `ChunkQuery`."""
        await self.swarm.receive_chunk_query(link, message, frame)

    @receive.register
    async def receive_chunk_cancel(
        self, message: messages.ChunkCancel, link: Link, frame: Frame
    ) -> None:
        """Handle the message `ChunkCancel`."""
        self.swarm.uploader.cancel(link, message)

    @receive.register
    async def receive_watch(
        self, message: messages.Watch, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Watch`."""
        link.post(self.control.catalogue.to_update(), reply_to=frame.id)
