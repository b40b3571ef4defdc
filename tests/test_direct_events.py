"""Splitting of streams into complete events."""

import random

import pytest

from wisteriapulley.direct.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n * n) for n in range(30))


class TestEventSplitter:
    @pytest.mark.parametrize("seed", range(10))
    def test_any_split_gives_the_same_bytes(self, seed):
        rng = random.Random(seed)
        splitter, passed, at = EventSplitter(), b"", 0
        while at < len(STREAM):
            size = rng.randint(1, 40)
            complete = splitter.feed(STREAM[at : at + size])
            assert complete == b"" or complete.endswith(b"\n\n")
            passed += complete
            at += size
        assert passed == STREAM
        assert splitter.last_id == "29"
        assert splitter.partial == b""

    def test_incomplete_event_is_not_returned(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        splitter.discard_partial()
        assert splitter.last_id == "1"
        assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"

    def test_event_id_after_a_version_line(self):
        splitter = EventSplitter()
        splitter.feed(b"x-weight-versions: 2\nid: 7\ndata: a\n\n")
        assert splitter.last_id == "7"
