"""Newest report of every node, for ``catalogue status``."""

from collections.abc import Iterator, Mapping

import msgspec

from wisteriapulley.wire.messages import Announce, Report

# Weight of the newest sample in a download's rate; it averages about five reports.
RATE_SMOOTHING = 0.3
UNKNOWN_STATE = "unknown"


class StatusRow(msgspec.Struct, frozen=True):
    """State of one node.

    Attributes
    ----------
    state, version, desired : str
        State of a target, the version it serves and the one it should serve.
    bytes_done, bytes_total : int
        Progress of its download.
    remaining_s : float
        Estimated time to the end of the download; -1 if unknown.
    detail : str
        Why the last step failed, or empty.
    """

    node_id: str
    role: str
    service: str
    failure_domain: str
    revision: int
    state: str
    version: str
    desired: str
    bytes_done: int
    bytes_total: int
    detail: str
    remaining_s: float = -1.0
    leaving: bool = False


class Status(msgspec.Struct, frozen=True):
    """Response of ``/v1/status``: the accepted revision and every node's state.

    `evacuated` lists the evacuated failure domains.
    """

    revision: int
    leader: str
    nodes: tuple[StatusRow, ...]
    evacuated: tuple[str, ...] = ()


class EvacuationStatus(msgspec.Struct, frozen=True):
    """Response of ``/v1/evacuations``: the evacuated failure domains."""

    evacuated: tuple[str, ...]


class QuarantineRow(msgspec.Struct, frozen=True):
    """One quarantined request or part of prompts.

    `kind` is ``request`` or ``part``, `fingerprint` its name in logs; `ended` are the
    targets that ended under it, and `age_s` is the time since the last of them ended.
    """

    fingerprint: str
    kind: str
    ended: tuple[str, ...]
    age_s: int


class QuarantineStatus(msgspec.Struct, frozen=True):
    """Response of ``/v1/quarantine``, as far as one control instance knows."""

    quarantined: tuple[QuarantineRow, ...]


class ReportedProgress:
    """One node's newest report and the rate of its download."""

    def __init__(self, report: Report, now_ms: float):
        self.report = report
        self.progressed_at_ms = now_ms
        self.bytes_per_ms = 0.0

    def update(self, report: Report, now_ms: float) -> None:
        """Replace the report and update the rate."""
        elapsed_ms = now_ms - self.progressed_at_ms
        downloaded = report.bytes_done - self.report.bytes_done
        if report.desired != self.report.desired or downloaded < 0:
            self.bytes_per_ms = 0.0
        elif downloaded and elapsed_ms > 0:
            rate = downloaded / elapsed_ms
            first = not self.bytes_per_ms
            weight = 1.0 if first else RATE_SMOOTHING
            self.bytes_per_ms += weight * (rate - self.bytes_per_ms)
        if downloaded or report.desired != self.report.desired:
            self.progressed_at_ms = now_ms
        self.report = report

    def remaining_s(self) -> float:
        """Estimate the time to the end of the download; -1 if unknown."""
        left = self.report.bytes_total - self.report.bytes_done
        if left <= 0 or not self.bytes_per_ms:
            return -1.0
        return left / self.bytes_per_ms / 1000


class ReportTable:
    """Newest report by node id."""

    def __init__(self):
        self.progress: dict[str, ReportedProgress] = {}

    def update(self, report: Report, now_ms: float) -> bool:
        """Record a report unless it is from an earlier incarnation."""
        known = self.progress.get(report.node_id)
        if known is None or report.incarnation > known.report.incarnation:
            self.progress[report.node_id] = ReportedProgress(report, now_ms)
            return True
        if report.incarnation < known.report.incarnation:
            return False
        known.update(report, now_ms)
        return True

    def prune(self, members: Mapping[str, Announce]) -> None:
        """Drop reports of nodes that are no longer members."""
        for name in set(self.progress) - set(members):
            del self.progress[name]

    def rows(self, members: Mapping[str, Announce]) -> Iterator[StatusRow]:
        """Yield a row for each member, including those without a report."""
        for name, member in members.items():
            known = self.progress.get(name)
            if known is None or known.report.incarnation < member.incarnation:
                yield unreported_row(member)
            else:
                yield reported_row(known, member)


def unreported_row(member: Announce) -> StatusRow:
    """Return the row of a member that has not reported since it started."""
    return StatusRow(
        member.node_id,
        member.role,
        member.service,
        member.failure_domain,
        0,
        UNKNOWN_STATE,
        "",
        "",
        0,
        0,
        "",
        leaving=member.leaving,
    )


def reported_row(progress: ReportedProgress, member: Announce) -> StatusRow:
    """Return the row of a member from its newest report."""
    report = progress.report
    return StatusRow(
        report.node_id,
        report.role or member.role,
        report.service,
        report.failure_domain,
        report.revision,
        report.state,
        report.version,
        report.desired,
        report.bytes_done,
        report.bytes_total,
        report.detail,
        progress.remaining_s(),
        member.leaving,
    )
