"""Run one seed: the fleet, its callers and operators, and the drawn faults."""

import asyncio
import contextlib
import logging
import signal
import time
from collections import Counter
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import NamedTuple

from soak.callers import CALLERS_PER_ENTRY, Caller
from soak.fleet import FRONTEND_OFFSET, START_TIMEOUT_S, SoakFleet
from soak.invariants import (
    VERSION_GRACE_S,
    Finding,
    InvariantChecker,
    VersionProgress,
)
from soak.operators import ACCOUNT, Operator, VersionProber
from soak.plan import SETTLE_S, Fault, FaultKind, FleetShape, draw_faults
from soak.raw_callers import (
    RAW_CALLERS_PER_ENTRY,
    STREAMING_CALLERS_PER_ENTRY,
    PipeliningCaller,
    StreamingCaller,
)
from soak.stops import add_end_pauses, add_stops

log = logging.getLogger(__name__)

# Time after the last fault in which everything must serve again. The platform's bounds
# are shorter, but the machine may be busy.
RECOVERY_TIMEOUT_S = 60.0
THROTTLED_BYTES_PER_S = 40_000.0
MIN_UNRESPONSIVE_S = 0.5
# A change of the configuration is sent when a pause has lasted for this fraction.
PAUSE_BEFORE_CHANGE = 0.2
# Fraction of a pause that lies before the end of a version's grace period. More of a
# short one does: it begins when requests are still sent to engines that believe the
# end to be later by what others stood still for at the naming.
PAUSE_BEFORE_VERSION_END = 0.4
SHORT_PAUSE_BEFORE_VERSION_END = 0.7
NAMING_POLL_S = 0.01
# Engines begin slowly until this long after the end of a version.
SLOW_AFTER_VERSION_END_S = 1.0


class Outcome(NamedTuple):
    """Outcome of a seed. The field names appear in the JSON output."""

    seed: int
    processes: int
    seconds: float
    faults: dict[str, int]
    requests: dict[int, int]
    checked: dict[str, int]
    resident_mb: int
    # Most resident memory of any process of a role, in MB.
    peak_mb: dict[str, int]
    # Begins after the end of their version; those of them that are findings, as they
    # are later than the allowance for the machine; and the greatest time after the
    # acknowledgement of a newer version at which any request began.
    begins_past_end: int
    late_begins: int
    last_begin_s: float
    findings: tuple[Finding, ...]


class SeedOptions(NamedTuple):
    """Options of a run.

    Attributes
    ----------
    seconds : float
        Time in which faults start.
    entries, engines : int
        Sizes of the fleet.
    timed : bool
        Whether time bounds are checked.
    keep_folder : bool
        Whether the logs of a run without findings are kept.
    calm : bool
        Whether only planned operations and pauses are drawn.
    callers : int
        Callers of each entry.
    endless : bool
        Whether answers that come without end are drawn.
    leaves : bool
        Whether leaves are drawn whose control instance is killed.
    stops : bool
        Whether stops in series are drawn, and callers send in parts and behind one
        another.
    long_streams : bool
        Whether further callers send one long stream after the other, and engines stand
        still late in the stops of entries.
    """

    seconds: float = 30.0
    entries: int = 2
    engines: int = 3
    timed: bool = True
    keep_folder: bool = False
    calm: bool = False
    callers: int = CALLERS_PER_ENTRY
    endless: bool = False
    leaves: bool = False
    stops: bool = False
    long_streams: bool = False

    @property
    def shape(self) -> FleetShape:
        """Names of the fleet's processes and targets."""
        return FleetShape.of_size(self.entries, self.engines)

    def draw_plan(self, seed: int) -> list[Fault]:
        """Return the faults of a seed."""
        drawn = {"calm": self.calm, "endless": self.endless, "leaves": self.leaves}
        plan = draw_faults(seed, self.seconds, self.shape, **drawn)
        if self.stops:
            plan = add_stops(plan, seed, self.seconds, self.shape)
        return add_end_pauses(plan, seed, self.shape) if self.long_streams else plan


