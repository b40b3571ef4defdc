"""Requests under which targets end, as one entry finds them out."""

import asyncio
import logging

import pytest

from tests.test_direct_dispatch import watch
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.registry import Target
from wisteriapulley.direct.types import CallerRequest
from wisteriapulley.routing import Account, Route, RouteKind, Split
from wisteriapulley.wire.messages import TargetState

ROUTE = Route("r", "h", "/", RouteKind.STREAM, (Split("s", 1),), 6000, 400, 400, 1, 2)
BODY = b"body of a caller"


def admitted(body=BODY, number=1):
    request = CallerRequest(
        f"id-{number}", "POST", "/x", "h", "/x", (), body, "key-1", 0.0, 5.0
    )
    return Admitted(request, ROUTE, Account("a", ("key-1",)), 5.0)


def target(number=1, **more):
    state = TargetState(f"i-{number}", "s", f"10.0.0.{number}:80", "z", **more)
    return Target(state, 0.0)


def lines(caplog):
    return [r for r in caplog.records if r.message == "target ended under request"]


class TestCrashWatch:
    def test_names_the_same_request_of_two_attempts(self, caplog):
        async def run():
            crashes = watch(ended=True)
            await crashes.broke_off(admitted(number=1), target(1))
            await crashes.broke_off(admitted(number=2), target(2))

        asyncio.run(run())
        first, second = lines(caplog)
        assert (first.request_id, second.request_id) == ("id-1", "id-2")
        assert (first.target, second.target) == ("i-1", "i-2")
        assert first.fingerprint == second.fingerprint

    def test_shows_neither_key_nor_body(self, caplog):
        caplog.set_level(logging.DEBUG)
        asyncio.run(watch(ended=True).broke_off(admitted(), target()))
        text = str([record.__dict__ for record in caplog.records])
        assert "key-1" not in text and BODY.decode() not in text
        assert BODY.hex() not in text

    def test_connection_that_ends_alone_is_no_crash(self, caplog):
        asyncio.run(watch(ended=False).broke_off(admitted(), target()))
        assert not lines(caplog)

    @pytest.mark.parametrize("planned", [{"leaving": True}, {"gone": True}])
    def test_planned_end_is_no_crash(self, caplog, planned):
        asyncio.run(watch(ended=True).broke_off(admitted(), target(**planned)))
        assert not lines(caplog)
