"""Explain the outcome of a request from log files.

The log lines of any number of processes are combined: the lines with the request's
id, and the lines about its targets and its entry from around the same time.
"""

import json
from collections.abc import Iterable, Iterator
from typing import NamedTuple

# Changes of a target or of control instances within this time before the end of a
# request may have caused its outcome.
CONTEXT_BEFORE_END_S = 3.0
INTERNAL_ERROR = "request ended by an internal error"
FINAL_MESSAGES = (
    "answered",
    "refused",
    "answer cut",
    "caller left",
    INTERNAL_ERROR,
)
# Messages about a target that fell silent: at the start and at the end of the silence.
SILENCE_MESSAGES = ("target silent", "silent target went on", "silent target left")
# Prefixes of messages about targets, engines and processes that can explain the
# outcome of a request.
CONTEXT_MESSAGES = (
    "places closed",
    "places open",
    "engine holds",
    "target ended under request",
    "target states a rate",
    "target asks for rest",
    "target says it leaves",
    "engine says it leaves",
    "engine turned a request away",
    "the engine does not answer",
    "weights not in place",
    "target changed",
    "target leaves",
    "no control instance",
    "the disk stalls",
    "call not acknowledged",
    "started",
    "stopping",
    "log lines dropped",
    "weights named",
)
# A request that takes longer than this misses most latency objectives.
SLOW_REQUEST_MS = 500


class LogLine(NamedTuple):
    """One log line.

    Attributes
    ----------
    timestamp : str
        Date and time as written in the log; sorts chronologically.
    node : str
        Node id of the process that wrote the line.
    message : str
        Log message.
    fields : dict
        All fields of the line.
    """

    timestamp: str
    node: str
    message: str
    fields: dict[str, object]

    @property
    def seconds_of_day(self) -> float:
        """Return the time of day in seconds."""
        clock = self.timestamp.partition(" ")[2].replace(",", ".")
        hours, minutes, seconds = clock.split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


class Explanation(NamedTuple):
    """Outcome of a request and the log lines that explain it.

    Attributes
    ----------
    request_id : str
        Id of the request.
    cause : str
        Reason for its outcome, in one sentence.
    lines : tuple of LogLine
        Log lines with its id, oldest first.
    context : tuple of LogLine
        Events at its targets and its entry shortly before its end.
    """

    request_id: str
    cause: str
    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]