class SoakRun:
    """Run of one seed.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    seed : int
        Determines the faults.
    options : SeedOptions
        Sizes, and what is drawn and checked.
    """

    def __init__(self, folder: Path, seed: int, options: SeedOptions):
        self.seed = seed
        self.shape = options.shape
        self.checker = InvariantChecker(ACCOUNT, options.timed)
        self.fleet = SoakFleet(folder, self.shape, self.checker, seed)
        self.operator = Operator(
            self.checker, self.fleet.origin, self.fleet.shuffled_controls, seed
        )
        self.progression = VersionProgress(self.checker)
        self.plan = options.draw_plan(seed)
        self.callers_per_entry = options.callers
        self.raw_callers = {
            PipeliningCaller: RAW_CALLERS_PER_ENTRY if options.stops else 0,
            StreamingCaller: STREAMING_CALLERS_PER_ENTRY if options.long_streams else 0,
        }
        self.callers: list[Caller | PipeliningCaller] = []
        self.background_tasks: list[asyncio.Task] = []
        self.fault_tasks: set[asyncio.Task] = set()
        # Faults that keep the origin away now.
        self.origin_faults = 0

    async def run(self) -> Outcome:
        """Run the seed to its end."""
        began_s = time.monotonic()
        try:
            await self.start()
            await self.inject_faults()
            await self.verify_recovery()
            resident = self.fleet.resident_bytes()
        finally:
            await self.stop()
        self.checker.check_final()
        return Outcome(
            self.seed,
            len(self.shape.nodes),
            round(time.monotonic() - began_s, 1),
            dict(Counter(fault.kind.value for fault in self.plan)),
            dict(sum((c.status_counts for c in self.callers), Counter())),
            dict(self.checker.check_counts),
            resident >> 20,
            {role: peak >> 20 for role, peak in self.checker.peak_bytes.items()},
            self.checker.begins_past_end,
            self.checker.late_begins,
            round(self.checker.last_begin_s, 2),
            tuple(self.checker.findings),
        )

    async def start(self) -> None:
        """Start everything, and wait until all callers are served."""
        await self.fleet.start()
        loop = asyncio.get_running_loop()
        for watch in (self.fleet.supervise, self.fleet.watch_memory):
            self.background_tasks.append(loop.create_task(watch()))
        self.operator.start()
        self.operator.send_next()
        await self.wait_until("the first configuration", self.is_configured)
        for name, address in self.fleet.entry_addresses.items():
            self.callers += [
                Caller(f"{name}-{number}", name, address, self.checker)
                for number in range(self.callers_per_entry)
            ]
            own_address = self.fleet.nodes[name].address(FRONTEND_OFFSET)
            self.callers += [
                caller(
                    f"{caller.prefix}-{name}-{number}", name, own_address, self.checker
                )
                for caller, count in self.raw_callers.items()
                for number in range(count)
            ]
            self.background_tasks.append(self.start_prober(name, address))
        for caller in self.callers:
            caller.start()
        await self.wait_until("the first responses", self.all_callers_served)

    def start_prober(self, name: str, address: str) -> asyncio.Task:
        """Start probing which configuration is in force at an entry."""
        node = self.fleet.nodes[name]
        prober = VersionProber(
            name,
            address,
            lambda: f"{name}/{node.incarnation}",
            self.operator,
            self.progression,
        )
        return asyncio.get_running_loop().create_task(prober.run())

    async def stop(self) -> None:
        """Stop all tasks, callers, operators and processes."""
        for task in (*self.background_tasks, *self.fault_tasks):
            task.cancel()
        await asyncio.gather(
            *self.background_tasks, *self.fault_tasks, return_exceptions=True
        )
        for caller in self.callers:
            await caller.stop()
        await self.operator.stop()
        await self.fleet.stop()

    async def wait_until(self, description: str, check) -> bool:
        """Wait for a condition, long enough for a busy machine; else add a finding."""
        try:
            async with asyncio.timeout(max(START_TIMEOUT_S, RECOVERY_TIMEOUT_S)):
                while not await check():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.checker.add_finding(
                "recover", f"{description}: not within {RECOVERY_TIMEOUT_S:.0f} s"
            )
            return False
        self.checker.check_counts["recover"] += 1
        return True

    async def is_configured(self) -> bool:
        """Return whether a read returns the newest acknowledged configuration."""
        newest = self.operator.history.newest_acknowledged()
        return 0 < newest <= await self.operator.read()

    async def all_callers_served(self) -> bool:
        """Return whether each caller has received a successful response."""
        return all(caller.status_counts[200] for caller in self.callers)

    # -- faults ----------------------------------------------------------

    async def inject_faults(self) -> None:
        """Inject the drawn faults at their times, and wait for their end."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for fault in self.plan:
            await asyncio.sleep(began_s + fault.at_s - loop.time())
            log.info("%s", fault)
            task = loop.create_task(self.run_fault(fault))
            self.fault_tasks.add(task)
            task.add_done_callback(self.fault_tasks.discard)
        while self.fault_tasks:
            await asyncio.wait(set(self.fault_tasks))
        await asyncio.sleep(SETTLE_S)

    async def run_fault(self, fault: Fault) -> None:
        """Run one fault, and record its start and end."""
        began_s = time.monotonic()
        number = len(self.checker.faults)
        self.checker.faults.append((fault, began_s, float("inf")))
        try:
            await FAULT_ACTIONS[fault.kind](self, fault)
        except Exception as error:
            log.exception("fault %s", fault)
            self.checker.add_finding("soak", f"{fault}: {error!r}")
        self.checker.faults[number] = (fault, began_s, time.monotonic())

    async def kill(self, fault: Fault, names: tuple[str, ...] = ()) -> None:
        """Kill processes and restart them."""
        for name in names or (fault.name,):
            self.fleet.nodes[name].kill()
        await self.restart(fault, names)

    async def restart(self, fault: Fault, names: tuple[str, ...] = ()) -> None:
        """Restart processes after the fault's duration."""
        await asyncio.sleep(fault.duration_s)
        for name in names or (fault.name,):
            self.fleet.nodes[name].start()

    async def term(self, fault: Fault) -> None:
        """Stop a process with a stop signal and restart it."""
        await self.fleet.nodes[fault.name].stop(self.checker)
        await self.restart(fault)

    async def freeze(self, fault: Fault) -> None:
        """Suspend a process."""
        process = self.fleet.nodes[fault.name].process
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        process.signal(signal.SIGCONT)

    async def freeze_shortly(self, fault: Fault) -> None:
        """Suspend a process for no longer than a sound one may be silent."""
        silence = self.checker.begin_silence((fault.name,), time.monotonic())
        await self.freeze(fault)
        self.checker.end_silence(silence, time.monotonic())

    async def wipe(self, fault: Fault) -> None:
        """Kill a control instance, delete its data and restart it."""
        self.fleet.wipe(fault.name)
        await self.restart(fault)

    async def tear_write(self, fault: Fault) -> None:
        """Kill a control instance during an unsynced write and restart it."""
        self.fleet.tear_write(fault.name)
        await self.restart(fault)

    async def reload_settings(self, fault: Fault) -> None:
        """Change the settings file of a process and send it SIGHUP."""
        self.fleet.rewrite_settings(fault.name)
        self.fleet.nodes[fault.name].process.signal(signal.SIGHUP)

    async def partition(self, fault: Fault, both_ways: bool = True) -> None:
        """Partition a process from all others, in one or both directions."""
        self.fleet.network.partition(fault.name, both_ways)
        await asyncio.sleep(fault.duration_s)
        self.fleet.network.heal(fault.name)

    async def reset(self, fault: Fault) -> None:
        """Reset all connections of a process."""
        await self.fleet.network.reset(fault.name)

    async def silence(self, fault: Fault) -> None:
        """Silence the current connections of a process; new ones work."""
        for path in self.fleet.network.paths_touching(fault.name):
            path.silence()

    async def throttle(self, fault: Fault) -> None:
        """Limit the bandwidth of all paths of a process."""
        for path in self.fleet.network.paths_touching(fault.name):
            path.throttle(THROTTLED_BYTES_PER_S)
        await asyncio.sleep(fault.duration_s)
        self.fleet.network.heal(fault.name)

    # -- targets ---------------------------------------------------------

    async def engine_crash(self, fault: Fault) -> None:
        """Crash an engine; it continues as a new incarnation."""
        self.fleet.engines[fault.name].crash()

    async def engine_unresponsive(self, fault: Fault) -> None:
        """Make an engine unresponsive."""
        paths = self.fleet.network.paths_touching(f"{fault.name}-target")
        for path in paths:
            path.hold()
        await asyncio.sleep(max(MIN_UNRESPONSIVE_S, fault.duration_s))
        for path in paths:
            path.heal()

    async def engine_release(self, fault: Fault) -> None:
        """Let an engine leave as planned and restart."""
        await self.fleet.heartbeat_senders[fault.name].leave_and_restart(self.checker)

    async def leave_and_kill(self, fault: Fault) -> None:
        """Let a target leave; kill the control instance that acknowledges it."""
        sender = self.fleet.heartbeat_senders[fault.target]
        control = self.fleet.control_addresses[fault.name]
        acknowledged = await sender.deregister(control)
        target_id = sender.left_id
        self.checker.check_leave(fault, acknowledged, time.monotonic())
        async with asyncio.TaskGroup() as group:
            if acknowledged:
                now_s = time.monotonic()
                self.checker.leaving_since_s.setdefault(target_id, now_s)
                group.create_task(self.kill(fault))
            group.create_task(sender.serve_on_and_restart(target_id))

    async def crashing_part(self, fault: Fault) -> None:
        """Let callers send prompts with a part that crashes engines."""
        self.checker.crashing_parts.begin(fault.name)
        await asyncio.sleep(fault.duration_s)
        self.checker.crashing_parts.end(fault.name)

    async def answer_endlessly(self, fault: Fault) -> None:
        """Let answers of a target, or the reports of an engine, come without end."""
        targets = {**self.fleet.plain_targets, **self.fleet.engines}
        targets[fault.name].endless = fault.kind
        await asyncio.sleep(fault.duration_s)
        targets[fault.name].endless = None

    async def target_grey(self, fault: Fault) -> None:
        """Make a plain target fail half of its requests."""
        target = self.fleet.plain_targets[fault.name]
        target.grey = True
        await asyncio.sleep(fault.duration_s)
        target.grey = False

    async def target_cooldown(self, fault: Fault) -> None:
        """Make a target reject all requests and request a cool-down."""
        targets = {**self.fleet.plain_targets, **self.fleet.engines}
        target = targets[fault.name]
        target.cooldown_s = round(fault.duration_s, 2)
        await asyncio.sleep(fault.duration_s)
        target.cooldown_s = 0.0

    async def pause(self, fault: Fault) -> None:
        """Let targets stand still and go on."""
        await self.fleet.pause_targets(fault.name, fault.duration_s)

    async def pause_with_config(self, fault: Fault) -> None:
        """Change the configuration while targets stand still."""
        pausing = asyncio.create_task(self.pause(fault))
        await asyncio.sleep(fault.duration_s * PAUSE_BEFORE_CHANGE)
        self.operator.send_next()
        await pausing

    async def pause_with_weights(self, fault: Fault) -> None:
        """Let targets stand still when the grace period of their weights ends.

        The origin is unreachable meanwhile, so that no engine has newer ones.
        """
        with self.origin_away():
            await self.operator.set_desired_version()
            lead_s = fault.duration_s * PAUSE_BEFORE_VERSION_END
            await asyncio.sleep(VERSION_GRACE_S - lead_s)
            await self.pause(fault)

    async def name_with_origin_away(self, fault: Fault) -> None:
        """Name a version that no engine gets before the old one ends.

        Targets stand still across the end if the fault has a pause.
        """
        with self.origin_away():
            await self.operator.set_desired_version()
            async with asyncio.TaskGroup() as group:
                group.create_task(asyncio.sleep(fault.duration_s))
                if fault.pause_s:
                    group.create_task(self.pause_at_version_end(fault))

    async def pause_at_version_end(self, fault: Fault) -> None:
        """Let targets stand still shortly across the end of the old version."""
        lead_s = fault.pause_s * SHORT_PAUSE_BEFORE_VERSION_END
        await asyncio.sleep(VERSION_GRACE_S - lead_s)
        await self.fleet.pause_targets(fault.name, fault.pause_s)

    async def wait_for_version_end(self, lead_s: float) -> None:
        """Wait until some time before the end of the version that is now replaced."""
        began_s = time.monotonic()
        named_s: list[float] = []
        while not named_s:
            await asyncio.sleep(NAMING_POLL_S)
            times_s = self.checker.desired_since_s.values()
            named_s = [at_s for at_s in times_s if at_s >= began_s]
        starts_s = min(named_s) + VERSION_GRACE_S - lead_s
        await asyncio.sleep(starts_s - time.monotonic())

    async def silence_at_version_end(self, fault: Fault) -> None:
        """Let an engine stand still shortly before or across the end of a version."""
        await self.wait_for_version_end(fault.lead_s)
        await self.fleet.pause_targets(fault.name, fault.duration_s)

    async def begin_slowly(self, fault: Fault, notices_close: bool = True) -> None:
        """Make an engine read prompts for longer before and across an end."""
        await self.wait_for_version_end(fault.lead_s)
        engine = self.fleet.engines[fault.name]
        engine.reading_s, engine.notices_close = fault.duration_s, notices_close
        await asyncio.sleep(fault.lead_s + SLOW_AFTER_VERSION_END_S)
        # What it had read before a silence still begins as slowly.
        await engine.awake.wait()
        await asyncio.sleep(fault.duration_s)
        engine.reading_s, engine.notices_close = 0.0, True

    @contextlib.contextmanager
    def origin_away(self) -> Iterator[None]:
        """Keep the origin unreachable, until no other fault does so either."""
        (path,) = self.fleet.network.paths_touching("origin")
        path.cut()
        self.origin_faults += 1
        try:
            yield
        finally:
            self.origin_faults -= 1
            if not self.origin_faults:
                path.heal()

    async def origin_unreachable(self, fault: Fault) -> None:
        """Make the origin unreachable."""
        with self.origin_away():
            await asyncio.sleep(fault.duration_s)

    async def origin_corruption(self, fault: Fault) -> None:
        """Make the origin send corrupted pieces."""
        count = self.fleet.origin.chunks
        self.fleet.origin.corrupt_positions |= {
            self.fleet.rng.randrange(count) for _ in range(3)
        }

    async def staged_corruption(self, fault: Fault) -> None:
        """Corrupt a piece when the engine stages it."""
        count = self.fleet.origin.chunks
        self.fleet.engines[fault.name].corrupt_positions |= {
            self.fleet.rng.randrange(count)
        }

    # -- operators -------------------------------------------------------

    async def evacuate(self, fault: Fault) -> None:
        """Evacuate a failure domain and withdraw the order."""
        await self.operator.evacuate(fault.name, fault.duration_s)

    async def operate(self, fault: Fault, action) -> None:
        """Run an action of the operator."""
        action(self.operator)

    # -- the end ---------------------------------------------------------

    async def verify_recovery(self) -> None:
        """Check that accepted changes are in force and all callers are served again."""
        for node in self.fleet.nodes.values():
            node.start()
        await self.wait_until("the newest configuration", self.is_configured)
        await self.wait_until("the newest weights", self.has_desired_weights)
        before = {caller.name: caller.status_counts[200] for caller in self.callers}

        async def served_again() -> bool:
            return all(
                caller.status_counts[200]
                >= before[caller.name] + caller.recovery_requests
                for caller in self.callers
            )

        await self.wait_until("responses for all callers", served_again)
        bad = sum(engine.corrupted_loads for engine in self.fleet.engines.values())
        self.checker.check("whole weights", not bad, f"{bad} loads of corrupted pieces")

    async def has_desired_weights(self) -> bool:
        """Return whether every engine holds the newest desired weights."""
        newest = max(self.checker.desired_since_s, default=1)
        return all(e.version >= newest for e in self.fleet.engines.values())


