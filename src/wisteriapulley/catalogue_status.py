"""What is in force by failure domain, and its display while one waits."""

import time
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from wisteriapulley.control.reports import Status, StatusRow
from wisteriapulley.errors import CatalogueError, ResultCode
from wisteriapulley.operator_client import OperatorClient

POLL_INTERVAL_S = 0.2
OPEN_STATE = "open"
MIB = 1 << 20


class DomainStatus(NamedTuple):
    """What one failure domain has in force.

    Attributes
    ----------
    revision : int
        Lowest revision of its nodes.
    nodes, current : int
        Its nodes, and those that have the wanted revision.
    replicas, serving : int
        Targets that should serve a version, and those that do.
    bytes_done, bytes_total : int
        Of the copies of its targets.
    remaining_s : float
        Estimated time to the last copy's end; -1 when not known.
    """

    name: str
    revision: int
    nodes: int
    current: int
    replicas: int
    serving: int
    bytes_done: int
    bytes_total: int
    remaining_s: float


def status_by_domain(
    status: Status, revision: int | None = None
) -> Iterator[DomainStatus]:
    """Yield each failure domain's status, in name order.

    Parameters
    ----------
    status : Status
        Of every node; those that are leaving are not waited for.
    revision : int, optional
        The wanted one; by default the accepted one.
    """
    wanted = status.revision if revision is None else revision
    rows = [row for row in status.nodes if not row.leaving]
    for name in sorted({row.failure_domain for row in rows}):
        own = [row for row in rows if row.failure_domain == name]
        yield summarize_domain(name, own, wanted)


def summarize_domain(name: str, rows: list[StatusRow], wanted: int) -> DomainStatus:
    """Sum up the rows of one failure domain."""
    replicas = [row for row in rows if row.desired]
    serving = [row for row in replicas if serves_desired_version(row)]
    copying = [
        row for row in replicas if not serves_desired_version(row) and row.bytes_total
    ]
    return DomainStatus(
        name,
        min(row.revision for row in rows),
        len(rows),
        sum(row.revision >= wanted for row in rows),
        len(replicas),
        len(serving),
        sum(row.bytes_done for row in copying) + sum(r.bytes_total for r in serving),
        sum(row.bytes_total for row in (*copying, *serving)),
        max((row.remaining_s for row in copying), default=-1.0),
    )


def serves_desired_version(row: StatusRow) -> bool:
    """Tell whether a target serves what it should."""
    return row.state == OPEN_STATE and row.version == row.desired


def status_table(status: Status) -> Iterator[str]:
    """Yield the lines of the status table."""
    yield f"accepted revision {status.revision}, leader {status.leader or 'none'}"
    yield (
        f"{'failure domain':<16}{'in force':>9}{'nodes':>10}{'replicas':>10}"
        f"{'MiB copied':>18}  time left"
    )
    for domain in status_by_domain(status):
        yield (
            f"{domain.name:<16}{domain.revision:>9}"
            f"{f'{domain.current}/{domain.nodes}':>10}"
            f"{f'{domain.serving}/{domain.replicas}':>10}"
            f"{f'{domain.bytes_done // MIB}/{domain.bytes_total // MIB}':>18}"
            f"  {format_time_left(domain)}"
        )
    yield ""
    yield f"{'node':<24}{'domain':<12}{'rev':>6}  {'state':<10}{'version':<14}copied"
    for row in sorted(status.nodes, key=lambda r: r.node_id):
        yield from node_lines(row)


def node_lines(row: StatusRow) -> Iterator[str]:
    """Yield a node's line, and why its last load failed."""
    share = 100 * row.bytes_done // row.bytes_total if row.bytes_total else 0
    copied = f"{share:>3} %" if row.bytes_total else ""
    state = f"{row.state}*" if row.leaving else row.state
    yield (
        f"{row.node_id:<24}{row.failure_domain:<12}{row.revision:>6}"
        f"  {state:<10}{row.version[:12]:<14}{copied}"
    )
    if row.detail:
        yield f"    {row.detail}"


def format_time_left(domain: DomainStatus) -> str:
    """Format the estimated time to the last replica's copy."""
    if domain.serving == domain.replicas:
        return "done"
    if domain.remaining_s < 0:
        return "not known"
    return f"{domain.remaining_s:.0f} s"


def wait_in_force(client: OperatorClient, revision: int, timeout_s: float) -> None:
    """Wait until a revision is in force everywhere, showing progress.

    Raises
    ------
    CatalogueError
        STILL_PROPAGATING after `timeout_s`; the message names who is behind.
    """
    # Imported late: only a waiting operator needs it.
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

    columns = (
        TextColumn("{task.description:<16}"),
        BarColumn(),
        MofNCompleteColumn(),
        TextColumn("{task.fields[replicas]}"),
    )
    deadline = time.monotonic() + timeout_s
    with Progress(*columns, console=Console(stderr=True)) as progress:
        tasks: dict[str, int] = {}
        while True:
            status = client.status()
            domains = list(status_by_domain(status, revision))
            update_progress(progress, tasks, domains)
            if domains and all(d.current == d.nodes for d in domains):
                return
            if time.monotonic() >= deadline:
                break
            time.sleep(POLL_INTERVAL_S)
    behind = ", ".join(lagging_node_ids(status.nodes, revision)) or "no node is known"
    raise CatalogueError(
        ResultCode.STILL_PROPAGATING,
        f"revision {revision} is accepted but not in force at: {behind}",
    )


def lagging_node_ids(rows: Iterable[StatusRow], revision: int) -> list[str]:
    """Return the nodes that lack a revision."""
    return [r.node_id for r in rows if r.revision < revision and not r.leaving]


def update_progress(
    progress, tasks: dict[str, int], domains: list[DomainStatus]
) -> None:
    """Bring the progress display up to date."""
    for domain in domains:
        if domain.name not in tasks:
            tasks[domain.name] = progress.add_task(domain.name, replicas="")
        replicas = f"{domain.serving}/{domain.replicas} replicas"
        progress.update(
            tasks[domain.name],
            completed=domain.current,
            total=domain.nodes,
            replicas=replicas if domain.replicas else "",
        )
