"""Request fingerprints, independent of attempt, connection and entry. Pure."""

import hashlib

DIGEST_BYTES = 16
# Separates these digests from others under the same key.
PERSONALIZATION = b"wp-request"
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
    digest = hashlib.blake2b(
        digest_size=DIGEST_BYTES, key=key[:MAX_KEY_BYTES], person=PERSONALIZATION
    )
    for part in (host.encode(), path.encode(), account.encode(), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "little"))
        digest.update(part)
    return digest.digest()
