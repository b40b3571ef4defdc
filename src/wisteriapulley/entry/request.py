"""Callers' HTTP requests, parsed and checked."""

import time
import uuid
from typing import NamedTuple

import msgspec
from aiohttp import web
from blake3 import blake3

from wisteriapulley.catalogue import Entry
from wisteriapulley.claims.ledger import MAX_EXPIRY_MS
from wisteriapulley.errors import RequestError, ResultCode

ACCOUNT_HEADER = "X-Client-Account"
KEY_HEADER = "Idempotency-Key"
EXPIRES_HEADER = "Idempotency-Expires"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
COMPLETIONS_PATH = "/v1/completions"
SERVICE_PREFIX = "/services/"
MAX_KEY_CHARACTERS = 255
FORWARDED = ("Content-Type", "Accept")


class CallerRequest(NamedTuple):
    """One request of a caller.

    Attributes
    ----------
    request_id : str
        Made here; on every frame and log line.
    account : str
        Client account, set by the platform's balancer.
    entry : Entry
        Catalogue entry that rules it.
    method, path : str
        At the target.
    headers : tuple of (str, str)
        That go on to the target.
    body : bytes
    key : str
        Idempotency key, or empty.
    expires_ms : int
        Unix time in milliseconds after which it may not start; 0 without key.
    deadline_s : float
        Monotonic time by which the answer must be there.
    """

    request_id: str
    account: str
    entry: Entry
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    expires_ms: int
    deadline_s: float

    def digest(self) -> bytes:
        """Return a digest of what a resend must repeat."""
        parts = (self.entry.name, self.method, self.path)
        text = "\0".join(parts).encode() + b"\0" + self.body
        return blake3(text).digest()


class ModelField(msgspec.Struct):
    """The field of a completions body that chooses the catalogue entry."""

    model: str


def find_entry(name: str, entries: dict) -> Entry:
    """Return the catalogue entry `name`.

    Raises
    ------
    RequestError
        UNKNOWN_MODEL.
    """
    stored = entries.get(name)
    if stored is None:
        raise RequestError(
            ResultCode.UNKNOWN_MODEL, f"no catalogue entry is named {name!r}"
        )
    return stored.entry


def parse_timeout_s(request: web.Request, entry: Entry) -> float:
    """Return the caller's timeout in seconds, or the entry's."""
    text = request.headers.get(TIMEOUT_HEADER, str(entry.limits.deadline_ms))
    if not text.isdigit() or int(text) == 0:
        raise RequestError(
            ResultCode.REQUEST_MALFORMED,
            f"{TIMEOUT_HEADER}: expected whole milliseconds above 0, got {text!r}",
        )
    return int(text) / 1000


def parse_key(request: web.Request, entry: Entry, now_ms: int) -> tuple[str, int]:
    """Return the idempotency key and its expiry.

    Raises
    ------
    RequestError
        The class needs them and they are missing, malformed or past.
    """
    if entry.idempotent:
        return "", 0
    key = request.headers.get(KEY_HEADER, "")
    if not key or len(key) > MAX_KEY_CHARACTERS:
        raise RequestError(
            ResultCode.IDEMPOTENCY_KEY_MISSING,
            f"{KEY_HEADER}: expected 1 to {MAX_KEY_CHARACTERS} characters",
        )
    text = request.headers.get(EXPIRES_HEADER, "")
    if not text.isdigit():
        raise RequestError(
            ResultCode.IDEMPOTENCY_KEY_MISSING,
            f"{EXPIRES_HEADER}: expected Unix time in milliseconds, got {text!r}",
        )
    expires_ms = int(text)
    if expires_ms <= now_ms:
        raise RequestError(
            ResultCode.REQUEST_EXPIRED, f"{EXPIRES_HEADER}: {text} has passed"
        )
    if expires_ms > now_ms + MAX_EXPIRY_MS:
        raise RequestError(
            ResultCode.REQUEST_MALFORMED,
            f"{EXPIRES_HEADER}: expected at most {MAX_EXPIRY_MS} ms ahead",
        )
    return key, expires_ms


async def parse_request(request: web.Request, entries: dict) -> CallerRequest:
    """Parse and check a caller's request.

    Raises
    ------
    RequestError
        It is malformed; the code says that it did not run.
    """
    account = request.headers.get(ACCOUNT_HEADER, "")
    if not account:
        raise RequestError(
            ResultCode.REQUEST_MALFORMED, f"{ACCOUNT_HEADER}: expected a client account"
        )
    body = await request.read()
    if request.path == COMPLETIONS_PATH:
        name, path = parse_model(body), request.path
    else:
        name, _, rest = request.path.removeprefix(SERVICE_PREFIX).partition("/")
        path = f"/{rest}" + (f"?{request.query_string}" if request.query_string else "")
    entry = find_entry(name, entries)
    timeout_s = parse_timeout_s(request, entry)
    key, expires_ms = parse_key(request, entry, time.time_ns() // 1_000_000)
    headers = tuple((n, request.headers[n]) for n in FORWARDED if n in request.headers)
    return CallerRequest(
        uuid.uuid4().hex,
        account,
        entry,
        request.method,
        path,
        headers,
        body,
        key,
        expires_ms,
        time.monotonic() + timeout_s,
    )


def parse_model(body: bytes) -> str:
    """Return the ``model`` of a completions body."""
    try:
        return msgspec.json.decode(body, type=ModelField).model
    except msgspec.MsgspecError as error:
        raise RequestError(
            ResultCode.REQUEST_MALFORMED, f"body: expected completions JSON: {error}"
        ) from error