FAULT_ACTIONS = {
    FaultKind.KILL: SoakRun.kill,
    FaultKind.TERM: SoakRun.term,
    FaultKind.FREEZE: SoakRun.freeze,
    FaultKind.KILL_CONTROLS: lambda run, fault: run.kill(fault, run.shape.controls),
    FaultKind.KILL_ALL: lambda run, fault: run.kill(fault, run.shape.nodes),
    FaultKind.WIPE: SoakRun.wipe,
    FaultKind.TORN_WRITE: SoakRun.tear_write,
    FaultKind.HUP: SoakRun.reload_settings,
    FaultKind.CUT: SoakRun.partition,
    FaultKind.CUT_ONE_WAY: partial(SoakRun.partition, both_ways=False),
    FaultKind.RESET: SoakRun.reset,
    FaultKind.SILENCE: SoakRun.silence,
    FaultKind.SLOW: SoakRun.throttle,
    FaultKind.ENGINE_CRASH: SoakRun.engine_crash,
    FaultKind.ENGINE_UNRESPONSIVE: SoakRun.engine_unresponsive,
    FaultKind.ENGINE_RELEASE: SoakRun.engine_release,
    FaultKind.CRASHING_PART: SoakRun.crashing_part,
    FaultKind.TARGET_GREY: SoakRun.target_grey,
    FaultKind.TARGET_COOLDOWN: SoakRun.target_cooldown,
    FaultKind.ORIGIN_UNREACHABLE: SoakRun.origin_unreachable,
    FaultKind.ORIGIN_CORRUPTION: SoakRun.origin_corruption,
    FaultKind.STAGED_CORRUPTION: SoakRun.staged_corruption,
    FaultKind.CONFIG: partial(SoakRun.operate, action=Operator.send_next),
    FaultKind.CONFIG_RACE: partial(SoakRun.operate, action=Operator.send_conflicting),
    FaultKind.CONFIG_INVALID: partial(SoakRun.operate, action=Operator.send_invalid),
    FaultKind.WEIGHTS: partial(SoakRun.operate, action=Operator.set_desired_version),
    FaultKind.EVACUATE: SoakRun.evacuate,
    FaultKind.PAUSE: SoakRun.pause,
    FaultKind.LONG_PAUSE: SoakRun.pause,
    FaultKind.PAUSE_WITH_CONFIG: SoakRun.pause_with_config,
    FaultKind.PAUSE_WITH_WEIGHTS: SoakRun.pause_with_weights,
    FaultKind.WEIGHTS_ORIGIN_AWAY: SoakRun.name_with_origin_away,
    FaultKind.SHORT_FREEZE: SoakRun.freeze_shortly,
    FaultKind.RETURN_AFTER_TERM: SoakRun.term,
    FaultKind.RETURN_AFTER_KILL: SoakRun.kill,
    FaultKind.SILENCE_AT_END: SoakRun.silence_at_version_end,
    FaultKind.LONG_SILENCE_AT_END: SoakRun.silence_at_version_end,
    FaultKind.SLOW_BEGIN: SoakRun.begin_slowly,
    FaultKind.UNNOTICED_CLOSE: partial(SoakRun.begin_slowly, notices_close=False),
    FaultKind.ENDLESS_BODY: SoakRun.answer_endlessly,
    FaultKind.ENDLESS_STREAM: SoakRun.answer_endlessly,
    FaultKind.ENDLESS_REPORT: SoakRun.answer_endlessly,
    FaultKind.LEAVE_AND_KILL: SoakRun.leave_and_kill,
}
