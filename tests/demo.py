"""End-to-end demo in one run: ``make demo``.

Start control instances, entries and sidecars as separate processes, generate steady
load, apply a second version of the weights under this load, and check the system's
guarantees against the records of the fakes.
"""

import asyncio
import json
import shutil
import sys
import time
from pathlib import Path

import aiohttp

from tests.fakes.caller import Callers, Workload, summarize
from tests.fleet import ROOT, Fleet

FOLDER = ROOT / ".demo"
MODEL_BYTES = 24 << 20
SHARED_BYTES = 4 << 20
CHUNK_BYTES = 1 << 20
REQUESTS_PER_S = 60.0
SWITCH_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.1
MAX_CONFIG_S = 12.0
TRINACRIA = "aste-riunite-trinacria"
LETTERCRAFT = "lettercraft"
DOMAINS = {
    TRINACRIA: ["palermo", "catania", "agrigento"],
    LETTERCRAFT: ["galway", "swords", "belfast"],
}
# Services of each owner: name, kind and number of targets.
SERVICES = {
    TRINACRIA: [
        ("report-writing", "engine", 6),
        ("bidding-and-titles", "plain", 3),
        ("dealer-management", "plain", 1),
    ],
    LETTERCRAFT: [
        ("letter-models", "engine", 8),
        ("print-proof", "plain", 3),
        ("intake", "plain", 1),
    ],
}
COMPLETIONS = "/v1/completions"
WORKLOADS = [
    Workload("condition-reports", COMPLETIONS, True, True, 20, "dealer-1"),
    Workload(
        "bid-confirmations",
        "/services/bid-confirmations/bids",
        False,
        False,
        1,
        "dealer-2",
    ),
    Workload("lot-descriptions", COMPLETIONS, True, False, 8, "dealer-3"),
    Workload("titles", "/services/titles/check", True, False, 1, "dealer-1"),
    Workload("bid-summaries", COMPLETIONS, True, True, 4, "dealer-4"),
    Workload("letter-drafts", COMPLETIONS, True, True, 12, "council-1"),
    Workload(
        "posted-letters",
        "/services/posted-letters/letters",
        False,
        False,
        1,
        "solicitor-1",
    ),
    Workload("audit-summaries", COMPLETIONS, True, False, 4, "utility-1"),
]


def start(fleet: Fleet) -> None:
    """Start all processes."""
    fleet.start_origin()
    fleet.start_store()
    fleet.start_control(DOMAINS[TRINACRIA])
    for owner, services in SERVICES.items():
        for service, kind, count in services:
            for number in range(count):
                domain = DOMAINS[owner][number % 3]
                fleet.start_target(f"{service}-{number + 1}", domain, service, kind)
    fleet.start_entry("entry-1", "palermo")
    fleet.start_entry("entry-2", "galway")


def apply_version(fleet: Fleet, version: str) -> None:
    """Set a version in the catalogues of both owners and apply them."""
    for owner, name in ((TRINACRIA, "trinacria"), (LETTERCRAFT, "lettercraft")):
        folder = fleet.folder / "catalogue" / name
        folder.mkdir(parents=True, exist_ok=True)
        for path in sorted((ROOT / "examples" / name).glob("*.json")):
            entry = json.loads(path.read_text())
            if "version" in entry:
                entry["version"] = version
            (folder / path.name).write_text(json.dumps(entry, indent=2))
        fleet.apply(folder, owner)


def engine_nodes(fleet: Fleet) -> list[str]:
    """Return the node ids of the sidecars of engines."""
    return [
        name
        for name, node in fleet.nodes.items()
        if node.settings.get("kind") == "engine"
    ]


