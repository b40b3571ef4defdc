"""Fake callers that send a steady load and check each response."""

import asyncio
import itertools
import json
import random
import time
from collections import Counter
from typing import NamedTuple

import aiohttp

EXPIRY_MS = 120_000
MAX_SENDS = 6


class Outcome(NamedTuple):
    """Outcome of a caller's request."""

    name: str
    account: str
    key: str
    status: int
    code: int
    not_run: bool
    own_answer: bool
    complete: bool
    version: str
    seconds: float


class Workload(NamedTuple):
    """Kind of request."""

    entry: str
    path: str
    idempotent: bool
    stream: bool
    max_tokens: int
    account: str


class Callers:
    """Sends workloads at a steady rate to randomly chosen entries.

    Parameters
    ----------
    entries : list of str
        Base URLs of the entries.
    workloads : list of Workload
        Workloads, sent round-robin.
    rate : float
        Requests per second.
    seed : int
        Seeds the choice of entries.
    """

    def __init__(
        self, entries: list[str], workloads: list[Workload], rate: float, seed: int = 1
    ):
        self.entries = entries
        self.workloads = workloads
        self.rate = rate
        self.rng = random.Random(seed)
        self.outcomes: list[Outcome] = []
        self.started = 0
        self.stopping = False
        self.request_names = itertools.count(1)

    async def run(self) -> None:
        """Send until `stopping` is set, then wait for the outstanding responses."""
        tasks: set[asyncio.Task] = set()
        timeout = aiohttp.ClientTimeout(total=60)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            for workload in itertools.cycle(self.workloads):
                if self.stopping:
                    break
                task = asyncio.create_task(self.send(session, workload))
                self.started += 1
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / self.rate)
            await asyncio.gather(*tasks)

    async def send(self, session: aiohttp.ClientSession, workload: Workload) -> None:
        """Send a request; resend it if it got no response or was rejected with 503."""
        name = f"p{next(self.request_names)}"
        key = "" if workload.idempotent else f"key-{name}"
        headers = {"X-Client-Account": workload.account}
        if key:
            headers["Idempotency-Key"] = key
            expires_ms = int(time.time() * 1000) + EXPIRY_MS
            headers["Idempotency-Expires"] = str(expires_ms)
        started = time.monotonic()
        outcome = None
        for _ in range(MAX_SENDS):
            outcome = await self.send_once(session, workload, name, headers)
            if outcome.status and not (outcome.not_run and outcome.status == 503):
                break
            headers["Idempotency-Resend"] = "1"
            await asyncio.sleep(0.2)
        self.outcomes.append(
            outcome._replace(key=key, seconds=time.monotonic() - started)
        )

    async def send_once(
        self,
        session: aiohttp.ClientSession,
        workload: Workload,
        name: str,
        headers: dict[str, str],
    ) -> Outcome:
        """Send to one entry and check the response."""
        url = self.rng.choice(self.entries) + workload.path
        body = {
            "model": workload.entry,
            "prompt": name,
            "max_tokens": workload.max_tokens,
            "stream": workload.stream,
        }
        try:
            async with session.post(url, json=body, headers=headers) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Outcome(
                name, workload.account, "", 0, 0, False, True, False, "", 0.0
            )
        version = response.headers.get("X-Model-Version", "")
        if response.status != 200:
            error = read_error(text)
            return Outcome(
                name,
                workload.account,
                "",
                response.status,
                error.get("code", 0),
                error.get("not_run", False),
                True,
                True,
                version,
                0.0,
            )
        own, complete = check_response(workload, name, text)
        return Outcome(
            name, workload.account, "", 200, 0, False, own, complete, version, 0.0
        )


def read_error(text: str) -> dict:
    """Return the error object of a response; empty if it has another format."""
    try:
        return json.loads(text).get("error", {})
    except (json.JSONDecodeError, AttributeError):
        return {}


def check_response(workload: Workload, name: str, text: str) -> tuple[bool, bool]:
    """Return whether a response belongs to the request, and whether it is complete."""
    if workload.path != "/v1/completions":
        return json.loads(json.loads(text)["echo"])["prompt"] == name, True
    if workload.stream:
        lines = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
        complete = bool(lines) and lines[-1] == "[DONE]"
        events = [json.loads(line) for line in lines if line != "[DONE]"]
        generated = "".join(event["choices"][0]["text"] for event in events)
    else:
        generated, complete = json.loads(text)["choices"][0]["text"], True
    expected = "".join(f"{name}:{i} " for i in range(workload.max_tokens))
    return generated.startswith(f"{name}:"), complete and generated == expected


class Summary(NamedTuple):
    """Counts of outcomes and violations, from the callers' and fakes' records."""

    requests: int
    answered: int
    refused: int
    failed: int
    lost: int
    duplicated: int
    mixed_version: int
    wrong_caller: int
    false_not_run: int


def summarize(started: int, outcomes: list[Outcome], records: list[dict]) -> Summary:
    """Compare what callers received with what the targets executed.

    ``lost`` counts requests without a response, and requests that got a success
    response which is truncated or which no target executed. ``failed`` counts explicit
    errors that do not guarantee that the request was not executed.
    """
    executed = [record for record in records if record["event"] == "ran"]
    executions_by_key = Counter((r["account"], r["key"]) for r in executed if r["key"])
    executed_prompts = {prompt_of(record) for record in executed}
    answered = [o for o in outcomes if o.status == 200 and o.complete]
    refused = [o for o in outcomes if o.status != 200 and o.not_run]
    failed = [o for o in outcomes if o.status not in (0, 200) and not o.not_run]
    lost = started - len(outcomes) + sum(o.status == 0 for o in outcomes)
    lost += sum(o.status == 200 and not o.complete for o in outcomes)
    lost += sum(o.name not in executed_prompts for o in answered)
    mixed = sum(r["version"] != r["version_at_end"] for r in executed)
    mixed += sum(r["event"] == "load_while_running" for r in records)
    mixed += sum(
        r["event"] == "loaded" and r["version"] != r["ordered"] for r in records
    )
    return Summary(
        started,
        len(answered),
        len(refused),
        len(failed),
        lost,
        sum(count > 1 for count in executions_by_key.values()),
        mixed,
        sum(not o.own_answer for o in outcomes),
        sum(o.key != "" and o.name in executed_prompts for o in refused),
    )


def prompt_of(record: dict) -> str:
    """Return the name of a caller's request from a record of an engine or service."""
    prompt = record["prompt"]
    if prompt.startswith("{"):
        return json.loads(prompt).get("prompt", "")
    return prompt
