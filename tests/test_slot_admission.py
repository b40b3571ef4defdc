"""A sidecar's answers to entries that ask for a place."""

import asyncio
import types

from tests.fakes.links import WrittenLink
from wisteriapulley.rollout.admission import SlotAdmission
from wisteriapulley.routing import Engine
from wisteriapulley.wire import Frame, messages

PATIENCE_S = 10.0
ENGINE = Engine("m", 16, 5, 9.27, 0.0232, 20.7)
# The places' clock runs so many times faster than the test's.
SPEED = 20


class Asker(WrittenLink):
    """An entry's link."""

    peer_id = "entry-x"

    def post(self, message, reply_to=0):
        self.taken.append(message)

    def beat(self):
        return


def granting_of(engine):
    knowledge = types.SimpleNamespace(
        held_version=lambda: 1, is_near=lambda link: False
    )
    granting = SlotAdmission(knowledge)
    granting.server = types.SimpleNamespace(links=())
    granting.slots.engine = engine
    granting.slots.open = True
    return granting


async def reserve(granting, link, number, wait_ms=5000):
    question = messages.Reserve(f"r{number}", 1, 90, 1, wait_ms)
    await granting.receive(question, link, Frame(number, 0, question))


class TestQueue:
    def test_request_that_waits_in_vain_is_denied_without_any_other_event(self):
        """Load: a full engine whose requests run for long; nobody else asks."""

        async def run():
            granting = granting_of(ENGINE)
            loop = asyncio.get_running_loop()
            granting.now_ms = lambda: loop.time() * 1000 * SPEED
            looking = asyncio.create_task(granting.advance_loop())
            link = Asker()
            asking = [
                asyncio.create_task(reserve(granting, link, number))
                for number in range(40)
            ]
            while not granting.slots.queue:
                await asyncio.sleep(0)
            waiting = len(granting.slots.queue)
            async with asyncio.timeout(PATIENCE_S):
                await asyncio.gather(*asking)
            answers = [m for m in link.taken if isinstance(m, messages.Reserved)]
            verdicts = [answer for answer in answers if not answer.queued]
            assert len(verdicts) == 40
            assert sum(not verdict.granted for verdict in verdicts) >= waiting
            # Each of those that wait is told so once, before its verdict.
            assert len(answers) - len(verdicts) == waiting
            looking.cancel()

        asyncio.run(run())

    def test_idle_queue_is_not_looked_at(self):
        async def run():
            granting = granting_of(ENGINE)
            looks = []
            granting.advance = lambda: looks.append(1)
            looking = asyncio.create_task(granting.advance_loop())
            await asyncio.sleep(0.1)
            assert looks == []
            looking.cancel()

        asyncio.run(run())
