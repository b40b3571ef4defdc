"""Load on the request path: ``make bench-load``; the last line is one JSON object.

``processes`` comes from real processes on loopback, ``policy`` from the pure
modules over virtual time. Every figure stands beside that of round robin with
unbounded queues from the same run, so that the machine's speed cancels out.
"""

import asyncio
import json
import os
import random
import shutil
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

import aiohttp
from tests.fleet import Fleet, address, free_port

from bench.policy import jain_of, percentile, policy_figures

TARGETS, SLOTS = 6, 4
TOKEN_S = 0.02
SHORT, LONG = 10, 60
LONG_SHARE = 0.1
ACCOUNTS = [f"account-{i}" for i in range(5)]
LOADS = (0.5, 0.9, 1.0, 1.5, 3.0)
RUN_S = 4.0
WARM_S = 1.0
PATIENCE = 5.0
LEAST_DEADLINE_S = 1.0
DOMAIN = "palermo"
OWNER = "lettercraft"
OVERHEAD_REQUESTS = 300
# Longer than its queues get in a run, so that its late answers count as such.
BASELINE_PATIENCE_S = 30.0
BUSY_CALLERS = 48
BUSY_S = 3.0
TICKS = os.sysconf("SC_CLK_TCK")
REFUSED = 429


class Outcome(NamedTuple):
    """What a caller got, and when."""

    account: str
    tokens: int
    status: int
    in_time: bool
    ended_s: float
    first_s: float
    took_s: float


def capacity_per_s() -> float:
    """Return the requests a second that keep every slot just busy."""
    mean_tokens = (1 - LONG_SHARE) * SHORT + LONG_SHARE * LONG
    return TARGETS * SLOTS / (mean_tokens * TOKEN_S)


class Load:
    """Open-loop callers of one address.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Client.
    url : str
        Where completions go.
    patience_s : float, optional
        How long callers wait; by default a little beyond their deadline.
    seed : int
        Of sizes, accounts and times; the same for both sides.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        patience_s: float | None = None,
        seed: int = 1,
    ):
        self.session = session
        self.url = f"{url}/v1/completions"
        self.patience_s = patience_s
        self.seed = seed

    async def run(self, load: float, shares: list[float] | None = None):
        """Send at `load` times capacity; return the outcomes."""
        rng = random.Random(self.seed)
        shares = shares or [1.0] * len(ACCOUNTS)
        start_s = time.monotonic()
        at_s = start_s
        tasks = []
        while at_s < start_s + RUN_S:
            at_s += rng.expovariate(load * capacity_per_s())
            account = rng.choices(ACCOUNTS, shares)[0]
            tokens = LONG if rng.random() < LONG_SHARE else SHORT
            await asyncio.sleep(max(0.0, at_s - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(account, tokens, start_s)))
        return await asyncio.gather(*tasks)

    async def send(self, account: str, tokens: int, start_s: float) -> Outcome:
        """Send one streamed completion."""
        deadline_s = max(LEAST_DEADLINE_S, PATIENCE * tokens * TOKEN_S)
        body = {"model": "drafts", "prompt": "p", "max_tokens": tokens, "stream": True}
        headers = {
            "X-Client-Account": account,
            "X-Request-Timeout-Ms": str(int(deadline_s * 1000)),
        }
        sent_s = time.monotonic()
        status, first_s = 0, 0.0
        try:
            async with asyncio.timeout(self.patience_s or deadline_s + 0.5):
                async with self.session.post(
                    self.url, json=body, headers=headers
                ) as answer:
                    status = answer.status
                    async for _ in answer.content.iter_any():
                        first_s = first_s or time.monotonic() - sent_s
        except (aiohttp.ClientError, TimeoutError):
            status = 0
        took_s = time.monotonic() - sent_s
        in_time = status == 200 and took_s <= deadline_s
        ended_s = time.monotonic() - start_s
        return Outcome(account, tokens, status, in_time, ended_s, first_s, took_s)


def goodput(outcomes: list[Outcome]) -> float:
    """Return tokens a second of answers that came in time."""
    tokens = sum(o.tokens for o in outcomes if o.in_time and WARM_S < o.ended_s < RUN_S)
    return tokens / (RUN_S - WARM_S)


def times(outcomes: list[Outcome], status: int, tokens: int | None = None):
    """Return the times of answers with a status, in seconds."""
    return [
        o.took_s for o in outcomes if o.status == status and tokens in (None, o.tokens)
    ]


def summary(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the figures of one run."""
    took = times(outcomes, 200)
    first = [o.first_s for o in outcomes if o.status == 200]
    return {
        "sent": len(outcomes),
        "goodput_tokens_per_s": round(goodput(outcomes), 1),
        "answered_in_time": round(sum(o.in_time for o in outcomes) / len(outcomes), 3),
        "refused": sum(o.status == REFUSED for o in outcomes),
        "failed": sum(o.status not in (200, REFUSED) for o in outcomes),
        "p50_s": round(percentile(took, 50), 3),
        "p99_s": round(percentile(took, 99), 3),
        "first_p50_s": round(percentile(first, 50), 3),
        "first_p99_s": round(percentile(first, 99), 3),
        "short_p99_s": round(percentile(times(outcomes, 200, SHORT), 99), 3),
        "refusal_p50_ms": round(percentile(times(outcomes, REFUSED), 50) * 1000, 2),
        "refusal_p99_ms": round(percentile(times(outcomes, REFUSED), 99) * 1000, 2),
    }


