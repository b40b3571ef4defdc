"""Plays one seed: the fleet, its callers and operators, and the drawn faults."""

import asyncio
import logging
import signal
import time
from collections import Counter
from functools import partial
from pathlib import Path
from typing import NamedTuple

from soak.callers import Caller
from soak.fleet import START_S, SoakFleet
from soak.operators import ACCOUNT, Operator, Prober
from soak.plan import CALM_S, Fault, Kind, Shape, draw
from soak.promises import Finding, Judge, Progression

log = logging.getLogger(__name__)

CALLERS_EACH = 3
# After the last fault everything must serve again; bounds of the platform's are
# shorter, but the machine may be busy.
RECOVER_S = 60.0
SERVED_IN_A_ROW = 20
SLOW_BYTES_S = 40_000.0
DARK_LEAST_S = 0.5


class Outcome(NamedTuple):
    """What a seed showed."""

    seed: int
    processes: int
    seconds: float
    faults: dict[str, int]
    requests: dict[int, int]
    checked: dict[str, int]
    resident_mb: int
    findings: tuple[Finding, ...]


class SoakRun:
    """One seed.

    Parameters
    ----------
    folder : Path
        Kept when something was found.
    seed : int
        Draws the faults.
    seconds : float
        How long faults come.
    shape : Shape
        Size of the fleet.
    timed : bool
        Whether promises with a bound in time are checked.
    """

    def __init__(
        self, folder: Path, seed: int, seconds: float, shape: Shape, timed: bool = True
    ):
        self.seed = seed
        self.shape = shape
        self.judge = Judge(ACCOUNT, timed)
        self.fleet = SoakFleet(folder, shape, self.judge, seed)
        self.operator = Operator(
            self.judge, self.fleet.origin, self.fleet.controls, seed
        )
        self.progression = Progression(self.judge)
        self.plan = draw(seed, seconds, shape)
        self.callers: list[Caller] = []
        self.watching: list[asyncio.Task] = []
        self.harm: set[asyncio.Task] = set()

    async def play(self) -> Outcome:
        """Play the seed to its end."""
        began_s = time.monotonic()
        try:
            await self.start()
            await self.inject()
            await self.recover()
            resident = self.fleet.resident_bytes()
        finally:
            await self.stop()
        self.judge.close()
        return Outcome(
            self.seed,
            len(self.shape.nodes),
            round(time.monotonic() - began_s, 1),
            dict(Counter(fault.kind.value for fault in self.plan)),
            dict(sum((c.outcomes for c in self.callers), Counter())),
            dict(self.judge.checked),
            resident >> 20,
            tuple(self.judge.findings),
        )

    async def start(self) -> None:
        """Start everything, and wait until all is served."""
        await self.fleet.start()
        loop = asyncio.get_running_loop()
        self.watching.append(loop.create_task(self.fleet.supervise()))
        self.operator.start()
        self.operator.change()
        await self.until("the first configuration", self.is_configured)
        for name, address in self.fleet.entry_addresses.items():
            self.callers += [
                Caller(f"{name}-{number}", name, address, self.judge)
                for number in range(CALLERS_EACH)
            ]
            self.watching.append(self.probe(name, address))
        for caller in self.callers:
            caller.start()
        await self.until("the first answers", self.all_served)

    def probe(self, name: str, address: str) -> asyncio.Task:
        """Begin to ask an entry which configuration is in force there."""
        node = self.fleet.nodes[name]
        prober = Prober(
            name,
            address,
            lambda: f"{name}/{node.incarnation}",
            self.operator,
            self.progression,
        )
        return asyncio.get_running_loop().create_task(prober.run())

    async def stop(self) -> None:
        """End everything."""
        for task in (*self.watching, *self.harm):
            task.cancel()
        await asyncio.gather(*self.watching, *self.harm, return_exceptions=True)
        for caller in self.callers:
            await caller.stop()
        await self.operator.stop()
        await self.fleet.stop()

    async def until(self, what: str, check) -> bool:
        """Wait for a condition, however long a busy machine takes."""
        try:
            async with asyncio.timeout(max(START_S, RECOVER_S)):
                while not await check():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.judge.found("recover", f"{what}: not within {RECOVER_S:.0f} s")
            return False
        self.judge.checked["recover"] += 1
        return True

    async def is_configured(self) -> bool:
        """Tell whether the newest acknowledged configuration is read."""
        newest = self.operator.history.newest_acknowledged()
        return 0 < newest <= await self.operator.read()

    async def all_served(self) -> bool:
        """Tell whether each caller was served by now."""
        return all(caller.outcomes[200] for caller in self.callers)

    # -- faults ----------------------------------------------------------

    async def inject(self) -> None:
        """Inject the drawn faults at their times."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for fault in self.plan:
            await asyncio.sleep(began_s + fault.at_s - loop.time())
            log.info("%s", fault)
            task = loop.create_task(self.suffer(fault))
            self.harm.add(task)
            task.add_done_callback(self.harm.discard)
        while self.harm:
            await asyncio.wait(set(self.harm))
        await asyncio.sleep(CALM_S)

    async def suffer(self, fault: Fault) -> None:
        """Let one fault happen, and note from when to when it lasted."""
        began_s = time.monotonic()
        number = len(self.judge.faults)
        self.judge.faults.append((fault, began_s, float("inf")))
        try:
            await FAULTS[fault.kind](self, fault)
        except Exception as error:
            log.exception("fault %s", fault)
            self.judge.found("soak", f"{fault}: {error!r}")
        self.judge.faults[number] = (fault, began_s, time.monotonic())

    async def kill(self, fault: Fault, names: tuple[str, ...] = ()) -> None:
        """Kill processes, and start them again."""
        for name in names or (fault.name,):
            self.fleet.nodes[name].kill()
        await self.restart(fault, names)

    async def restart(self, fault: Fault, names: tuple[str, ...] = ()) -> None:
        """Start processes again after the fault's time."""
        await asyncio.sleep(fault.for_s)
        for name in names or (fault.name,):
            self.fleet.nodes[name].start()

    async def term(self, fault: Fault) -> None:
        """Stop a process as planned, and start it again."""
        await self.fleet.nodes[fault.name].stop(self.judge)
        await self.restart(fault)

    async def freeze(self, fault: Fault) -> None:
        """Pause a process."""
        process = self.fleet.nodes[fault.name].process
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        process.signal(signal.SIGCONT)

    async def wipe(self, fault: Fault) -> None:
        """Take a disk."""
        self.fleet.wipe(fault.name)
        await self.restart(fault)

    async def tear(self, fault: Fault) -> None:
        """Tear a write that was not synced."""
        self.fleet.tear(fault.name)
        await self.restart(fault)

    async def hup(self, fault: Fault) -> None:
        """Change a settings file, and signal it."""
        self.fleet.rewrite(fault.name)
        self.fleet.nodes[fault.name].process.signal(signal.SIGHUP)

    async def cut(self, fault: Fault, both_ways: bool = True) -> None:
        """Cut a process off."""
        self.fleet.network.cut_off(fault.name, both_ways)
        await asyncio.sleep(fault.for_s)
        self.fleet.network.heal(fault.name)

    async def reset(self, fault: Fault) -> None:
        """Reset all connections of a process."""
        await self.fleet.network.reset(fault.name)

    async def silence(self, fault: Fault) -> None:
        """Let the connections of a process go silent; new ones work."""
        for path in self.fleet.network.of(fault.name):
            path.silence()

    async def slow(self, fault: Fault) -> None:
        """Narrow the paths of a process."""
        for path in self.fleet.network.of(fault.name):
            path.throttle(SLOW_BYTES_S)
        await asyncio.sleep(fault.for_s)
        self.fleet.network.heal(fault.name)

    # -- targets ---------------------------------------------------------

    async def engine_crash(self, fault: Fault) -> None:
        """Crash an engine; its heartbeats then come from a new incarnation."""
        self.fleet.engines[fault.name].crash()

    async def engine_dark(self, fault: Fault) -> None:
        """Let an engine answer nobody for a while."""
        paths = self.fleet.network.of(f"{fault.name}-target")
        for path in paths:
            path.hold()
        await asyncio.sleep(max(DARK_LEAST_S, fault.for_s))
        for path in paths:
            path.heal()

    async def engine_release(self, fault: Fault) -> None:
        """Let an engine leave as planned, and come back."""
        await self.fleet.announcers[fault.name].release(self.judge)

    async def target_grey(self, fault: Fault) -> None:
        """Let a plain target fail half of its requests."""
        target = self.fleet.plain[fault.name]
        target.grey = True
        await asyncio.sleep(fault.for_s)
        target.grey = False

    async def target_rest(self, fault: Fault) -> None:
        """Let a target turn all requests away, and ask for rest."""
        targets = {**self.fleet.plain, **self.fleet.engines}
        target = targets[fault.name]
        target.rest_s = round(fault.for_s, 2)
        await asyncio.sleep(fault.for_s)
        target.rest_s = 0.0

    async def origin_away(self, fault: Fault) -> None:
        """Cut the origin off."""
        (path,) = self.fleet.network.of("origin")
        path.cut()
        await asyncio.sleep(fault.for_s)
        path.heal()

    async def origin_garble(self, fault: Fault) -> None:
        """Let the origin hand out spoilt pieces."""
        count = self.fleet.origin.chunks
        self.fleet.origin.spoil |= {self.fleet.rng.randrange(count) for _ in range(3)}

    async def staged_rot(self, fault: Fault) -> None:
        """Let pieces turn bad as they are staged."""
        count = self.fleet.origin.chunks
        self.fleet.engines[fault.name].rot |= {self.fleet.rng.randrange(count)}

    # -- operators -------------------------------------------------------

    async def operate(self, fault: Fault, act) -> None:
        """Let an operator do something."""
        act(self.operator)

    # -- the end ---------------------------------------------------------

    async def recover(self) -> None:
        """Check that all that was accepted is in force, and that all is served."""
        for node in self.fleet.nodes.values():
            node.start()
        await self.until("the newest configuration", self.is_configured)
        await self.until("the newest weights", self.has_weights)
        before = {caller.name: caller.outcomes[200] for caller in self.callers}

        async def served_again() -> bool:
            return all(
                caller.outcomes[200] >= before[caller.name] + SERVED_IN_A_ROW
                for caller in self.callers
            )

        await self.until("answers for all callers", served_again)
        bad = sum(engine.bad_loads for engine in self.fleet.engines.values())
        self.judge.check("whole weights", not bad, f"{bad} loads of other pieces")

    async def has_weights(self) -> bool:
        """Tell whether every engine holds the newest weights."""
        newest = max(self.judge.named_s, default=1)
        return all(e.version >= newest for e in self.fleet.engines.values())


