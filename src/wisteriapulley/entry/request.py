"""Parse and check callers' HTTP requests."""

import re
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
RESEND_HEADER = "Idempotency-Resend"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
COMPLETIONS_PATH = "/v1/completions"
SERVICE_PREFIX = "/services/"
MAX_NUMBER_CHARACTERS = 19
# Number of tokens that engines generate if the body has no `max_tokens`.
DEFAULT_MAX_TOKENS = 16
MAX_KEY_CHARACTERS = 255
MAX_ACCOUNT_CHARACTERS = 128
# Longest timeout a caller may request, equal to the longest expiry of a key.
MAX_TIMEOUT_MS = MAX_EXPIRY_MS
# aiohttp repeats requests of idempotent methods by itself if a kept-alive connection
# turns out to be closed. A non-idempotent class accepts only methods that it never
# repeats.
KEYED_METHODS = ("POST", "PATCH")
PRINTABLE = re.compile(r"[!-~]+")
FORWARDED_HEADERS = ("Content-Type", "Accept")


class CallerRequest(NamedTuple):
    """One request of a caller.

    Attributes
    ----------
    request_id : str
        Generated here; part of every frame and log line about the request.
    account : str
        Client account, set by the platform's balancer.
    entry : Entry
        Catalogue entry that applies to the request.
    method, path : str
        Method and path at the target.
    headers : tuple of (str, str)
        Headers that are forwarded to the target.
    body : bytes
    key : str
        Idempotency key, or empty.
    expires_ms : int
        Unix time in milliseconds after which the request may not start; 0 without
        a key.
    deadline_s : float
        Monotonic time by which the response must be complete.
    resend : bool
        Whether the caller declares that it sent this key before.
    units : float
        Size of the request: tokens of a model, bytes of a plain service.
    revision : int
        Revision of the catalogue that admitted it.
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
    resend: bool = False
    units: float = 1.0
    revision: int = 0

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.deadline_s - time.monotonic()

    def digest(self) -> bytes:
        """Return a digest of the parts that a resend must repeat."""
        parts = (self.entry.name, self.method, self.path)
        text = "\0".join(parts).encode() + b"\0" + self.body
        return blake3(text).digest()


class ModelFields(msgspec.Struct):
    """Fields of a completions body that the entry reads."""

    model: str
    max_tokens: int | None = None


def find_entry(name: str, entries: dict) -> Entry:
    """Return the catalogue entry `name`.

    Raises
    ------
    RequestError
        UNKNOWN_MODEL: the catalogue has no such entry.
    """
    stored = entries.get(name)
    if stored is None:
        raise RequestError(
            ResultCode.UNKNOWN_MODEL, f"no catalogue entry is named {name!r}"
        )
    return stored.entry


def parse_timeout_s(request: web.Request, entry: Entry) -> float:
    """Return the caller's timeout in seconds, or the catalogue entry's."""
    text = request.headers.get(TIMEOUT_HEADER, str(entry.limits.deadline_ms))
    if not is_number(text) or not 0 < int(text) <= MAX_TIMEOUT_MS:
        raise RequestError(
            ResultCode.REQUEST_MALFORMED,
            f"{TIMEOUT_HEADER}: expected 1 to {MAX_TIMEOUT_MS} whole milliseconds,"
            f" got {text!r}",
        )
    return int(text) / 1000


def is_number(text: str) -> bool:
    """Return whether a header is a whole number of bounded length."""
    return text.isascii() and text.isdigit() and len(text) < MAX_NUMBER_CHARACTERS


def parse_key(request: web.Request, entry: Entry, now_ms: int) -> tuple[str, int]:
    """Return the idempotency key and its expiry, which may have passed.

    Raises
    ------
    RequestError
        The traffic class requires them and they are missing or malformed.
    """
    if entry.idempotent:
        return "", 0
    if request.method not in KEYED_METHODS:
        raise RequestError(
            ResultCode.REQUEST_MALFORMED,
            f"expected one of {KEYED_METHODS} for a non-idempotent class,"
            f" got {request.method}",
        )
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARACTERS or not PRINTABLE.fullmatch(key):
        raise RequestError(
            ResultCode.IDEMPOTENCY_KEY_MISSING,
            f"{KEY_HEADER}: expected 1 to {MAX_KEY_CHARACTERS} printable ASCII"
            " characters",
        )
    text = request.headers.get(EXPIRES_HEADER, "")
    if not is_number(text):
        raise RequestError(
            ResultCode.IDEMPOTENCY_KEY_MISSING,
            f"{EXPIRES_HEADER}: expected Unix time in milliseconds, got {text!r}",
        )
    expires_ms = int(text)
    if expires_ms > now_ms + MAX_EXPIRY_MS:
        raise RequestError(
            ResultCode.REQUEST_MALFORMED,
            f"{EXPIRES_HEADER}: expected at most {MAX_EXPIRY_MS} ms ahead",
        )
    return key, expires_ms


def parse_account(request: web.Request) -> str:
    """Return the client account that the platform's balancer set."""
    account = request.headers.get(ACCOUNT_HEADER, "")
    if len(account) > MAX_ACCOUNT_CHARACTERS or not PRINTABLE.fullmatch(account):
        raise RequestError(
            ResultCode.REQUEST_MALFORMED,
            f"{ACCOUNT_HEADER}: expected 1 to {MAX_ACCOUNT_CHARACTERS} printable"
            " ASCII characters",
        )
    return account


def parse_target(
    request: web.Request, body: bytes, entries: dict
) -> tuple[Entry, str, float]:
    """Return the catalogue entry, the path at the target and the request's units.

    Raises
    ------
    RequestError
        UNKNOWN_MODEL, also if a model is addressed as a plain service: callers
        must not reach the other paths of its engine.
    """
    if request.path == COMPLETIONS_PATH:
        fields = parse_model(body)
        units = float(fields.max_tokens or DEFAULT_MAX_TOKENS)
        return find_entry(fields.model, entries), COMPLETIONS_PATH, units
    raw_path = request.rel_url.raw_path
    name, _, rest = raw_path.removeprefix(SERVICE_PREFIX).partition("/")
    entry = find_entry(name, entries)
    if entry.version:
        raise RequestError(
            ResultCode.UNKNOWN_MODEL,
            f"{name!r} is a model: send it to {COMPLETIONS_PATH}",
        )
    query = request.rel_url.raw_query_string
    path = f"/{rest}?{query}" if query else f"/{rest}"
    return entry, path, float(max(1, len(body)))


def parse_request(request: web.Request, body: bytes, entries: dict) -> CallerRequest:
    """Parse and check a caller's request.

    Raises
    ------
    RequestError
        The request is malformed; the code says that it did not run.
    """
    account = parse_account(request)
    entry, path, units = parse_target(request, body, entries)
    timeout_s = parse_timeout_s(request, entry)
    key, expires_ms = parse_key(request, entry, time.time_ns() // 1_000_000)
    headers = tuple(
        (name, request.headers[name])
        for name in FORWARDED_HEADERS
        if request.headers.get(name, "").isascii() and name in request.headers
    )
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
        request.headers.get(RESEND_HEADER, "0") != "0",
        units,
    )


def parse_model(body: bytes) -> ModelFields:
    """Return the fields of a completions body that the entry reads."""
    try:
        return msgspec.json.decode(body, type=ModelFields)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(
            ResultCode.REQUEST_MALFORMED, f"body: expected completions JSON: {error}"
        ) from error
