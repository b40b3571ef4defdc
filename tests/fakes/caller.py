"""Fake callers: a steady load of requests, each checked as it is answered."""

import asyncio
import itertools
import json
import random
import time
from collections import Counter
from typing import NamedTuple

import aiohttp

EXPIRY_MS = 120_000
RESENDS = 6


class Outcome(NamedTuple):
    """What one caller got."""

    name: str
    account: str
    key: str
    status: int
    code: int
    not_run: bool
    own_answer: bool
    whole: bool
    version: str
    seconds: float


class Workload(NamedTuple):
    """One kind of request."""

    entry: str
    path: str
    idempotent: bool
    stream: bool
    max_tokens: int
    account: str


class Callers:
    """Sends workloads at a steady rate to entries in turn.

    Parameters
    ----------
    entries : list of str
        Base URLs.
    workloads : list of Workload
        Sent in turn.
    rate : float
        Requests a second.
    seed : int
        Of the choice of entries.
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
        self.names = itertools.count(1)

    async def run(self) -> None:
        """Send until `stopping`, then wait for the last answers."""
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
        """Send one request; resend a keyed one whose answer was lost."""
        name = f"p{next(self.names)}"
        key = "" if workload.idempotent else f"key-{name}"
        headers = {"X-Client-Account": workload.account}
        if key:
            headers["Idempotency-Key"] = key
            expires_ms = int(time.time() * 1000) + EXPIRY_MS
            headers["Idempotency-Expires"] = str(expires_ms)
        started = time.monotonic()
        outcome = None
        for _ in range(RESENDS):
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
        """Send to one entry and check the answer."""
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
        own, whole = check_answer(workload, name, text)
        return Outcome(
            name, workload.account, "", 200, 0, False, own, whole, version, 0.0
        )


def read_error(text: str) -> dict:
    """Read the error object of an answer; empty when it is not ours."""
    try:
        return json.loads(text).get("error", {})
    except (json.JSONDecodeError, AttributeError):
        return {}


def check_answer(workload: Workload, name: str, text: str) -> tuple[bool, bool]:
    """Tell whether an answer is the caller's own, and whole."""
    if workload.path != "/v1/completions":
        return json.loads(json.loads(text)["echo"])["prompt"] == name, True
    if workload.stream:
        lines = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
        whole = bool(lines) and lines[-1] == "[DONE]"
        events = [json.loads(line) for line in lines if line != "[DONE]"]
        made = "".join(event["choices"][0]["text"] for event in events)
    else:
        made, whole = json.loads(text)["choices"][0]["text"], True
    expected = "".join(f"{name}:{i} " for i in range(workload.max_tokens))
    return made.startswith(f"{name}:"), whole and made == expected


class Verdict(NamedTuple):
    """Promises kept or broken, by the fakes' own records."""

    requests: int
    answered: int
    refused: int
    failed: int
    lost: int
    duplicated: int
    mixed_version: int
    wrong_caller: int
    false_not_run: int


def judge(started: int, outcomes: list[Outcome], records: list[dict]) -> Verdict:
    """Compare what callers got with what the targets ran.

    ``lost`` counts keyed requests whose answer said success and that no target
    ran, and requests that got no answer at all; ``failed`` got an explicit
    error that is no refusal.
    """
    ran = [record for record in records if record["event"] == "ran"]
    runs_by_key = Counter((r["account"], r["key"]) for r in ran if r["key"])
    ran_prompts = {prompt_of(record) for record in ran}
    answered = [o for o in outcomes if o.status == 200 and o.whole]
    refused = [o for o in outcomes if o.status != 200 and o.not_run]
    failed = [o for o in outcomes if o.status not in (0, 200) and not o.not_run]
    lost = started - len(outcomes) + sum(o.status == 0 for o in outcomes)
    lost += sum(o.status == 200 and not o.whole for o in outcomes)
    lost += sum(o.name not in ran_prompts for o in answered)
    mixed = sum(r["version"] != r["version_at_end"] for r in ran)
    mixed += sum(r["event"] == "load_while_running" for r in records)
    mixed += sum(
        r["event"] == "loaded" and r["version"] != r["ordered"] for r in records
    )
    return Verdict(
        started,
        len(answered),
        len(refused),
        len(failed),
        lost,
        sum(count > 1 for count in runs_by_key.values()),
        mixed,
        sum(not o.own_answer for o in outcomes),
        sum(o.key != "" and o.name in ran_prompts for o in refused),
    )


def prompt_of(record: dict) -> str:
    """Return the caller's request name from an engine's or service's record."""
    prompt = record["prompt"]
    if prompt.startswith("{"):
        return json.loads(prompt).get("prompt", "")
    return prompt
