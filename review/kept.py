"""Clients that keep a channel open for many requests."""

import asyncio
import time
import uuid

CHUNK_BYTES = 1 << 16


class KeptClient:
    """A client with one kept channel to an entry.

    `lost` holds the ids of requests whose channel ended without a whole answer although
    it had served a request before.
    """

    def __init__(self, deployment, entry):
        self.deployment, self.entry = deployment, entry
        self.reader = self.writer = None
        self.served = 0
        self.answers, self.lost = [], []

    async def connect(self):
        """Open a new channel."""
        self.close()
        host, _, port = self.entry.rpartition(":")
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.served = 0

    def close(self):
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, body=b"", bytes_per_s=0.0, limit_ms=3000):
        """Send one request on the kept channel; return its status, 0 without one."""
        attempt = uuid.uuid4().hex[:16]
        try:
            if self.writer is None:
                await self.connect()
            kept = self.served > 0
            async with asyncio.timeout(limit_ms / 1000):
                status = await self.exchange(
                    method, path, body, bytes_per_s, limit_ms, attempt
                )
            self.served += 1
        except TimeoutError:
            self.close()
            status = 0
        except (OSError, EOFError, ValueError) as error:
            self.close()
            status = 0
            if kept:
                self.lost.append(attempt)
                self.deployment.record(f"channel of {attempt} ends: {error!r}")
        self.answers.append(status)
        return status

    async def exchange(self, method, path, body, bytes_per_s, limit_ms, attempt):
        """Send a request and read its answer."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: letters.example\r\n"
            f"X-Request-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {limit_ms}\r\n"
            f"Authorization: Bearer key-council\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.deployment.record(f"client sends {attempt}, {len(body)} bytes")
        self.writer.write(head.encode())
        begin_s = time.monotonic()
        for at in range(0, len(body), CHUNK_BYTES):
            self.writer.write(body[at : at + CHUNK_BYTES])
            await self.writer.drain()
            if bytes_per_s:
                due_s = begin_s + (at + CHUNK_BYTES) / bytes_per_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        await self.writer.drain()
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(lines.split(" ", 2)[1])
        fields = dict(
            line.lower().split(": ", 1) for line in lines.split("\r\n")[1:] if line
        )
        await self.reader.readexactly(int(fields["content-length"]))
        if fields.get("connection") == "close":
            self.close()
        return status
