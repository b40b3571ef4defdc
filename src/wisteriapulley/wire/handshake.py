"""Both ends of a link prove that they hold the fleet key.

Each side signs both nonces, both names and its own direction, so a recorded
proof fits no other link and can't be sent back to its maker.
"""

import hmac
import secrets
import time

from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.settings import NodeSettings, load_fleet_key
from wisteriapulley.wire.messages import Hello, Proof

PROTOCOL = 1
NONCE_BYTES = 32


class Identity:
    """What a process says of itself on each of its links.

    Parameters
    ----------
    node_id, role, failure_domain : str
        Who it is and where.
    incarnation : int
        Grows with each start.
    key : bytes
        The fleet key.
    """

    def __init__(
        self, node_id: str, role: str, failure_domain: str, incarnation: int, key: bytes
    ):
        self.node_id = node_id
        self.role = role
        self.failure_domain = failure_domain
        self.incarnation = incarnation
        self.key = key

    @classmethod
    def from_settings(cls, settings: NodeSettings, role: str) -> "Identity":
        """Make the identity of a daemon that starts now.

        Raises
        ------
        SettingsError
            The fleet key file is missing or too short.
        """
        return cls(
            settings.node_id,
            role,
            settings.failure_domain,
            time.time_ns() // 1000,
            load_fleet_key(settings.fleet_key_file),
        )

    def hello(self) -> Hello:
        """Make the first frame of a link, with a fresh nonce."""
        return Hello(
            PROTOCOL,
            self.node_id,
            self.role,
            self.incarnation,
            self.failure_domain,
            secrets.token_bytes(NONCE_BYTES),
        )


def sign(key: bytes, signer: Hello, other: Hello, opener: bool) -> Proof:
    """Sign both hellos as `signer`; `opener` says who opened the link."""
    parts = (
        b"opener" if opener else b"acceptor",
        signer.nonce,
        other.nonce,
        signer.node_id.encode(),
        other.node_id.encode(),
    )
    text = b"".join(len(part).to_bytes(4, "little") + part for part in parts)
    return Proof(hmac.digest(key, text, "sha256"))


def verify(key: bytes, proof: Proof, signer: Hello, other: Hello, opener: bool) -> None:
    """Check the proof that `signer` sent.

    Raises
    ------
    WireError
        The signer does not hold `key`, or the proof is of another link.
    """
    expected = sign(key, signer, other, opener)
    if not hmac.compare_digest(expected.digest, proof.digest):
        raise WireError(
            ResultCode.AUTHENTICATION_FAILED,
            f"{signer.node_id!r} did not prove the fleet key",
        )


def check_hello(mine: Hello, theirs: object) -> Hello:
    """Check the peer's first frame."""
    if not isinstance(theirs, Hello):
        raise WireError(
            ResultCode.AUTHENTICATION_FAILED,
            f"expected Hello, got {type(theirs).__name__}",
        )
    if theirs.protocol != mine.protocol:
        raise WireError(
            ResultCode.PROTOCOL_MISMATCH,
            f"expected protocol {mine.protocol}, got {theirs.protocol}",
        )
    if len(theirs.nonce) != NONCE_BYTES or theirs.nonce == mine.nonce:
        raise WireError(ResultCode.AUTHENTICATION_FAILED, "nonce is not fresh")
    return theirs
