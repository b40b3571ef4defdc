"""A target that has ended, told from a connection that has."""

import asyncio

from tests.fleet import free_port
from wisteriapulley.direct.liveness import Liveness, refuses_connections
from wisteriapulley.direct.registry import Target
from wisteriapulley.wire.messages import TargetState


def target(number=1, **more):
    address = f"10.0.0.{number}:80"
    return Target(TargetState(f"i-{number}", "s", address, "z", **more), 0.0)


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

    def test_address_that_is_none(self):
        assert not asyncio.run(refuses_connections("nowhere"))


class TestLiveness:
    def test_requests_that_break_off_together_ask_once(self):
        asked = []

        async def refuses(address):
            asked.append(address)
            await asyncio.sleep(0)
            return True

        async def run():
            liveness = Liveness(refuses)
            one, other = target(1), target(2)
            answers = await asyncio.gather(
                *(liveness.has_ended(each) for each in (one, one, one, other))
            )
            assert answers == [True] * 4
            assert sorted(asked) == [one.address, other.address]
            assert await liveness.has_ended(one)
            assert len(asked) == 3

        asyncio.run(run())

    def test_asker_that_leaves_stops_no_other(self):
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
        """Its successor at the address takes connections."""
        one = target(1)
        one.replaced = True
        assert asyncio.run(Liveness(None).has_ended(one))
