"""Load on the request path: ``make bench-load``; the last line is one JSON object.

``processes`` comes from real processes on loopback, ``policy`` from the policy
modules over virtual time. Each figure is reported together with that of the baseline
from the same run, round robin with unbounded queues, so that the speed of the machine
cancels out.
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
SHORT_TOKENS, LONG_TOKENS = 10, 60
LONG_FRACTION = 0.1
ACCOUNTS = [f"account-{i}" for i in range(5)]
LOADS = (0.5, 0.9, 1.0, 1.5, 3.0)
RUN_S = 4.0
WARM_UP_S = 1.0
DEADLINE_FACTOR = 5.0
MIN_DEADLINE_S = 1.0
DOMAIN = "palermo"
OWNER = "lettercraft"
OVERHEAD_REQUESTS = 300
# Longer than its queues get in a run, so that late responses are counted as late.
BASELINE_TIMEOUT_S = 30.0
THROUGHPUT_CALLERS = 48
THROUGHPUT_S = 3.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
REFUSED = 429


class Outcome(NamedTuple):
    """Outcome of one request of a caller."""

    account: str
    tokens: int
    status: int
    in_time: bool
    ended_s: float
    first_s: float
    took_s: float


def capacity_per_s() -> float:
    """Return the requests per second that use every slot fully."""
    mean_tokens = (1 - LONG_FRACTION) * SHORT_TOKENS + LONG_FRACTION * LONG_TOKENS
    return TARGETS * SLOTS / (mean_tokens * TOKEN_S)


class Load:
    """Open-loop load on one address.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client.
    url : str
        Base address for completions.
    timeout_s : float, optional
        How long callers wait; by default a little longer than their deadline.
    seed : int
        Seed of sizes, accounts and times; the same for entry and baseline.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float | None = None,
        seed: int = 1,
    ):
        self.session = session
        self.url = f"{url}/v1/completions"
        self.timeout_s = timeout_s
        self.seed = seed

    async def run(self, load: float, account_weights: list[float] | None = None):
        """Send requests at `load` times the capacity; return the outcomes."""
        rng = random.Random(self.seed)
        account_weights = account_weights or [1.0] * len(ACCOUNTS)
        start_s = time.monotonic()
        at_s = start_s
        tasks = []
        while at_s < start_s + RUN_S:
            at_s += rng.expovariate(load * capacity_per_s())
            account = rng.choices(ACCOUNTS, account_weights)[0]
            tokens = LONG_TOKENS if rng.random() < LONG_FRACTION else SHORT_TOKENS
            await asyncio.sleep(max(0.0, at_s - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(account, tokens, start_s)))
        return await asyncio.gather(*tasks)

    async def send(self, account: str, tokens: int, start_s: float) -> Outcome:
        """Send one streamed completion."""
        deadline_s = max(MIN_DEADLINE_S, DEADLINE_FACTOR * tokens * TOKEN_S)
        body = {"model": "drafts", "prompt": "p", "max_tokens": tokens, "stream": True}
        headers = {
            "X-Client-Account": account,
            "X-Request-Timeout-Ms": str(int(deadline_s * 1000)),
        }
        sent_s = time.monotonic()
        status, first_s = 0, 0.0
        try:
            async with asyncio.timeout(self.timeout_s or deadline_s + 0.5):
                async with self.session.post(
                    self.url, json=body, headers=headers
                ) as response:
                    status = response.status
                    async for _ in response.content.iter_any():
                        first_s = first_s or time.monotonic() - sent_s
        except (aiohttp.ClientError, TimeoutError):
            status = 0
        took_s = time.monotonic() - sent_s
        in_time = status == 200 and took_s <= deadline_s
        ended_s = time.monotonic() - start_s
        return Outcome(account, tokens, status, in_time, ended_s, first_s, took_s)


def goodput(outcomes: list[Outcome]) -> float:
    """Return the tokens per second of responses that met their deadline."""
    tokens = sum(
        o.tokens for o in outcomes if o.in_time and WARM_UP_S < o.ended_s < RUN_S
    )
    return tokens / (RUN_S - WARM_UP_S)


