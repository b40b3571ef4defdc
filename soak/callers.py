"""Callers that keep their connections, and check every answer."""

import asyncio
import logging
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from soak.promises import Ended, Judge, Sent
from soak.targets import plain_answer, stream_of
from wisteriapulley.platform import names

log = logging.getLogger(__name__)

HOST = "soak.example"
KEY = "key-of-the-soak"
PATIENCE_S = 5.0
CONNECT_S = 1.0
PAUSE_S = (0.02, 0.15)
# After a refusal a caller comes back when it is told, but not later than this.
MOST_PAUSE_S = 1.0
# Share of requests on a new connection.
FRESH_SHARE = 0.1


class RequestKind(NamedTuple):
    """One kind of request; `answer` makes the only right one from an id."""

    method: str
    path: str
    idempotent: bool
    most_targets: int
    answer: Callable[[str], bytes]


KINDS = (
    RequestKind("POST", "/stream/a%2Fb?x=%20y", True, 2, stream_of),
    RequestKind("POST", "/once/", False, 1, plain_answer),
    RequestKind("GET", "/safe/?q=1", True, 2, plain_answer),
)


class Caller:
    """One caller of one entry.

    Parameters
    ----------
    name : str
        Unique; part of each attempt's id.
    entry : str
        Name of the entry.
    address : str
        Where it is reached.
    judge : Judge
        Told of everything.
    """

    def __init__(self, name: str, entry: str, address: str, judge: Judge):
        self.name = name
        self.entry = entry
        self.address = address
        self.judge = judge
        self.rng = random.Random(name)
        self.number = 0
        self.outcomes: Counter[int] = Counter()
        self.session: aiohttp.ClientSession | None = None
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to send."""
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S + 1, sock_connect=CONNECT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        # The library would send again by itself what may have run.
        self.session._retry_connection = False
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def stop(self) -> None:
        """Stop sending, after the request in progress."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.session.close()

    async def run(self) -> None:
        """Send one request after another."""
        while True:
            pause_s = await self.ask(self.rng.choice(KINDS))
            await asyncio.sleep(pause_s or self.rng.uniform(*PAUSE_S))

    async def ask(self, kind: RequestKind) -> float:
        """Send one request; return how long to stay away."""
        self.number += 1
        request_id = f"{self.name}-{self.number}"
        body = b"body of " + request_id.encode() if kind.method == "POST" else b""
        sent = Sent(
            request_id,
            self.entry,
            kind.method,
            kind.path,
            body,
            time.monotonic(),
            kind.idempotent,
            kind.most_targets,
        )
        self.judge.note_sent(sent)
        status, data, retry_s = await self.exchange(sent)
        right = data == kind.answer(request_id)
        self.judge.note_ended(
            Ended(request_id, time.monotonic(), status, data is not None, right)
        )
        self.outcomes[status if data is not None else 0] += 1
        return min(retry_s, MOST_PAUSE_S)

    async def exchange(self, sent: Sent) -> tuple[int, bytes | None, float]:
        """Send, and read status, whole body (None if it broke off) and pause."""
        headers = {
            "Host": HOST,
            names.REQUEST_ID: sent.request_id,
            names.DEADLINE_MS: str(int(PATIENCE_S * 1000)),
            names.TOKEN_COUNTS: "100,60",
            "Authorization": f"{names.BEARER_PREFIX}{KEY}",
        }
        if self.rng.random() < FRESH_SHARE:
            headers["Connection"] = "close"
        url = aiohttp.client.URL(f"http://{self.address}{sent.path}", encoded=True)
        status, retry_s = 0, 0.0
        try:
            async with self.session.request(
                sent.method, url, data=sent.body or None, headers=headers
            ) as answer:
                status = answer.status
                retry_s = float(answer.headers.get("Retry-After", 0))
                return status, await answer.read(), retry_s
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("%s: %r", sent.request_id, error)
            return status, None, retry_s
