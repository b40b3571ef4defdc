"""Stop signals that arrive while a daemon is already stopping."""

import asyncio
import os
import signal

import aiomisc
import pytest

from wisteriapulley.daemon import STOP_SIGNALS, serve

TEST_TIMEOUT_S = 30.0


class StoppingService(aiomisc.Service):
    """Records the handlers of the stop signals while it stops."""

    async def start(self):
        os.kill(os.getpid(), signal.SIGTERM)

    async def stop(self, exception=None):
        self.handlers = [signal.getsignal(number) for number in STOP_SIGNALS]


class TestRepeatedStopSignals:
    """A handler that runs for each signal keeps the loop from running the stop."""

    @pytest.fixture(autouse=True)
    def restore_handlers(self):
        handlers = {number: signal.getsignal(number) for number in STOP_SIGNALS}
        yield
        for number, handler in handlers.items():
            signal.signal(number, handler)

    def test_run_no_handler_during_the_stop(self):
        service = StoppingService()

        async def stop_by_signal():
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await serve(service)

        asyncio.run(stop_by_signal())
        assert service.handlers == [signal.SIG_IGN] * len(STOP_SIGNALS)
