"""Reconciles the engine with the catalogue: copy, drain, load, verify, open."""

import asyncio
import logging

from wisteriapulley.catalogue import Entry
from wisteriapulley.control.client import ControlClient
from wisteriapulley.control.commands import AcquirePermit, PermitResult, ReleasePermit
from wisteriapulley.errors import ResultCode, WeightsError, WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.settings import SidecarSettings
from wisteriapulley.sidecar.engine import EngineState, Order
from wisteriapulley.sidecar.gate import Gate
from wisteriapulley.weights.swarm import Swarm

log = logging.getLogger(__name__)

POLL_S = 0.25
DENIED_S = 0.2
FAILED_S = 2.0


class Switcher:
    """Brings the target to what the catalogue names.

    Parameters
    ----------
    settings : SidecarSettings
        This sidecar's.
    control : ControlClient
        Catalogue, permits and leases.
    gate : Gate
        Drained around a load.
    swarm : Swarm
        Copies versions.
    engine : ModelEngine
        Takes orders.
    source_url : str
        Where the engine reads verified bytes.
    on_change : callable
        Called when the state changed.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        control: ControlClient,
        gate: Gate,
        swarm: Swarm,
        engine,
        source_url: str,
        on_change,
    ):
        self.settings = settings
        self.control = control
        self.gate = gate
        self.swarm = swarm
        self.engine = engine
        self.source_url = source_url
        self.on_change = on_change
        self.copying: asyncio.Task | None = None
        self.copying_version = ""
        self.ready_version = ""
        self.detail = ""

    @property
    def chart(self):
        """State of the target."""
        return self.gate.chart

    def desired(self) -> Entry | None:
        """Return the catalogue entry that rules this target."""
        entries = self.control.holder.by_service.get(self.settings.service)
        return entries[0] if entries else None

    async def run(self) -> None:
        """Reconcile for ever."""
        while True:
            try:
                await self.reconcile()
                delay_s = POLL_S
            except WisteriapulleyError as error:
                self.detail = str(error)
                log.warning("switch: %s", error, extra=fields(code=error.code))
                delay_s = FAILED_S
            self.on_change()
            await asyncio.sleep(delay_s)

    async def reconcile(self) -> None:
        """Take one step towards the catalogue."""
        state = await self.observe()
        entry = self.desired()
        if entry is None or self.chart.state == "leaving":
            return
        if self.chart.state == "open" and self.gate.version == entry.version:
            self.detail = ""
            return
        if self.chart.state == "empty" and state.version == entry.version:
            self.open(entry.version, "adopt")
            return
        if entry.version and self.copied(entry):
            await self.switch(entry)

    async def observe(self) -> EngineState:
        """Ask the engine, and close the gate when it is not what we hold."""
        try:
            state = await self.engine.state()
        except WeightsError:
            self.close_gate("lose")
            raise
        if self.chart.state == "open" and state.version != self.gate.version:
            self.close_gate("lose")
        return state

    def close_gate(self, trigger: str) -> None:
        """Close the gate along the chart, if it is open."""
        if self.chart.can(trigger):
            self.chart.fire(trigger)
            self.gate.version = ""
            self.on_change()

    def open(self, version: str, trigger: str) -> None:
        """Open the gate with a version that the engine reported."""
        self.gate.version = version
        self.chart.fire(trigger)
        self.detail = ""
        self.on_change()

    def copied(self, entry: Entry) -> bool:
        """Tell whether the version is whole here; start its copy if not."""
        if self.ready_version == entry.version:
            return True
        if self.copying_version != entry.version:
            if self.copying is not None:
                self.copying.cancel()
            self.copying_version = entry.version
            self.copying = asyncio.get_running_loop().create_task(self.copy(entry))
        return False

    async def copy(self, entry: Entry) -> None:
        """Copy a version whole and verified."""
        manifest = await self.swarm.fetch_version(entry.version, entry.distribution)
        self.ready_version = manifest.digest

    async def switch(self, entry: Entry) -> None:
        """Drain, load, verify and open, under a permit."""
        serving = self.chart.state == "open"
        permit = await self.acquire(entry, serving)
        if permit.code != ResultCode.OK:
            await asyncio.sleep(DENIED_S)
            return
        try:
            if serving:
                self.chart.fire("drain")
                self.on_change()
                await self.gate.drained()
            await self.load(entry, permit.fencing)
        finally:
            await self.release()

    async def acquire(self, entry: Entry, serving: bool) -> PermitResult:
        """Ask the leader for a permit."""
        command = AcquirePermit(
            entry.service,
            self.settings.failure_domain,
            self.settings.node_id,
            self.gate.incarnation,
            entry.version,
            serving,
        )
        return await self.control.propose(command)

    async def release(self) -> None:
        """Give the permit back; a lost release ends with the member's lease."""
        try:
            await self.control.propose(ReleasePermit(self.settings.node_id))
        except WisteriapulleyError as error:
            log.warning("permit not released: %s", error)

    async def load(self, entry: Entry, fencing: int) -> None:
        """Order the load with a fresh lease, then check what the engine says."""
        lease = await self.control.lease()
        if lease.remaining_ms <= 0:
            raise WeightsError(ResultCode.NO_QUORUM, "the lease has ended")
        self.chart.fire("load")
        self.on_change()
        try:
            order = Order(entry.version, self.source_url, fencing, entry.role)
            await self.engine.load(order)
            state = await self.engine.state()
            if state.version != entry.version:
                raise WeightsError(
                    ResultCode.ENGINE_WRONG_DIGEST,
                    f"ordered {entry.version}, engine reports {state.version!r}",
                )
        except WeightsError:
            self.chart.fire("fail")
            self.gate.version = ""
            raise
        self.open(entry.version, "loaded")
