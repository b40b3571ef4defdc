"""Structured logs: one JSON object per line, on standard output.

A fleet with failures logs most while it is most loaded. Logging must not block a
process whose log is read too slowly, nor take processor time from requests.
Therefore lines are rate-limited, a line that cannot be written without blocking is
dropped, and dropped lines are counted and reported.
"""

import logging
import os
import time
from collections import Counter

from pythonjsonlogger.json import JsonFormatter

LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
STDOUT = 1
# Lines per second of one process below WARNING. At peak load an entry serves 12
# requests per second and writes three lines for each; a line costs 40 us.
INFO_LINES_PER_S = 100.0
# Warnings and errors explain failures, so they have a separate budget.
WARNING_LINES_PER_S = 100.0
# Burst of log lines, in seconds of their rate.
BURST_S = 3.0
# Minimum time between two reports of dropped lines.
DROP_REPORT_INTERVAL_S = 1.0
# Limit of the unwritten rest of a line that was written only in part.
MAX_PENDING_BYTES = 1 << 16


class LineBudget:
    """Token bucket that limits the rate of log lines.

    Parameters
    ----------
    rate : float
        Lines per second; the capacity is `BURST_S` seconds of this rate.
    """

    def __init__(self, rate: float):
        self.rate = rate
        self.available = rate * BURST_S
        self.refilled_s = 0.0

    def spend(self, now_s: float) -> bool:
        """Spend one token; return whether one was available."""
        gained = (now_s - self.refilled_s) * self.rate
        self.available = min(self.rate * BURST_S, self.available + max(0.0, gained))
        self.refilled_s = now_s
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Logging handler with a rate limit that never blocks.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; set to non-blocking mode.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    dropped : Counter
        Number of lines dropped since the last report, by message.
    lost : int
        Number of lines dropped since the start.
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
        """Format and write a record; return whether it was written."""
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return False
        return self.write(line.encode() + b"\n")

    def report_dropped(self, now_s: float) -> None:
        """Log the number of dropped lines by message."""
        self.reported_s = now_s
        counts, self.dropped = dict(self.dropped), Counter()
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines dropped", (), None
        )
        record.counts = counts
        if not self.write_record(record):
            self.dropped.update(counts)

    def write(self, data: bytes) -> bool:
        """Write a line without blocking, after the rest of the previous line.

        Returns False, and writes nothing of this line, if the reader is too slow.
        """
        if self.pending and not self.flush_pending():
            return False
        written = self.write_some(data)
        if written == 0:
            return False
        self.pending = data[written:][:MAX_PENDING_BYTES]
        return True

    def flush_pending(self) -> bool:
        """Write the pending rest of a line; return whether nothing is left."""
        written = self.write_some(self.pending)
        self.pending = self.pending[written:]
        return not self.pending

    def write_some(self, data: bytes) -> int:
        """Write what fits without blocking; return the number of bytes written."""
        try:
            return os.write(self.descriptor, data)
        except (BlockingIOError, BrokenPipeError, InterruptedError):
            return 0


def configure(
    node_id: str, level: str = "INFO", descriptor: int = STDOUT
) -> BoundedHandler:
    """Write all log records to standard output as JSON.

    Parameters
    ----------
    node_id : str
        Value of the field ``node`` of each line.
    level : str, default="INFO"
        Name of the lowest level that is written.
    descriptor : int
        File descriptor to write to.

    Returns
    -------
    BoundedHandler
        The installed handler, which counts the dropped lines.
    """
    handler = BoundedHandler(descriptor)
    handler.setFormatter(JsonFormatter(LINE_FORMAT, static_fields={"node": node_id}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # The library logs five lines for each state transition.
    logging.getLogger("transitions").setLevel(logging.WARNING)
    return handler


def lines_lost() -> int:
    """Return the number of log lines that this process has dropped."""
    handlers = logging.getLogger().handlers
    return sum(getattr(handler, "lost", 0) for handler in handlers)


def fields(
    request_id: str = "", revision: int = 0, code: int = 0, **more: object
) -> dict[str, object]:
    """Return the ``extra`` of a log record: request id, revision and result code.

    Returns
    -------
    dict
        Those of the three that are set, and the items of `more`.
    """
    standard_fields = {
        "request_id": request_id,
        "revision": revision,
        "code": int(code),
    }
    return {name: value for name, value in standard_fields.items() if value} | more
