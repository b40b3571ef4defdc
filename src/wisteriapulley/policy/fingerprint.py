"""Fingerprints of requests and of the parts of their prompts. Pure.

They do not depend on attempt, connection or entry.
"""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 16
# Separate these digests from others under the same key.
PERSONALIZATION = b"wp-request"
PART_PERSONALIZATION = b"wp-part"
# Marks fingerprints of parts of prompts, which are longer than those of requests.
PART_PREFIX = b"part:"
# Limit of the hash function.
MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE
LENGTH_BYTES = 8


def fingerprint(key: bytes, host: str, path: str, account: str, body: bytes) -> bytes:
    """Return the keyed digest that identifies a request.

    Without the key, a digest in a log or a frame does not reveal what a caller sent.

    Parameters
    ----------
    key : bytes
        The fleet key, so that all entries compute the same digest.
    host, path : str
        What selects the route, without the query.
    account : str
        The caller's client account; empty without one.
    body : bytes
        The complete body.

    Returns
    -------
    bytes
        `DIGEST_BYTES` long.
    """
    fields = (host.encode(), path.encode(), account.encode(), body)
    return keyed_digest(key, PERSONALIZATION, fields)


def part_fingerprint(key: bytes, service: str, part: str) -> bytes:
    """Return the keyed digest that identifies a part of a prompt at one service.

    Parameters
    ----------
    key : bytes
        The fleet key; see `fingerprint`.
    service : str
        Service that runs the prompt. What crashes its targets may be harmless to those
        of another one.
    part : str
        Id of the part.

    Returns
    -------
    bytes
        `PART_PREFIX` and `DIGEST_BYTES` more.
    """
    # A header may hold bytes that are no text.
    fields = (service.encode(), part.encode(errors="surrogateescape"))
    return PART_PREFIX + keyed_digest(key, PART_PERSONALIZATION, fields)


def is_part(digest: bytes) -> bool:
    """Return whether a fingerprint identifies a part of a prompt."""
    return digest.startswith(PART_PREFIX) and len(digest) > DIGEST_BYTES


def log_name(digest: bytes) -> str:
    """Return a fingerprint as it appears in logs and in the operators' interface."""
    return digest.removeprefix(PART_PREFIX).hex()


def keyed_digest(key: bytes, person: bytes, fields: Iterable[bytes]) -> bytes:
    """Return the digest of some fields, each with its length."""
    digest = hashlib.blake2b(
        digest_size=DIGEST_BYTES, key=key[:MAX_KEY_BYTES], person=person
    )
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES, "little"))
        digest.update(field)
    return digest.digest()
