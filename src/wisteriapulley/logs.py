"""Structured logs: one JSON object a line, on standard output.

Load: a fleet in trouble logs most when it has least time. Harm prevented: a log
that is not read fast enough must not stop a process, nor take its processor time
from requests. So lines have a budget, a line that can't be written at once is
dropped, and what was dropped is counted and told.
"""

import logging
import os
import time
from collections import Counter

from pythonjsonlogger.json import JsonFormatter

LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
STDOUT = 1
# Lines a second of one process, of what tells that all goes well. An entry of
# the peak serves 12 requests a second with three lines each; a line costs 40 us.
INFO_LINES_PER_S = 100.0
# Warnings and errors explain failures, so they have a budget of their own.
WARNING_LINES_PER_S = 100.0
BURST_S = 3.0
# What was dropped is told this often.
DROP_REPORT_INTERVAL_S = 1.0
# The rest of a line of which the reader took only a part.
MAX_PENDING_BYTES = 1 << 16


class LineBudget:
    """Lines that may be written: a bucket that fills at a steady rate.

    Parameters
    ----------
    rate : float
        Lines a second; the bucket holds `BURST_S` seconds of them.
    """

    def __init__(self, rate: float):
        self.rate = rate
        self.available = rate * BURST_S
        self.refilled_s = 0.0

    def spend(self, now_s: float) -> bool:
        """Take one line, if there is one left."""
        gained = (now_s - self.refilled_s) * self.rate
        self.available = min(self.rate * BURST_S, self.available + max(0.0, gained))
        self.refilled_s = now_s
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines within a budget, and never waits for their reader.

    Parameters
    ----------
    descriptor : int
        Where to write; made non-blocking.
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    dropped : Counter
        Lines not written since this was last told, by message.
    lost : int
        Lines not written since the start.
    """

    def __init__(self, descriptor: int = STDOUT, clock=time.monotonic):
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.info_budget = LineBudget(INFO_LINES_PER_S)
        self.warning_budget = LineBudget(WARNING_LINES_PER_S)
        self.dropped: Counter[str] = Counter()
        self.lost = 0
        self.reported_s = clock()
        self.pending = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        now_s = self.clock()
        warning = record.levelno >= logging.WARNING
        budget = self.warning_budget if warning else self.info_budget
        if not budget.spend(now_s) or not self.write_record(record):
            self.dropped[str(record.msg)] += 1
            self.lost += 1
        if self.dropped and now_s - self.reported_s >= DROP_REPORT_INTERVAL_S:
            self.report_dropped(now_s)

    def write_record(self, record: logging.LogRecord) -> bool:
        """Format and write a record; tell whether it was taken."""
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return False
        return self.write(line.encode() + b"\n")

    def report_dropped(self, now_s: float) -> None:
        """Write what was dropped."""
        self.reported_s = now_s
        counts, self.dropped = dict(self.dropped), Counter()
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines dropped", (), None
        )
        record.counts = counts
        if not self.write_record(record):
            self.dropped.update(counts)

    def write(self, data: bytes) -> bool:
        """Write bytes without waiting; a line that was begun is finished first."""
        if self.pending and not self.flush_pending():
            return False
        written = self.write_some(data)
        if written == 0:
            return False
        self.pending = data[written:][:MAX_PENDING_BYTES]
        return True

    def flush_pending(self) -> bool:
        """Write the rest of a line; tell whether all of it is out."""
        written = self.write_some(self.pending)
        self.pending = self.pending[written:]
        return not self.pending

    def write_some(self, data: bytes) -> int:
        """Write what the reader takes now."""
        try:
            return os.write(self.descriptor, data)
        except (BlockingIOError, BrokenPipeError, InterruptedError):
            return 0


def configure(
    node_id: str, level: str = "INFO", descriptor: int = STDOUT
) -> BoundedHandler:
    """Send every log record to standard output as JSON.

    Parameters
    ----------
    node_id : str
        Stands on each line as ``node``.
    level : str, default="INFO"
        Name of the lowest level that is written.
    descriptor : int
        Where to write.

    Returns
    -------
    BoundedHandler
        Counts the lines that were dropped.
    """
    handler = BoundedHandler(descriptor)
    handler.setFormatter(JsonFormatter(LINE_FORMAT, static_fields={"node": node_id}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # It logs five lines for each edge of a chart.
    logging.getLogger("transitions").setLevel(logging.WARNING)
    return handler


def lines_lost() -> int:
    """Return how many lines this process has dropped."""
    handlers = logging.getLogger().handlers
    return sum(getattr(handler, "lost", 0) for handler in handlers)


def fields(
    request_id: str = "", revision: int = 0, code: int = 0, **more: object
) -> dict[str, object]:
    """Build the ``extra`` of a record: request id, revision and result code.

    Returns
    -------
    dict
        Those of the three that say something, and the keys of `more`.
    """
    named = {"request_id": request_id, "revision": revision, "code": int(code)}
    return {name: value for name, value in named.items() if value} | more
