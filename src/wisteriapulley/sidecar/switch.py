"""Bring the engine to the catalogue's version.

The steps are: download the weights, get a permit, drain the gate, load, verify
and open the gate again.
"""

import asyncio
import logging
import random

from wisteriapulley.catalogue import Entry
from wisteriapulley.clocks import steady_s
from wisteriapulley.control.client import ControlClient
from wisteriapulley.control.commands import AcquirePermit, PermitResult, ReleasePermit
from wisteriapulley.errors import ResultCode, WeightsError, WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.settings import SidecarSettings
from wisteriapulley.sidecar.engine import EngineState, LoadOrder
from wisteriapulley.sidecar.gate import Gate
from wisteriapulley.weights.swarm import Swarm

log = logging.getLogger(__name__)

RECONCILE_INTERVAL_S = 0.25
FAILURE_BACKOFF_S = 2.0
# All sidecars, up to 820, request permits at once, and each response is a record in
# the replicated log. A denied request is repeated with exponential backoff and
# jitter.
PERMIT_BACKOFF_MIN_S = 0.2
PERMIT_BACKOFF_MAX_S = 3.0
# A version that an engine fails to load is retried with exponential backoff, because
# each try takes the target out of service.
LOAD_BACKOFF_MIN_S = 5.0
LOAD_BACKOFF_MAX_S = 300.0
# No control instance is reachable, or there is no quorum. A load order that restores
# the version served before needs no permit then.
CONTROL_UNREACHABLE_CODES = (
    ResultCode.NO_QUORUM,
    ResultCode.LINK_CLOSED,
    ResultCode.LINK_TIMEOUT,
)


class LoadBackoff:
    """Backoff after this engine failed to load a version."""

    def __init__(self):
        self.version = ""
        self.reason = ""
        self.delay_s = LOAD_BACKOFF_MIN_S
        self.retry_at_s = 0.0

    def record_failure(self, version: str, reason: str, now_s: float) -> None:
        """Record a failed load; a repeated failure of a version doubles its delay."""
        is_repeat = version == self.version
        self.delay_s = (
            min(LOAD_BACKOFF_MAX_S, self.delay_s * 2)
            if is_repeat
            else LOAD_BACKOFF_MIN_S
        )
        self.version = version
        self.reason = reason
        self.retry_at_s = now_s + self.delay_s

    def blocks(self, version: str, now_s: float) -> bool:
        """Return whether a version must not be tried yet."""
        return version == self.version and now_s < self.retry_at_s


