"""Status of the catalogue by failure domain: table and progress display."""

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
    """Status of one failure domain.

    Attributes
    ----------
    revision : int
        Lowest revision of its nodes.
    nodes, current : int
        Number of its nodes, and of those that have the requested revision.
    replicas, serving : int
        Number of targets with a desired version, and of those that serve it.
    bytes_done, bytes_total : int
        Downloaded and total bytes of the local copies of its targets.
    remaining_s : float
        Estimated time until the last download ends, in seconds; -1 if unknown.
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
    """Yield the status of each failure domain, sorted by name.

    Parameters
    ----------
    status : Status
        Status of all nodes; leaving nodes are not counted.
    revision : int, optional
        Revision that nodes should have; by default the accepted one.
    """
    expected = status.revision if revision is None else revision
    rows = [row for row in status.nodes if not row.leaving]
    for name in sorted({row.failure_domain for row in rows}):
        domain_rows = [row for row in rows if row.failure_domain == name]
        yield summarize_domain(name, domain_rows, expected)


def summarize_domain(name: str, rows: list[StatusRow], expected: int) -> DomainStatus:
    """Aggregate the rows of one failure domain."""
    replicas = [row for row in rows if row.desired]
    serving = [row for row in replicas if serves_desired_version(row)]
    downloading = [
        row for row in replicas if not serves_desired_version(row) and row.bytes_total
    ]
    return DomainStatus(
        name,
        min(row.revision for row in rows),
        len(rows),
        sum(row.revision >= expected for row in rows),
        len(replicas),
        len(serving),
        sum(row.bytes_done for row in downloading)
        + sum(r.bytes_total for r in serving),
        sum(row.bytes_total for row in (*downloading, *serving)),
        max((row.remaining_s for row in downloading), default=-1.0),
    )


def serves_desired_version(row: StatusRow) -> bool:
    """Return whether a target serves its desired version."""
    return row.state == OPEN_STATE and row.version == row.desired


def status_table(status: Status) -> Iterator[str]:
    """Yield the lines of the status table."""
    yield f"accepted revision {status.revision}, leader {status.leader or 'none'}"
    if status.evacuated:
        yield f"evacuated failure domains: {', '.join(status.evacuated)}"
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
    """Yield the line of a node, and the detail of its last failed load."""
    percent = 100 * row.bytes_done // row.bytes_total if row.bytes_total else 0
    copied = f"{percent:>3} %" if row.bytes_total else ""
    state = f"{row.state}*" if row.leaving else row.state
    yield (
        f"{row.node_id:<24}{row.failure_domain:<12}{row.revision:>6}"
        f"  {state:<10}{row.version[:12]:<14}{copied}"
    )
    if row.detail:
        yield f"    {row.detail}"


def format_time_left(domain: DomainStatus) -> str:
    """Format the estimated time until the last replica has its local copy."""
    if domain.serving == domain.replicas:
        return "done"
    if domain.remaining_s < 0:
        return "not known"
    return f"{domain.remaining_s:.0f} s"


def wait_in_force(client: OperatorClient, revision: int, timeout_s: float) -> None:
    """Show progress until all nodes that are not leaving apply a revision.

    Raises
    ------
    CatalogueError
        STILL_PROPAGATING after `timeout_s`; the message has the lagging nodes.
    """
    # Imported here because only this function needs it.
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
    lagging = ", ".join(lagging_node_ids(status.nodes, revision)) or "no node is known"
    raise CatalogueError(
        ResultCode.STILL_PROPAGATING,
        f"revision {revision} is accepted but not in force at: {lagging}",
    )


def lagging_node_ids(rows: Iterable[StatusRow], revision: int) -> list[str]:
    """Return the ids of the nodes that have not applied a revision."""
    return [r.node_id for r in rows if r.revision < revision and not r.leaving]


def update_progress(
    progress, tasks: dict[str, int], domains: list[DomainStatus]
) -> None:
    """Update the progress display."""
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
