"""What a connection holds of a body that is not read yet is small and bounded.

Nothing counts it, and an entry has hundreds of connections.
"""

from tests.test_request_bodies_together import head
from tests.test_requests_read_at_a_stop import play, until
from wisteriapulley.direct.kept_bytes import UNCOUNTED_BYTES

__all__ = ["play"]

LENGTH = 4 << 20
# One read of the event loop may come on top of what stops the reading.
READ_BYTES = 256 << 10


class TestBodyBehindAnotherRequest:
    def test_connection_holds_little_of_it(self, play):
        async def scenario(entry):
            entry.ingress.max_body_bytes = LENGTH
            entry.writer.write(head(1, 0))
            await until(lambda: entry.handled == ["1"])
            entry.writer.write(head(2, LENGTH) + b"x" * LENGTH)
            (connection,) = entry.ingress.active
            await until(lambda: connection._reading_paused)
            assert connection.body.total_bytes <= 2 * UNCOUNTED_BYTES + READ_BYTES
            entry.may_answer.set()
            await until(lambda: entry.statuses == [200, 200])

        play(scenario)
