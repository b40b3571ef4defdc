"""Logging never blocks and is rate-limited."""

import json
import logging
import os

import pytest

from wisteriapulley.logs import (
    BURST_S,
    INFO_LINES_PER_S,
    BoundedHandler,
    LineBudget,
    configure,
    fields,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def root():
    logger = logging.getLogger()
    handlers, level = logger.handlers[:], logger.level
    yield logger
    logger.handlers[:] = handlers
    logger.setLevel(level)


def read_lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


class TestLineBudget:
    def test_burst_then_rate(self):
        budget = LineBudget(10.0)
        assert sum(budget.spend(0.0) for _ in range(100)) == 10 * BURST_S
        assert sum(budget.spend(1.0) for _ in range(100)) == 10


class TestBoundedHandler:
    def test_line_has_node_and_fields(self, pipe, root):
        configure("n-1", descriptor=pipe[1])
        logging.info("placed", extra=fields("id-1", target="i-1"))
        (line,) = read_lines(pipe[0])
        assert (line["node"], line["message"]) == ("n-1", "placed")
        assert (line["request_id"], line["target"]) == ("id-1", "i-1")
        assert "revision" not in line

    def test_line_rate_is_limited_and_dropped_lines_are_reported(self, pipe, root):
        now = [0.0]
        handler = BoundedHandler(pipe[1], clock=lambda: now[0])
        handler.setFormatter(logging.Formatter("%(message)s"))
        root.handlers[:] = [handler]
        root.setLevel("INFO")
        for _ in range(5000):
            logging.info("routine message")
        assert handler.lost == 5000 - INFO_LINES_PER_S * BURST_S
        logging.warning("something failed")
        now[0] = 2.0
        logging.info("later")
        text = os.read(pipe[0], 1 << 20).decode().splitlines()
        assert "something failed" in text
        assert text[-1] == "log lines dropped"
        assert handler.dropped == {}

    def test_full_pipe_drops_lines_without_blocking(self, pipe, root):
        handler = BoundedHandler(pipe[1])
        handler.setFormatter(logging.Formatter("%(message)s"))
        root.handlers[:] = [handler]
        for _ in range(100):
            logging.warning("x" * 4000)
        assert handler.lost > 0
        first = os.read(pipe[0], 1 << 20)
        logging.warning("after")
        rest = os.read(pipe[0], 1 << 20)
        complete_lines = (first + rest).decode().splitlines()
        # A line that was truncated by the full pipe is completed before the next one.
        assert set(map(len, complete_lines)) <= {
            4000,
            len("after"),
            len("log lines dropped"),
        }
