"""The entry daemon that sends requests directly to targets."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Iterable

import aiomisc

from wisteriapulley.control.following import ControlFollower
from wisteriapulley.direct.crashes import CrashTracker
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.kept_bytes import KeptBytes
from wisteriapulley.direct.liveness import Liveness
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.direct.slot_allocation import SlotAllocator
from wisteriapulley.direct.types import TargetClient
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.http_listener import wait_limit_s
from wisteriapulley.http_server import HttpServer
from wisteriapulley.logs import fields, lines_lost
from wisteriapulley.metrics import Metrics
from wisteriapulley.regions import Regions
from wisteriapulley.routing import EdgeLimits, RoutingTable
from wisteriapulley.routing.homes import home_regions
from wisteriapulley.stalls import StallWatch
from wisteriapulley.wire import messages
from wisteriapulley.wire.handshake import Identity

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 1.0
# Load balancers check readiness once a second and remove an instance after two misses.
BALANCER_REMOVAL_S = 2.6


class DirectEntryService(aiomisc.Service):
    """An entry that sends requests directly to targets.

    Parameters
    ----------
    settings : DirectSettings
        Validated settings.
    client : TargetClient
        Sends requests to targets.
    new_ingress : callable
        Creates the listener for callers from a request handler and the maximum body
        size.

    Attributes
    ----------
    linked_services : set of str
        Model services to whose sidecars links are kept.
    """

    def __init__(
        self, settings: DirectSettings, client: TargetClient, new_ingress: Callable
    ):
        super().__init__()
        self.settings = settings
        self.identity = Identity.from_settings(settings, "entry")
        self.registry = TargetRegistry(Regions(settings.failure_domain_regions))
        self.follower = ControlFollower(
            self.identity, settings, settings.control, messages.Heartbeat
        )
        self.follower.on_table = self.table_changed
        self.follower.on_targets = self.targets_changed
        self.follower.on_evacuations = self.evacuations_changed
        self.follower.on_heartbeats = self.record_heartbeats
        self.crashes = CrashTracker(
            self.identity.key, Liveness(), self.follower.publish
        )
        self.follower.on_suspects = self.crashes.apply_update
        self.follower.own_suspects = self.crashes.full_update
        self.allocator = SlotAllocator(
            settings, self.identity, self.registry, self.follower
        )
        self.metrics = Metrics(settings.node_id, "entry")
        self.http = HttpServer(self.metrics, self.is_ready)
        self.lines_lost = self.metrics.gauge(
            "log_lines_lost", "Log lines dropped since the start."
        )
        self.loop_lag = self.metrics.gauge(
            "event_loop_lag_seconds",
            "How late the event loop ran the last periodic task.",
        )
        self.quarantined = self.metrics.gauge(
            "requests_quarantined", "Requests that are sent to no target any more."
        )
        self.parts_quarantined = self.metrics.gauge(
            "prompt_parts_quarantined",
            "Parts whose prompts are sent to no target any more.",
        )
        self.request_bodies = self.metrics.gauge(
            "request_body_bytes", "Bytes kept of large bodies of requests in progress."
        )
        self.targets_evacuated = self.metrics.gauge(
            "targets_evacuated", "Targets in evacuated failure domains, by domain."
        )
        self.cold = self.metrics.gauge(
            "targets_cold", "Targets that are cold, of services that limit these."
        )
        self.refused_below_level = self.metrics.gauge(
            "refused_below_level",
            "Requests refused at once because no engine admits their priority.",
        )
        self.dispatcher = Dispatcher(
            settings,
            self.registry,
            self.allocator,
            client,
            EntryMetrics(self.metrics),
            self.crashes,
            lambda: self.follower.fresh,
        )
        self.ingress = new_ingress(self.dispatcher.serve, EdgeLimits().body_bytes)
        self.ingress.kept_bodies = KeptBytes(settings.request_body_bytes)
        drain_limits = self.dispatcher.drain_limits
        drain_limits.window = lambda: self.ingress.window
        self.ingress.latest_start_s = drain_limits.latest_start_s
        self.ingress.on_drain = drain_limits.begin_drain
        self.dispatcher.is_overdue = lambda: self.ingress.overdue
        self.linked_services: set[str] = set()
        self.reported_domains: set[str] = set()
        self.leaving = False
        self.sweep_task: asyncio.Task | None = None
        self.stop_ends_s = 0.0
        self.stalls = StallWatch()

    async def start(self) -> None:
        """Follow control instances and listen for callers."""
        self.stalls.start()
        self.follower.start()
        await self.http.start(self.settings.http_listen)
        await self.ingress.start(self.settings.listen)
        self.sweep_task = asyncio.get_running_loop().create_task(self.sweep())

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Follow the control instances in changed settings."""
        self.follower.add_instances(hosts)

    def is_ready(self) -> bool:
        """Return whether a quorum confirmed the routing table and no drain started."""
        return (
            self.follower.fresh
            and self.follower.table.version > 0
            and (not self.leaving)
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Leave the load balancer, drain requests in progress, and close."""
        self.leaving = True
        drain_s = self.settings.drain_ms / 1000
        overrun_s = self.settings.drain_overrun_ms / 1000
        now_s = asyncio.get_running_loop().time()
        self.stop_ends_s = now_s + drain_s + overrun_s
        signal_age_s = self.stalls.signal_age_s(now_s)
        log.info(
            "stopping",
            extra=fields(
                in_progress=len(self.ingress.active),
                signal_age_ms=int(signal_age_s * 1000),
            ),
        )
        await self.ingress.drain(BALANCER_REMOVAL_S, drain_s, signal_age_s, overrun_s)
        self.stalls.stop()
        self.sweep_task.cancel()
        await self.ingress.stop()
        await self.http.stop(wait_limit_s(self.stop_ends_s))
        await self.allocator.stop()
        await self.follower.stop()

    def table_changed(self, table: RoutingTable) -> None:
        """Apply a newer routing table."""
        self.dispatcher.set_table(table)
        self.allocator.set_table(table)
        self.ingress.max_body_bytes = table.limits.body_bytes
        self.allocator.sidecars.home_regions = home_regions(table)
        self.keep_links()

    def targets_changed(self, states: Iterable[messages.TargetState]) -> None:
        """Apply updates of target states."""
        for target in self.registry.update(states, asyncio.get_running_loop().time()):
            log.info(
                "target leaves",
                extra=fields(target=target.target_id, gone=target.state.gone),
            )
        self.keep_links()

    def evacuations_changed(self) -> None:
        """Send no more requests to evacuated failure domains, and to others again."""
        self.registry.evacuated = self.follower.evacuated
        self.keep_links()

    def record_heartbeats(self, heartbeats: Iterable[messages.TargetBeat]) -> list[str]:
        """Record heartbeats of targets; return ids of targets with stale state here."""
        return self.registry.record_heartbeats(
            heartbeats, asyncio.get_running_loop().time()
        )

    def keep_links(self) -> None:
        """Maintain links to the sidecars of all model services.

        Those of a service that the table lacks are kept for the requests in progress
        that an earlier table admitted: they may have to be sent once more.
        """
        in_progress = self.dispatcher.in_progress
        used = {name for name in self.linked_services if in_progress[name]}
        self.linked_services = used.union(self.follower.table.engines())
        self.allocator.sidecars.keep_links(self.linked_services)

    def count_evacuated(self) -> None:
        """Update the gauge of evacuated targets; a withdrawn domain counts 0."""
        counts = Counter(
            target.failure_domain
            for target in self.registry.targets.values()
            if self.registry.is_evacuated(target)
        )
        self.reported_domains |= self.follower.evacuated
        for domain in self.reported_domains:
            self.targets_evacuated.set({"failure_domain": domain}, counts[domain])

    async def sweep(self) -> None:
        """Update gauges and remove expired state, periodically."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + SWEEP_INTERVAL_S
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.loop_lag.set({}, loop.time() - due_s)
            self.lines_lost.set({}, lines_lost())
            self.request_bodies.set({}, self.ingress.kept_bodies.reserved)
            self.crashes.sweep()
            entry_count = self.follower.entries_reported()
            self.dispatcher.set_entry_count(entry_count)
            self.allocator.set_entry_count(entry_count)
            self.allocator.rate_permits.sweep(loop.time())
            cold = self.allocator.cold_services
            self.cold.set({}, cold.check(self.registry.targets.values(), loop.time()))
            requests, parts = self.crashes.count_quarantined()
            self.quarantined.set({}, requests)
            self.parts_quarantined.set({}, parts)
            self.count_evacuated()
            for priority, count in self.allocator.levels.refused.items():
                self.refused_below_level.set({"priority": str(priority)}, count)
            dropped = self.linked_services.difference(self.follower.table.engines())
            if self.registry.sweep(loop.time()) or dropped:
                self.keep_links()
            await self.allocator.sidecars.drop_links()