FAULTS = {
    Kind.KILL: SoakRun.kill,
    Kind.TERM: SoakRun.term,
    Kind.FREEZE: SoakRun.freeze,
    Kind.KILL_CONTROLS: lambda run, fault: run.kill(fault, run.shape.controls),
    Kind.KILL_ALL: lambda run, fault: run.kill(fault, run.shape.nodes),
    Kind.WIPE: SoakRun.wipe,
    Kind.TORN: SoakRun.tear,
    Kind.HUP: SoakRun.hup,
    Kind.CUT: SoakRun.cut,
    Kind.CUT_ONE_WAY: partial(SoakRun.cut, both_ways=False),
    Kind.RESET: SoakRun.reset,
    Kind.SILENCE: SoakRun.silence,
    Kind.SLOW: SoakRun.slow,
    Kind.ENGINE_CRASH: SoakRun.engine_crash,
    Kind.ENGINE_DARK: SoakRun.engine_dark,
    Kind.ENGINE_RELEASE: SoakRun.engine_release,
    Kind.TARGET_GREY: SoakRun.target_grey,
    Kind.TARGET_REST: SoakRun.target_rest,
    Kind.ORIGIN_AWAY: SoakRun.origin_away,
    Kind.ORIGIN_GARBLE: SoakRun.origin_garble,
    Kind.STAGED_ROT: SoakRun.staged_rot,
    Kind.CONFIG: partial(SoakRun.operate, act=Operator.change),
    Kind.CONFIG_RACE: partial(SoakRun.operate, act=Operator.race),
    Kind.CONFIG_BAD: partial(SoakRun.operate, act=Operator.send_bad),
    Kind.WEIGHTS: partial(SoakRun.operate, act=Operator.name_weights),
}
