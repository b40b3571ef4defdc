"""Distinction of an exited target from a lost connection."""

import asyncio
import contextlib
import socket

from tests.fleet import free_port
from wisteriapulley.direct.liveness import Liveness, refuses_connections
from wisteriapulley.direct.registry import Target
from wisteriapulley.wire.messages import TargetState


def target(number=1, **more):
    address = f"10.0.0.{number}:80"
    return Target(TargetState(f"i-{number}", "s", address, "z", **more), 0.0)


# More connections than the accept queue of `standing_listener` has room for.
QUEUED = 8


def standing_listener():
    """Return a listener that accepts nothing, with a short accept queue."""
    return socket.create_server(("127.0.0.1", 0), backlog=1)


def address_of(listener):
    host, port = listener.getsockname()
    return f"{host}:{port}"


class TestRefusesConnections:
    def test_port_without_listener(self):
        address = f"127.0.0.1:{free_port()}"
        assert asyncio.run(refuses_connections(address))

    def test_port_with_listener(self):
        async def run():
            server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
            async with server:
                port = server.sockets[0].getsockname()[1]
                return await refuses_connections(f"127.0.0.1:{port}")

        assert not asyncio.run(run())

    def test_process_that_stands_still(self):
        """The kernel accepts connections for it."""
        with standing_listener() as listener:
            assert not asyncio.run(refuses_connections(address_of(listener)))

    def test_process_that_stands_still_with_a_full_accept_queue(self):
        """The kernel drops what it can't queue, so connecting takes too long."""
        with standing_listener() as listener, contextlib.ExitStack() as stack:
            for _ in range(QUEUED):
                queued = stack.enter_context(socket.socket())
                queued.setblocking(False)
                queued.connect_ex(listener.getsockname())
            assert not asyncio.run(refuses_connections(address_of(listener)))

    def test_invalid_address(self):
        assert not asyncio.run(refuses_connections("nowhere"))


class TestLiveness:
    def test_concurrent_checks_share_one_probe(self):
        probed = []

        async def refuses(address):
            probed.append(address)
            await asyncio.sleep(0)
            return True

        async def run():
            liveness = Liveness(refuses)
            one, other = target(1), target(2)
            answers = await asyncio.gather(
                *(liveness.has_ended(each) for each in (one, one, one, other))
            )
            assert answers == [True] * 4
            assert sorted(probed) == [one.address, other.address]
            assert await liveness.has_ended(one)
            assert len(probed) == 3

        asyncio.run(run())

    def test_cancelled_check_does_not_cancel_others(self):
        async def run():
            answer = asyncio.Event()

            async def refuses(address):
                await answer.wait()
                return True

            liveness, one = Liveness(refuses), target(1)
            first = asyncio.create_task(liveness.has_ended(one))
            second = asyncio.create_task(liveness.has_ended(one))
            await asyncio.sleep(0)
            first.cancel()
            answer.set()
            assert await second

        asyncio.run(run())

    def test_replaced_target_has_ended(self):
        """Its successor at the address accepts connections."""
        one = target(1)
        one.replaced = True
        assert asyncio.run(Liveness(None).has_ended(one))
