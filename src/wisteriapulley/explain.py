"""Tells from log files what became of a request, and why.

Lines of any number of processes are taken together: those that name the request,
and those that tell what happened to its targets and entry around that time.
"""

import json
from collections.abc import Iterable, Iterator
from typing import NamedTuple

# Changes of a target or of control instances so long before a request's end may
# have caused it.
AROUND_S = 3.0
LAST_WORDS = ("answered", "refused", "answer cut", "caller left")
# Messages about the surroundings that explain an end, by what they explain.
CIRCUMSTANCES = (
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
    "no control instance",
    "the disk stalls",
    "call not acknowledged",
    "started",
    "stopping",
    "log lines dropped",
    "weights named",
)
# A request that took longer than this came late for most objectives.
LATE_MS = 500


class LogLine(NamedTuple):
    """One line of a log.

    Attributes
    ----------
    at : str
        Time of day, as written; sorts by time.
    node : str
        The process.
    message : str
        What happened.
    fields : dict
        All that the line says.
    """

    at: str
    node: str
    message: str
    fields: dict[str, object]

    @property
    def seconds(self) -> float:
        """Seconds of the day."""
        clock = self.at.partition(" ")[2].replace(",", ".")
        hours, minutes, seconds = clock.split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


class Explanation(NamedTuple):
    """What became of a request.

    Attributes
    ----------
    request_id : str
        The request.
    cause : str
        Why it ended so, in a sentence.
    lines : tuple of LogLine
        Those that name it, oldest first.
    around : tuple of LogLine
        What happened to its targets and entry shortly before its end.
    """

    request_id: str
    cause: str
    lines: tuple[LogLine, ...]
    around: tuple[LogLine, ...]


def parse(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that are ours; anything before a line's brace is left out."""
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
    """Explain one request from the lines of all processes."""
    every = sorted(lines, key=lambda line: line.at)
    own = tuple(x for x in every if x.fields.get("request_id") == request_id)
    if not own:
        cause = (
            "no line names it: it reached no process whose log is given, or the"
            " lines were dropped (look for 'log lines dropped')"
        )
        return Explanation(request_id, cause, (), ())
    around = tuple(circumstances(every, own))
    return Explanation(request_id, cause_of(own, around), own, around)


def circumstances(
    every: Iterable[LogLine], own: tuple[LogLine, ...]
) -> Iterator[LogLine]:
    """Yield what happened around a request that may explain its end."""
    targets = {x.fields["target"] for x in own if "target" in x.fields}
    hosts = {str(x.fields.get("address", "")).rpartition(":")[0] for x in own} - {""}
    entries = {x.node for x in own}
    end_s = own[-1].seconds
    for line in every:
        if not end_s - AROUND_S <= line.seconds <= end_s + 0.5:
            continue
        if "request_id" in line.fields or not line.message.startswith(CIRCUMSTANCES):
            continue
        about_target = line.fields.get("target") in targets
        about_host = line.fields.get("host") in hosts
        if about_target or about_host or line.node in entries or not targets:
            yield line


def cause_of(own: tuple[LogLine, ...], around: tuple[LogLine, ...]) -> str:
    """Say in a sentence why a request ended as it did."""
    last = next((x for x in reversed(own) if x.message in LAST_WORDS), None)
    sends = [x for x in own if x.message == "placed"]
    broken = [x for x in own if x.message == "stream broke off"]
    if last is None:
        return f"no last word: the entry {own[0].node} ended while it was served"
    if last.message == "answered":
        return answered_cause(last, sends, broken, around) + turned_away(own)
    if last.message == "refused":
        return refused_cause(last, sends, around) + turned_away(own)
    if last.message == "answer cut":
        where = broken[-1].fields.get("target") if broken else "its target"
        return (
            f"cut in mid-answer: {where} broke off"
            f" ({last.fields.get('reason')}) and no other target could go on"
        )
    return "its caller left before the answer was whole"


def turned_away(own: tuple[LogLine, ...]) -> str:
    """Name the targets that turned a request away; empty where none did."""
    names = [
        str(line.fields.get("target"))
        for line in own
        if line.message == "target turned a request away"
    ]
    return f"; turned away by {', '.join(names)}" if names else ""


def answered_cause(
    last: LogLine,
    sends: list[LogLine],
    broken: list[LogLine],
    around: tuple[LogLine, ...],
) -> str:
    """Say why an answered request took as long as it did."""
    took_ms = int(last.fields.get("took_ms", 0))
    status = last.fields.get("status")
    if isinstance(status, int) and status >= 500:
        return f"{last.fields.get('target')} itself answered {status}"
    if broken:
        return (
            f"answered after {took_ms} ms; {broken[-1].fields.get('target')} broke"
            f" off and {last.fields.get('target')} went on"
        )
    waited_ms = int(sends[0].fields.get("waited_ms", 0)) if sends else 0
    if len(sends) > 1:
        return f"answered after {took_ms} ms, sent {len(sends)} times"
    if took_ms > LATE_MS and any(x.message == "places closed" for x in around):
        return (
            f"answered after {took_ms} ms, waited {waited_ms} ms for a place while"
            " engines changed their weights"
        )
    return f"answered after {took_ms} ms, waited {waited_ms} ms for a place"


def refused_cause(
    last: LogLine, sends: list[LogLine], around: tuple[LogLine, ...]
) -> str:
    """Say why a request was refused."""
    reason = last.fields.get("reason", "")
    kind = last.fields.get("kind", "")
    text = f"refused ({kind}): {reason}"
    if sends:
        text += f"; sent to {', '.join(str(x.fields.get('target')) for x in sends)}"
    if any(x.message == "places closed" for x in around):
        text += "; engines changed their weights at that time"
    return text


def render(explanation: Explanation) -> Iterator[str]:
    """Yield an explanation as text."""
    yield f"{explanation.request_id}: {explanation.cause}"
    for line in explanation.lines:
        yield f"  {line.at} {line.node}: {describe(line)}"
    if explanation.around:
        yield "around it:"
    for line in explanation.around:
        yield f"  {line.at} {line.node}: {describe(line)}"


def describe(line: LogLine) -> str:
    """Describe a line by its message and its fields."""
    hidden = ("asctime", "levelname", "name", "message", "node", "request_id")
    said = {k: v for k, v in line.fields.items() if k not in hidden}
    return " ".join([line.message, *(f"{k}={v}" for k, v in said.items())])
