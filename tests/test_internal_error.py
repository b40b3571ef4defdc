"""Errors of an entry while it handles a request."""

import asyncio
import logging

import pytest
from bench.turned_away import VirtualLoop

from tests.test_direct_dispatch import (
    SETTINGS,
    FakeAllocator,
    FakeAnswer,
    FakeCaller,
    FakeClient,
    crash_tracker,
    events,
)
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.types import CallerRequest, RefusalKind
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.routing import Route, RouteKind, RoutingTable, Service, Split
from wisteriapulley.wire.messages import TargetState

ROUTE = Route("r", "h", "/", RouteKind.STREAM, (Split("s", 1),), 6000, 400, 400, 1, 2)


class FailingAnswer(FakeAnswer):
    """A response whose relay raises an unexpected exception."""

    async def parts(self):
        for chunk in self.chunks:
            yield chunk
        raise KeyError("unexpected")


def serve(answer):
    """Serve one request by this answer; return refusal, caller and dispatcher."""
    registry = TargetRegistry()
    registry.update([TargetState("i", "s", "10.0.0.1:80", "z", sequence=1)], 0.0)
    caller = FakeCaller()

    async def run():
        dispatcher = Dispatcher(
            SETTINGS,
            registry,
            FakeAllocator(registry),
            FakeClient(answer),
            EntryMetrics(Metrics("e", "entry")),
            crash_tracker(),
        )
        dispatcher.set_table(RoutingTable(1, (ROUTE,), (Service("s"),)))
        request = CallerRequest(
            "id-7", "POST", "/x", "h", "/x", (), b"", "", 0.0, 5.0, 100, 50
        )
        return await dispatcher.serve(request, caller), caller, dispatcher

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(run())


class TestInternalError:
    def test_request_without_an_answer_gets_a_failure(self):
        refusal, caller, _ = serve(FailingAnswer(()))
        assert refusal.kind is RefusalKind.FAILED
        assert not caller.started

    def test_answer_that_has_begun_is_cut(self):
        refusal, caller, _ = serve(FailingAnswer((events(1, 2),)))
        assert refusal is None
        assert caller.body == events(1, 2) and caller.was_cut

    @pytest.mark.parametrize("chunks", [(), (events(1, 2),)])
    def test_is_logged_with_the_request_and_counted(self, chunks, caplog):
        with caplog.at_level(logging.ERROR):
            _, _, dispatcher = serve(FailingAnswer(chunks))
        (record,) = caplog.records
        assert record.request_id == "id-7"
        assert isinstance(record.exc_info[1], KeyError)
        assert dispatcher.metrics.internal_errors.get({}) == 1

    def test_slot_is_released(self):
        _, _, dispatcher = serve(FailingAnswer(()))
        assert dispatcher.allocator.allocated == 0

    def test_caller_that_left_is_no_error(self):
        class LeftCaller(FailingAnswer):
            async def parts(self):
                raise ConnectionResetError("caller left")
                yield

        with pytest.raises(ConnectionResetError):
            serve(LeftCaller(()))