def jain(outcomes: list[Outcome]) -> float:
    """Return Jain's index of the tokens that accounts got in time."""
    got: dict[str, float] = defaultdict(float)
    for outcome in outcomes:
        if outcome.in_time and WARM_S < outcome.ended_s < RUN_S:
            got[outcome.account] += outcome.tokens
    return round(jain_of([got[account] for account in ACCOUNTS]), 3)


class Bench:
    """The fleet under load, and the baseline before the same targets."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession):
        self.fleet = fleet
        self.session = session
        self.target_urls: list[str] = []

    async def start(self) -> None:
        """Start every process and wait until the targets serve."""
        fleet = self.fleet
        fleet.start_origin()
        fleet.start_control([DOMAIN] * 3)
        options = ("--slots", str(SLOTS), "--token-s", str(TOKEN_S))
        for number in range(TARGETS):
            node = fleet.start_target(
                f"model-{number}", DOMAIN, "letter-models", fake_options=options
            )
            self.target_urls.append(node.settings["target_url"])
        press = fleet.start_target("press", DOMAIN, "print-proof", "plain")
        self.press_url = press.settings["target_url"]
        fleet.start_entry("entry", DOMAIN)
        await fleet.wait_ready([s["node_id"] for s in fleet.controls])
        self.apply(fleet.publish(1, 1 << 20, 1 << 18))
        await fleet.wait_ready()
        port = free_port()
        command = ["-m", "bench.round_robin", "--port", str(port)]
        command += ["--targets", ",".join(self.target_urls)]
        fleet.fakes["round-robin"] = fleet.start_process("round-robin", command)
        await asyncio.sleep(1.5)
        self.ours = Load(self.session, fleet.nodes["entry"].http)
        baseline_url = f"http://{address(port)}"
        self.baseline = Load(self.session, baseline_url, BASELINE_PATIENCE_S)

    def apply(self, version: str) -> None:
        """Put the two services into the catalogue."""
        folder = self.fleet.folder / "catalogue"
        folder.mkdir()
        limits = {"requests_per_s": 1e5, "burst": 100_000, "in_flight": SLOTS}
        drafts = self.entry("drafts", "letter-models", {**limits})
        drafts["version"] = version
        letters = self.entry("letters", "print-proof", {**limits, "in_flight": 1000})
        for tree in (drafts, letters):
            (folder / f"{tree['name']}.json").write_text(json.dumps(tree))
        self.fleet.apply(folder, OWNER, "--wait", "20")

    def entry(self, name: str, service: str, limits: dict) -> dict:
        """Return a catalogue entry."""
        return {
            "name": name,
            "owner": OWNER,
            "class": name,
            "service": service,
            "limits": limits,
        }

    async def pace(self, token_s: float) -> None:
        """Make the first target slow or well."""
        body = {"token_s": token_s}
        url = f"{self.target_urls[0]}/fake/pace"
        async with self.session.post(url, json=body) as answer:
            await answer.read()

    async def both(self, load: float, shares: list[float] | None = None):
        """Run ours, then the baseline; its late work first leaves the engines."""
        ours = await self.ours.run(load, shares)
        await asyncio.sleep(0.5)
        baseline = await self.baseline.run(load, shares)
        await self.idle()
        return ours, baseline

    async def idle(self) -> None:
        """Wait until no target runs anything."""
        while True:
            await asyncio.sleep(0.3)
            if not any([await self.held(url) for url in self.target_urls]):
                return

    async def held(self, url: str) -> int:
        """Return what a target holds."""
        async with self.session.get(f"{url}/control/state") as answer:
            state = await answer.json()
        return state["running"] + state["waiting"]

    async def figures(self) -> dict:
        """Return every figure of the processes."""
        await self.ours.run(0.5)
        by_load = {}
        for load in LOADS:
            ours, baseline = await self.both(load)
            by_load[str(load)] = {"ours": summary(ours), "baseline": summary(baseline)}
        good = {k: row["ours"]["goodput_tokens_per_s"] for k, row in by_load.items()}
        mixed = by_load["0.9"]
        return {
            "loads": by_load,
            "goodput_at_3_over_peak": round(good["3.0"] / max(good.values()), 3),
            "short_p99_over_baseline": round(
                mixed["ours"]["short_p99_s"] / mixed["baseline"]["short_p99_s"], 3
            ),
            "refusal_p99_ms": by_load["3.0"]["ours"]["refusal_p99_ms"],
            "jain": await self.fairness(),
            "slow_target_p99_ratio": await self.slow_target(),
            "overhead": await self.overhead(),
            "one_entry": await self.throughput(),
        }

    async def fairness(self) -> dict[str, float]:
        """One account at ten times its share of a full service."""
        ours, baseline = await self.both(2.8, [10.0, 1.0, 1.0, 1.0, 1.0])
        return {"ours": jain(ours), "baseline": jain(baseline)}

    async def slow_target(self) -> dict[str, float]:
        """p99 of short requests with one slow target over p99 without."""
        healthy = await self.both(0.5)
        await self.pace(TOKEN_S * 10)
        # The finding of the slow target is not the steady state.
        await self.ours.run(0.5)
        slow = await self.both(0.5)
        await self.pace(TOKEN_S)
        ratios = {}
        for name, with_slow, without in zip(
            ("ours", "baseline"), slow, healthy, strict=True
        ):
            first = percentile(times(with_slow, 200, SHORT), 99)
            ratios[name] = round(first / percentile(times(without, 200, SHORT), 99), 3)
        return ratios

    async def post(self, url: str) -> float:
        """Send one small call; return its seconds."""
        start_s = time.perf_counter()
        headers = {"X-Client-Account": "account-0"}
        async with self.session.post(url, data=b"{}", headers=headers) as answer:
            await answer.read()
            assert answer.status == 200, answer.status
        return time.perf_counter() - start_s

    async def overhead(self) -> dict[str, float]:
        """Added latency of entry, link and sidecar, one call at a time."""
        through = self.fleet.nodes["entry"].http + "/services/letters/x"
        direct = f"{self.press_url}/x"
        took: dict[str, list[float]] = {through: [], direct: []}
        for _ in range(OVERHEAD_REQUESTS):
            for url, values in took.items():
                values.append(await self.post(url))
        added = percentile(took[through], 50) - percentile(took[direct], 50)
        return {"added_p50_ms": round(added * 1000, 3)}

    def cpu_s(self) -> float:
        """Return the processor seconds that the entry has used."""
        pid = self.fleet.nodes["entry"].process.popen.pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    async def throughput(self) -> dict[str, float]:
        """Small calls as fast as one entry takes them."""
        url = self.fleet.nodes["entry"].http + "/services/letters/x"
        end_s = time.monotonic() + BUSY_S
        before_s = self.cpu_s()

        async def call() -> int:
            count = 0
            while time.monotonic() < end_s:
                await self.post(url)
                count += 1
            return count

        done = sum(await asyncio.gather(*(call() for _ in range(BUSY_CALLERS))))
        used_s = self.cpu_s() - before_s
        return {
            "requests_per_s": round(done / BUSY_S, 1),
            "cpu_us_per_request": round(used_s / done * 1e6, 1),
            **await self.token_frames(),
        }

    async def token_frames(self) -> dict[str, float]:
        """Processor time for each streamed token at a steady load."""
        before_s = self.cpu_s()
        outcomes = await self.ours.run(0.9)
        tokens = sum(o.tokens for o in outcomes if o.status == 200)
        return {"cpu_us_per_token": round((self.cpu_s() - before_s) / tokens * 1e6, 1)}


async def run(folder: Path) -> dict:
    """Run the processes; return their figures."""
    fleet = Fleet(folder)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    try:
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            bench = Bench(fleet, session)
            await bench.start()
            return await bench.figures()
    finally:
        fleet.stop()


def main() -> int:
    """Run both halves and print the figures."""
    folder = Path(tempfile.mkdtemp(prefix="bench-load-"))
    try:
        processes = asyncio.run(run(folder))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(json.dumps({"processes": processes, "policy": policy_figures()}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