def response_times(outcomes: list[Outcome], status: int, tokens: int | None = None):
    """Return the response times of responses with a status, in seconds."""
    return [
        o.took_s for o in outcomes if o.status == status and tokens in (None, o.tokens)
    ]


def summary(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the figures of one run."""
    durations = response_times(outcomes, 200)
    first_part_s = [o.first_s for o in outcomes if o.status == 200]
    return {
        "sent": len(outcomes),
        "goodput_tokens_per_s": round(goodput(outcomes), 1),
        "answered_in_time": round(sum(o.in_time for o in outcomes) / len(outcomes), 3),
        "refused": sum(o.status == REFUSED for o in outcomes),
        "failed": sum(o.status not in (200, REFUSED) for o in outcomes),
        "p50_s": round(percentile(durations, 50), 3),
        "p99_s": round(percentile(durations, 99), 3),
        "first_p50_s": round(percentile(first_part_s, 50), 3),
        "first_p99_s": round(percentile(first_part_s, 99), 3),
        "short_p99_s": round(
            percentile(response_times(outcomes, 200, SHORT_TOKENS), 99), 3
        ),
        "refusal_p50_ms": round(
            percentile(response_times(outcomes, REFUSED), 50) * 1000, 2
        ),
        "refusal_p99_ms": round(
            percentile(response_times(outcomes, REFUSED), 99) * 1000, 2
        ),
    }


def jain(outcomes: list[Outcome]) -> float:
    """Return Jain's index of the tokens that accounts received in time."""
    tokens: dict[str, float] = defaultdict(float)
    for outcome in outcomes:
        if outcome.in_time and WARM_UP_S < outcome.ended_s < RUN_S:
            tokens[outcome.account] += outcome.tokens
    return round(jain_of([tokens[account] for account in ACCOUNTS]), 3)


class Bench:
    """The fleet under load, and the baseline proxy in front of the same targets."""

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
        plain_target = fleet.start_target("press", DOMAIN, "print-proof", "plain")
        self.plain_target_url = plain_target.settings["target_url"]
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
        self.baseline = Load(self.session, baseline_url, BASELINE_TIMEOUT_S)

    def apply(self, version: str) -> None:
        """Add entries of both services to the catalogue."""
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

    async def set_token_time(self, token_s: float) -> None:
        """Set the time per token of the first target."""
        body = {"token_s": token_s}
        url = f"{self.target_urls[0]}/fake/pace"
        async with self.session.post(url, json=body) as response:
            await response.read()

    async def run_both(self, load: float, account_weights: list[float] | None = None):
        """Run the load on the entry, then on the baseline.

        Wait afterwards until the engines have finished the baseline's late requests.
        """
        ours = await self.ours.run(load, account_weights)
        await asyncio.sleep(0.5)
        baseline = await self.baseline.run(load, account_weights)
        await self.wait_idle()
        return ours, baseline

    async def wait_idle(self) -> None:
        """Wait until no target has requests."""
        while True:
            await asyncio.sleep(0.3)
            if not any([await self.request_count(url) for url in self.target_urls]):
                return

    async def request_count(self, url: str) -> int:
        """Return the number of requests that a target runs or queues."""
        async with self.session.get(f"{url}/control/state") as response:
            state = await response.json()
        return state["running"] + state["waiting"]

    async def figures(self) -> dict:
        """Return all figures of the real processes."""
        await self.ours.run(0.5)
        by_load = {}
        for load in LOADS:
            ours, baseline = await self.run_both(load)
            by_load[str(load)] = {"ours": summary(ours), "baseline": summary(baseline)}
        goodputs = {
            k: row["ours"]["goodput_tokens_per_s"] for k, row in by_load.items()
        }
        at_load_09 = by_load["0.9"]
        return {
            "loads": by_load,
            "goodput_at_3_over_peak": round(
                goodputs["3.0"] / max(goodputs.values()), 3
            ),
            "short_p99_over_baseline": round(
                at_load_09["ours"]["short_p99_s"]
                / at_load_09["baseline"]["short_p99_s"],
                3,
            ),
            "refusal_p99_ms": by_load["3.0"]["ours"]["refusal_p99_ms"],
            "jain": await self.fairness(),
            "slow_target_p99_ratio": await self.slow_target(),
            "overhead": await self.overhead(),
            "one_entry": await self.throughput(),
        }

    async def fairness(self) -> dict[str, float]:
        """Measure fairness with one account at ten times its share of full load."""
        ours, baseline = await self.run_both(2.8, [10.0, 1.0, 1.0, 1.0, 1.0])
        return {"ours": jain(ours), "baseline": jain(baseline)}

    async def slow_target(self) -> dict[str, float]:
        """Return the p99 of short requests with a slow target over that without."""
        healthy = await self.run_both(0.5)
        await self.set_token_time(TOKEN_S * 10)
        # Detect the slow target first, so that the steady state is measured.
        await self.ours.run(0.5)
        slow = await self.run_both(0.5)
        await self.set_token_time(TOKEN_S)
        ratios = {}
        for name, with_slow, without in zip(
            ("ours", "baseline"), slow, healthy, strict=True
        ):
            slow_p99_s = percentile(response_times(with_slow, 200, SHORT_TOKENS), 99)
            ratios[name] = round(
                slow_p99_s / percentile(response_times(without, 200, SHORT_TOKENS), 99),
                3,
            )
        return ratios

    async def post(self, url: str) -> float:
        """Send one small request; return its time in seconds."""
        start_s = time.perf_counter()
        headers = {"X-Client-Account": "account-0"}
        async with self.session.post(url, data=b"{}", headers=headers) as response:
            await response.read()
            assert response.status == 200, response.status
        return time.perf_counter() - start_s

    async def overhead(self) -> dict[str, float]:
        """Measure the latency added by entry, link and sidecar, one call at a time."""
        through_entry = self.fleet.nodes["entry"].http + "/services/letters/x"
        direct = f"{self.plain_target_url}/x"
        durations: dict[str, list[float]] = {through_entry: [], direct: []}
        for _ in range(OVERHEAD_REQUESTS):
            for url, values in durations.items():
                values.append(await self.post(url))
        added = percentile(durations[through_entry], 50) - percentile(
            durations[direct], 50
        )
        return {"added_p50_ms": round(added * 1000, 3)}

    def cpu_s(self) -> float:
        """Return the processor time that the entry has used, in seconds."""
        pid = self.fleet.nodes["entry"].process.popen.pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    async def throughput(self) -> dict[str, float]:
        """Measure the maximum rate of small requests through one entry."""
        url = self.fleet.nodes["entry"].http + "/services/letters/x"
        end_s = time.monotonic() + THROUGHPUT_S
        before_s = self.cpu_s()

        async def call() -> int:
            count = 0
            while time.monotonic() < end_s:
                await self.post(url)
                count += 1
            return count

        done = sum(await asyncio.gather(*(call() for _ in range(THROUGHPUT_CALLERS))))
        used_s = self.cpu_s() - before_s
        return {
            "requests_per_s": round(done / THROUGHPUT_S, 1),
            "cpu_us_per_request": round(used_s / done * 1e6, 1),
            **await self.token_frames(),
        }

    async def token_frames(self) -> dict[str, float]:
        """Measure the processor time per streamed token at a steady load."""
        before_s = self.cpu_s()
        outcomes = await self.ours.run(0.9)
        tokens = sum(o.tokens for o in outcomes if o.status == 200)
        return {"cpu_us_per_token": round((self.cpu_s() - before_s) / tokens * 1e6, 1)}


async def run(folder: Path) -> dict:
    """Run the real processes and return their figures."""
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
    """Run both parts and print the figures."""
    folder = Path(tempfile.mkdtemp(prefix="bench-load-"))
    try:
        processes = asyncio.run(run(folder))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(json.dumps({"processes": processes, "policy": policy_figures()}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