class Status:
    """Client for the status of the fleet at a control instance."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession):
        self.url = f"{fleet.nodes['control-1'].http}/v1/status"
        token = (fleet.folder / f"{TRINACRIA}.token").read_text()
        self.headers = {"Authorization": f"Bearer {token}"}
        self.session = session

    async def read(self) -> dict:
        """Return the status object."""
        async with self.session.get(self.url, headers=self.headers) as response:
            return await response.json()


async def wait_for_switch(
    status: Status, names: list[str], version: str, revision: int, nodes: int
) -> tuple[float, dict[str, float]]:
    """Wait until all nodes in `names` serve `version`.

    Returns
    -------
    seconds, config_seconds : float, dict
        Seconds until all replicas serve the version, and until all nodes of each
        failure domain have the revision. Both count from the start of the
        operators' commands, which run one after another.
    """
    start_s = time.monotonic()
    config: dict[str, float] = {}
    while time.monotonic() - start_s < SWITCH_TIMEOUT_S:
        rows = (await status.read())["nodes"]
        elapsed = time.monotonic() - start_s
        if len(rows) >= nodes:
            record_domain_times(rows, revision, elapsed, config)
        done = [
            row["node_id"]
            for row in rows
            if row["version"] == version and row["state"] == "open"
        ]
        if set(names) <= set(done):
            return elapsed, config
        await asyncio.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"only {sorted(done)} of {sorted(names)} serve {version}")


def record_domain_times(
    rows: list[dict], revision: int, elapsed: float, config: dict[str, float]
) -> None:
    """Record when all nodes of a failure domain first have the revision."""
    for domain in {row["failure_domain"] for row in rows}:
        lowest = min(r["revision"] for r in rows if r["failure_domain"] == domain)
        if lowest >= revision:
            config.setdefault(domain, round(elapsed, 2))


async def run(fleet: Fleet) -> dict:
    """Run the demo; return its results."""
    start(fleet)
    controls = [settings["node_id"] for settings in fleet.controls]
    await fleet.wait_ready(controls)
    first = fleet.publish(1, MODEL_BYTES, CHUNK_BYTES, SHARED_BYTES)
    second = fleet.publish(2, MODEL_BYTES, CHUNK_BYTES, SHARED_BYTES)
    apply_version(fleet, first)
    await fleet.wait_ready()
    entries = [fleet.nodes[name].http for name in ("entry-1", "entry-2")]
    callers = Callers(entries, WORKLOADS, REQUESTS_PER_S)
    load = asyncio.create_task(callers.run())
    await asyncio.sleep(3)
    before = origin_bytes(fleet)
    async with aiohttp.ClientSession() as session:
        status = Status(fleet, session)
        revision = (await status.read())["revision"] + len(SERVICES)
        node_count = len(fleet.nodes) - len(controls)
        names = engine_nodes(fleet)
        applying = asyncio.create_task(asyncio.to_thread(apply_version, fleet, second))
        seconds, config = await wait_for_switch(
            status, names, second, revision, node_count
        )
        await applying
    await asyncio.sleep(3)
    callers.stopping = True
    await load
    judgement = summarize(callers.started, callers.outcomes, fleet.records("target-"))
    origin_bytes_sent = origin_bytes(fleet) - before
    return {
        "replicas": len(names),
        "seconds_to_replicas": round(seconds, 2),
        "origin_copies": round(origin_bytes_sent / (MODEL_BYTES - SHARED_BYTES), 2),
        **judgement._asdict(),
        "config_seconds_by_failure_domain": config,
    }


def origin_bytes(fleet: Fleet) -> int:
    """Return the bytes that the origin and the store sent, by their records."""
    sent = [*fleet.records("origin"), *fleet.records("store")]
    return sum(record["bytes"] for record in sent if record["event"] == "sent")


def violated_guarantees(figures: dict) -> list[str]:
    """Return the names of the guarantees that the results violate."""
    guarantees = [
        "lost",
        "duplicated",
        "mixed_version",
        "wrong_caller",
        "false_not_run",
    ]
    found = [name for name in guarantees if figures[name]]
    config = figures["config_seconds_by_failure_domain"]
    if len(config) < 6 or max(config.values()) > MAX_CONFIG_S:
        found.append("config_seconds_by_failure_domain")
    return found


def format_table(figures: dict) -> str:
    """Format the results as a readable table."""
    lines = ["", "wisteriapulley demo", "=" * 60]
    for name, value in figures.items():
        if isinstance(value, dict):
            lines.append(name.replace("_", " "))
            lines += [f"    {key:<34}{item}" for key, item in sorted(value.items())]
        else:
            lines.append(f"{name.replace('_', ' '):<38}{value}")
    return "\n".join(lines)


def main() -> int:
    """Run the demo; return 1 if a guarantee is violated."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    fleet = Fleet(Path(FOLDER))
    try:
        figures = asyncio.run(run(fleet))
    finally:
        fleet.stop()
    print(format_table(figures))
    violated = violated_guarantees(figures)
    print("violated guarantees: " + (", ".join(violated) if violated else "none"))
    print(json.dumps(figures))
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main())
