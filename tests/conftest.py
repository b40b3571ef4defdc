"""Mark the tests that KNOWN-RED.txt lists, and only those, as expected failures."""

from collections.abc import Iterator
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_red() -> Iterator[tuple[str, str]]:
    """Yield the node id and the reason of each entry that names a test."""
    for line in KNOWN_RED.read_text().splitlines():
        name, _, reason = line.partition("|")
        if "::" in name and not line.startswith("#"):
            yield name.strip(), reason.strip()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests with xfail; they still run and are reported."""
    reasons = dict(known_red())
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid]))