def parse(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines in this project's log format.

    Text before the first brace of a line, such as a prefix added by a log
    collector, is ignored.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if "asctime" in fields and "message" in fields:
            yield LogLine(
                fields["asctime"], fields.get("node", ""), fields["message"], fields
            )


def explain(lines: Iterable[LogLine], request_id: str) -> Explanation:
    """Explain the outcome of one request from the log lines of all processes."""
    all_lines = sorted(lines, key=lambda line: line.timestamp)
    request_lines = tuple(
        x for x in all_lines if x.fields.get("request_id") == request_id
    )
    if not request_lines:
        cause = (
            "no log line has this request id: the request reached no process whose"
            " log is given, or the lines were dropped (look for 'log lines dropped')"
        )
        return Explanation(request_id, cause, (), ())
    context = tuple(find_context(all_lines, request_lines))
    return Explanation(
        request_id, find_cause(request_lines, context), request_lines, context
    )


def find_context(
    all_lines: Iterable[LogLine], request_lines: tuple[LogLine, ...]
) -> Iterator[LogLine]:
    """Yield the lines around the end of a request that may explain its outcome."""
    targets = {x.fields["target"] for x in request_lines if "target" in x.fields}
    hosts = {
        str(x.fields.get("address", "")).rpartition(":")[0] for x in request_lines
    } - {""}
    entries = {x.node for x in request_lines}
    end_s = request_lines[-1].seconds_of_day
    for line in all_lines:
        if not end_s - CONTEXT_BEFORE_END_S <= line.seconds_of_day <= end_s + 0.5:
            continue
        if "request_id" in line.fields or not line.message.startswith(CONTEXT_MESSAGES):
            continue
        about_target = line.fields.get("target") in targets
        about_host = line.fields.get("host") in hosts
        if about_target or about_host or line.node in entries or not targets:
            yield line


def find_cause(request_lines: tuple[LogLine, ...], context: tuple[LogLine, ...]) -> str:
    """Return the reason for the outcome of a request, in one sentence."""
    final = next(
        (x for x in reversed(request_lines) if x.message in FINAL_MESSAGES), None
    )
    sends = [x for x in request_lines if x.message == "placed"]
    broken_streams = [x for x in request_lines if x.message == "stream broke off"]
    if final is None:
        return (
            f"no final message: the entry {request_lines[0].node} ended while it"
            " served the request"
        )
    details = describe_rejections(request_lines) + describe_silences(request_lines)
    if final.message == "answered":
        return describe_answered(final, sends, broken_streams, context) + details
    if final.message == "refused":
        return describe_refused(final, sends, context) + details
    if final.message == "answer cut":
        return describe_cut(final, broken_streams) + details
    if final.message == INTERNAL_ERROR:
        return f"an error of the entry {final.node} itself ended the request"
    return "the caller disconnected before the response was complete"


def describe_rejections(request_lines: tuple[LogLine, ...]) -> str:
    """Return a clause that names the targets that rejected a request, or ''."""
    names = [
        str(line.fields.get("target"))
        for line in request_lines
        if line.message == "target turned a request away"
    ]
    return f"; rejected by {', '.join(names)}" if names else ""


def describe_silences(request_lines: tuple[LogLine, ...]) -> str:
    """Return a clause that names the targets that fell silent, or ''."""
    silent_ms = {
        line.fields.get("target"): line.fields.get("silent_ms")
        for line in request_lines
        if line.message in SILENCE_MESSAGES
    }
    names = [f"{target} ({ms} ms)" for target, ms in silent_ms.items()]
    return f"; silent: {', '.join(names)}" if names else ""


def describe_cut(final: LogLine, broken_streams: list[LogLine]) -> str:
    """Return why a response was truncated."""
    reason = final.fields.get("reason")
    if not broken_streams:
        return f"response truncated: {reason}"
    return (
        f"response truncated: the stream of {broken_streams[-1].fields.get('target')}"
        f" broke off ({reason}) and no other target could resume it"
    )


def describe_answered(
    final: LogLine,
    sends: list[LogLine],
    broken_streams: list[LogLine],
    context: tuple[LogLine, ...],
) -> str:
    """Return why an answered request took as long as it did."""
    took_ms = int(final.fields.get("took_ms", 0))
    status = final.fields.get("status")
    if isinstance(status, int) and status >= 500:
        return f"{final.fields.get('target')} itself returned status {status}"
    if broken_streams:
        return (
            f"answered after {took_ms} ms; the stream of"
            f" {broken_streams[-1].fields.get('target')} broke off and"
            f" {final.fields.get('target')} resumed it"
        )
    waited_ms = int(sends[0].fields.get("waited_ms", 0)) if sends else 0
    if len(sends) > 1:
        return f"answered after {took_ms} ms, sent {len(sends)} times"
    if took_ms > SLOW_REQUEST_MS and any(x.message == "places closed" for x in context):
        return (
            f"answered after {took_ms} ms, waited {waited_ms} ms for a slot while"
            " engines switched weights"
        )
    return f"answered after {took_ms} ms, waited {waited_ms} ms for a slot"


def describe_refused(
    final: LogLine, sends: list[LogLine], context: tuple[LogLine, ...]
) -> str:
    """Return why a request was refused."""
    reason = final.fields.get("reason", "")
    kind = final.fields.get("kind", "")
    text = f"refused ({kind}): {reason}"
    if sends:
        text += f"; sent to {', '.join(str(x.fields.get('target')) for x in sends)}"
    if any(x.message == "places closed" for x in context):
        text += "; engines switched weights at that time"
    return text


def render(explanation: Explanation) -> Iterator[str]:
    """Yield the lines of an explanation as text."""
    yield f"{explanation.request_id}: {explanation.cause}"
    for line in explanation.lines:
        yield f"  {line.timestamp} {line.node}: {format_line(line)}"
    if explanation.context:
        yield "context:"
    for line in explanation.context:
        yield f"  {line.timestamp} {line.node}: {format_line(line)}"


def format_line(line: LogLine) -> str:
    """Format a log line as its message followed by its fields."""
    hidden = ("asctime", "levelname", "name", "message", "node", "request_id")
    shown = {k: v for k, v in line.fields.items() if k not in hidden}
    return " ".join([line.message, *(f"{k}={v}" for k, v in shown.items())])