class VersionSwitcher:
    """Switches the target to the version that the catalogue names.

    Parameters
    ----------
    settings : SidecarSettings
        Settings of this sidecar.
    control : ControlClient
        Provides the catalogue, permits and leases.
    gate : Gate
        Drained before a load.
    swarm : Swarm
        Downloads versions.
    engine : ModelEngine
        Executes load orders.
    source_url : str
        URL from which the engine reads verified bytes.
    on_change : callable
        Called after each change of the target's state.
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
        self.catalogue_changed = asyncio.Event()
        self.load_backoff = LoadBackoff()
        self.last_served_version = ""
        self.fencing = 0
        self.has_permit = False
        self.permit_backoff_s = PERMIT_BACKOFF_MIN_S
        self.rng = random.Random(settings.node_id)
        self.download_task: asyncio.Task | None = None
        self.download_version = ""
        self.complete_version = ""
        self.detail = ""
        self.download_error = ""

    @property
    def chart(self):
        """State chart of the target."""
        return self.gate.chart

    def desired_entry(self) -> Entry | None:
        """Return the catalogue entry of this target's service."""
        entries = self.control.catalogue.by_service.get(self.settings.service)
        return entries[0] if entries else None

    async def run(self) -> None:
        """Reconcile repeatedly until cancelled."""
        while True:
            try:
                await self.reconcile()
                delay_s = RECONCILE_INTERVAL_S
            except WisteriapulleyError as error:
                self.detail = str(error)
                log.warning(
                    "reconciling the target failed: %s",
                    error,
                    extra=fields(code=error.code),
                )
                delay_s = FAILURE_BACKOFF_S
            self.on_change()
            await self.wait_for_change(delay_s)

    async def wait_for_change(self, delay_s: float) -> None:
        """Wait for `delay_s`, or until the catalogue changes."""
        try:
            async with asyncio.timeout(delay_s):
                await self.catalogue_changed.wait()
        except TimeoutError:
            pass
        self.catalogue_changed.clear()

    async def reconcile(self) -> None:
        """Take one step towards the catalogue's version."""
        entry = self.desired_entry()
        if entry is not None and entry.version:
            # A download does not need the engine and continues while that restarts.
            self.start_download(entry)
        state = await self.observe_engine()
        if entry is None or self.chart.state == "leaving":
            return
        if self.chart.state == "open" and self.gate.version == entry.version:
            self.detail = ""
            return
        if self.may_be_executing(state):
            self.detail = "waiting for the end of a load that was given up"
            return
        if self.chart.state == "empty" and self.may_adopt(entry, state):
            self.open_gate(state.version, "adopt")
            if self.has_permit:
                await self.release_permit()
            return
        version = self.next_version(entry, state)
        if version:
            await self.switch_version(entry, version)
        else:
            self.detail = self.waiting_reason(entry)

    def may_be_executing(self, state: EngineState) -> bool:
        """Return whether to wait, since the engine may execute an unanswered order.

        It may also have aborted that load with its connection, so the wait is no
        longer than the backoff.
        """
        now_s = asyncio.get_running_loop().time()
        is_loading = self.engine.unanswered is not None and state.state == "loading"
        return is_loading and now_s < self.load_backoff.retry_at_s

    def may_adopt(self, entry: Entry, state: EngineState) -> bool:
        """Return whether the gate may open with the version that the engine holds.

        That is the catalogue's version, or the one served last: an engine that was
        silent for a while still holds it, and may still run requests on it. A switch
        from there drains the gate first. An engine that may still execute an order
        that was given up gets another one first, with a higher fencing number.
        """
        if self.engine.unanswered is not None:
            return False
        held = state.version
        served_last = bool(held) and held == self.last_served_version
        return held == entry.version or served_last

    def next_version(self, entry: Entry, state: EngineState) -> str:
        """Return the version to load now, or an empty string to wait.

        This is the catalogue's version once its local copy is complete. Until then,
        and after a failed load, an engine without weights gets the version that it
        served last: the failure of a new version must not take the target out of
        service. One that holds a version, but has not confirmed the order for it, is
        ordered to load it again.
        """
        now_s = asyncio.get_running_loop().time()
        is_complete = self.complete_version == entry.version
        is_blocked = self.load_backoff.blocks(entry.version, now_s)
        if is_complete and (state.version == entry.version or not is_blocked):
            return entry.version
        is_restorable = self.last_served_version in self.swarm.manifests
        if self.chart.state == "empty" and self.last_served_version and is_restorable:
            return (
                ""
                if self.load_backoff.blocks(self.last_served_version, now_s)
                else self.last_served_version
            )
        return ""

    def waiting_reason(self, entry: Entry) -> str:
        """Return why the target does not serve the catalogue's version yet."""
        if self.load_backoff.version == entry.version:
            return self.load_backoff.reason
        return self.swarm.error_text() or self.download_error

    async def observe_engine(self) -> EngineState:
        """Read the engine's state and check it against the gate.

        The gate closes if the engine does not answer or has another version.
        """
        try:
            state = await self.engine.state()
        except WeightsError:
            self.close_gate("lose")
            raise
        if self.chart.state == "open" and state.version != self.gate.version:
            self.close_gate("lose")
        return state

    def close_gate(self, trigger: str) -> None:
        """Close the gate if the state chart allows `trigger` now."""
        if self.chart.can(trigger):
            self.chart.fire(trigger)
            self.gate.version = ""
            self.on_change()

    def open_gate(self, version: str, trigger: str) -> None:
        """Open the gate with the version that the engine reported."""
        self.gate.version = version
        self.last_served_version = version
        self.chart.fire(trigger)
        self.detail = ""
        self.on_change()
        if version == self.complete_version:
            self.swarm.serving_version = version
            self.swarm.keep_only({version})

    def start_download(self, entry: Entry) -> None:
        """Download the version unless it is complete or being downloaded.

        The download of a version that the catalogue no longer names is cancelled
        with all its fetches. Chunks that the new version shares are kept.
        """
        if self.complete_version == entry.version:
            return
        is_finished = self.download_task is None or self.download_task.done()
        if self.download_version == entry.version and not is_finished:
            return
        if self.download_task is not None:
            self.download_task.cancel()
        self.download_version = entry.version
        self.download_task = asyncio.get_running_loop().create_task(
            self.download(entry)
        )

    async def download(self, entry: Entry) -> None:
        """Download a version completely and verify it."""
        self.swarm.serving_version = self.gate.version or self.last_served_version
        try:
            manifest = await self.swarm.fetch_version(entry.version, entry.distribution)
        except WisteriapulleyError as error:
            self.download_error = str(error)
            log.error(
                "download of the weights failed: %s",
                error,
                extra=fields(code=error.code),
            )
            await asyncio.sleep(FAILURE_BACKOFF_S)
            return
        self.download_error = ""
        self.complete_version = manifest.digest
        self.catalogue_changed.set()

    async def switch_version(self, entry: Entry, version: str) -> None:
        """Drain, load, verify and open, under a permit.

        A target that a failed load left empty keeps its permit until it is open
        again. If it released the permit, a version that no engine can load would
        take one target after another out of service.
        """
        serving = self.chart.state == "open"
        counted = serving or self.has_permit
        if not await self.obtain_permit(entry, version, counted):
            return
        try:
            if serving and not await self.drain(version):
                return
            await self.load(version, entry.role)
        finally:
            if self.chart.state != "empty":
                await self.release_permit()

    async def obtain_permit(self, entry: Entry, version: str, counted: bool) -> bool:
        """Request a permit and return whether the switch may begin.

        While no control instance is reachable, an engine that lost its weights may
        load the version that it served before without a permit. The target serves
        nothing in the meantime, so no further target goes out of service, and the
        catalogue in force here does not change. That order has no new fencing number,
        so it must not follow an unanswered one for another version.
        """
        try:
            permit = await self.request_permit(entry, version, counted)
        except WisteriapulleyError as error:
            is_unreachable = error.code in CONTROL_UNREACHABLE_CODES
            if is_unreachable and self.may_restore_without_permit(version):
                return True
            raise
        if permit.code == ResultCode.OK:
            self.fencing = permit.fencing
            self.has_permit = True
            self.permit_backoff_s = PERMIT_BACKOFF_MIN_S
            return True
        await asyncio.sleep(self.permit_backoff_s * (0.5 + self.rng.random()))
        self.permit_backoff_s = min(PERMIT_BACKOFF_MAX_S, self.permit_backoff_s * 1.5)
        return False

    def may_restore_without_permit(self, version: str) -> bool:
        """Return whether `version` may be loaded without a new fencing number."""
        unanswered = self.engine.unanswered
        is_fenced = unanswered is None or unanswered.version == version
        is_restored = (
            self.chart.state == "empty" and version == self.last_served_version
        )
        return is_restored and is_fenced

    async def drain(self, version: str) -> bool:
        """Close the gate and wait until no request runs at the engine.

        Returns
        -------
        bool
            False, with the gate open again, if requests run longer than the
            setting `drain_ms` or the catalogue names another version by then.
        """
        self.chart.fire("drain")
        self.on_change()
        try:
            async with asyncio.timeout(self.settings.drain_ms / 1000):
                await self.gate.drained_at_engine()
            entry = self.desired_entry()
            if entry is not None and entry.version == version:
                return True
        except TimeoutError:
            self.detail = "version switch postponed: requests ran longer than drain_ms"
        if self.chart.can("reopen"):
            self.chart.fire("reopen")
            self.on_change()
        return False

    async def request_permit(
        self, entry: Entry, version: str, serving: bool
    ) -> PermitResult:
        """Request a permit from the leader."""
        command = AcquirePermit(
            entry.service,
            self.settings.failure_domain,
            self.settings.node_id,
            self.gate.incarnation,
            version,
            serving,
        )
        return await self.control.propose(command)

    async def release_permit(self) -> None:
        """Release the permit; if that is lost, it ends with the member's lease."""
        self.has_permit = False
        try:
            await self.control.propose(
                ReleasePermit(self.settings.node_id, self.fencing)
            )
        except WisteriapulleyError as error:
            log.warning("permit not released: %s", error)

    async def load(self, version: str, role: str) -> None:
        """Order the load under a fresh lease, then check the engine's version.

        Raises
        ------
        WisteriapulleyError
            The load failed. The target is open with the previous version if the
            engine still holds it, otherwise it is empty.
        """
        try:
            await self.check_lease(version)
        except WisteriapulleyError:
            self.reopen_gate()
            raise
        self.chart.fire("load")
        self.on_change()
        try:
            await self.engine.load(
                LoadOrder(version, self.source_url, self.fencing, role)
            )
            state = await self.engine.state()
            if state.version != version:
                raise WeightsError(
                    ResultCode.ENGINE_WRONG_DIGEST,
                    f"ordered version {version}, but the engine reports"
                    f" {state.version!r}",
                )
        except WeightsError as error:
            await self.handle_load_failure(version, error)
            raise
        self.open_gate(version, "loaded")

    async def check_lease(self, version: str) -> None:
        """Check for a live quorum right before a load order.

        No quorum is needed to restore the last served version to an empty engine.

        Raises
        ------
        WeightsError
            NO_QUORUM: the lease expired before its response arrived.
        """
        if version == self.last_served_version and self.chart.state == "empty":
            return
        sent_s = steady_s()
        lease = await self.control.lease()
        # The lease runs from the time of the request: the response may have been
        # delayed, or this process suspended in the meantime.
        if steady_s() >= sent_s + lease.remaining_ms / 1000:
            raise WeightsError(
                ResultCode.NO_QUORUM,
                "the quorum lease expired before the load was ordered",
            )

    def reopen_gate(self) -> None:
        """Reopen the gate with the previous version; no load was ordered yet."""
        if self.chart.can("reopen"):
            self.chart.fire("reopen")
            self.on_change()

    async def handle_load_failure(self, version: str, error: WeightsError) -> None:
        """Keep the previous version in service if the engine still holds it.

        The gate stays closed if the engine may still execute the order.
        """
        now_s = asyncio.get_running_loop().time()
        if error.code != ResultCode.ENGINE_FENCED:
            self.load_backoff.record_failure(version, str(error), now_s)
        held_version = ""
        try:
            held_version = (await self.engine.state()).version
        except WeightsError as state_error:
            log.warning(
                "could not read the engine's state after a failed load: %s", state_error
            )
        is_settled = self.engine.unanswered is None
        if held_version and held_version == self.gate.version and is_settled:
            self.chart.fire("kept")
        else:
            self.chart.fire("fail")
            self.gate.version = ""
        self.on_change()
