"""Clients that send requests at a steady rate and record the answers."""

import asyncio
import itertools
import uuid

import aiohttp


class Clients:
    """Sends requests of one route to the entries in turn; `sent` holds the times."""

    def __init__(self, deployment, session, entries, method, path, per_s, headers=None):
        self.deployment, self.session = deployment, session
        self.entries = itertools.cycle(entries)
        self.method, self.path, self.per_s = method, path, per_s
        self.headers = {"X-Deadline-Ms": "3000"} | (headers or {})
        self.sent, self.answers = {}, {}
        self.tasks = set()

    async def run(self, for_s):
        """Send for some seconds, then wait for the answers."""
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        for number in range(int(for_s * self.per_s)):
            await asyncio.sleep(max(0.0, begin_s + number / self.per_s - loop.time()))
            self.start_one()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def start_one(self):
        """Send one request."""
        task = asyncio.create_task(self.send(uuid.uuid4().hex[:16]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, attempt):
        """Send one request, and record its answer."""
        entry = next(self.entries)
        headers = {
            "Host": "letters.example",
            "X-Request-Attempt-Id": attempt,
            "Authorization": "Bearer key-council",
            **{k: v.replace("{attempt}", attempt) for k, v in self.headers.items()},
        }
        limit_s = int(self.headers["X-Deadline-Ms"]) / 1000
        self.sent[attempt] = self.deployment.now_s()
        self.deployment.record(f"client sends {attempt} to {entry}")
        try:
            async with self.session.request(
                self.method,
                f"http://{entry}{self.path}",
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=limit_s),
            ) as response:
                await response.read()
                self.answers[attempt] = str(response.status)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.answers[attempt] = repr(error)
        self.deployment.record(f"client gets {attempt}: {self.answers[attempt]}")
