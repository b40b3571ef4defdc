"""Handshake in which both ends of a link prove that they hold the fleet key.

Each side signs both nonces, both node ids and its own direction. So a recorded proof
is invalid on any other link and can't be reflected to its sender.
"""

import hmac
import secrets
import time

from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.settings import NodeSettings, load_fleet_key
from wisteriapulley.wire.messages import Hello, Proof

PROTOCOL = 1
# Version of the set of messages that this release decodes; it grows with each new
# message that is sent to a peer of any release.
MESSAGE_SET = 2
# First version with `EvacuationNews`.
EVACUATION_MESSAGE_SET = 1
# First version with `ModelQuery`.
MODEL_QUERY_MESSAGE_SET = 2
NONCE_BYTES = 32


class Identity:
    """Identity that a process presents on each of its links.

    Parameters
    ----------
    node_id, role, failure_domain : str
        Name, role and location of the process.
    incarnation : int
        Identifies the process start; increases with each start.
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
        """Return the identity of a daemon that starts now.

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
        """Return the first message of a link, with a fresh nonce."""
        return Hello(
            PROTOCOL,
            self.node_id,
            self.role,
            self.incarnation,
            self.failure_domain,
            secrets.token_bytes(NONCE_BYTES),
            MESSAGE_SET,
        )


def knows_model_query(peer: Hello) -> bool:
    """Return whether a peer decodes `ModelQuery`.

    A process of an earlier release closes a link over which it receives an unknown
    message, and would do so after each reconnect.
    """
    return peer.message_set >= MODEL_QUERY_MESSAGE_SET


def sign(key: bytes, signer: Hello, other: Hello, opener: bool) -> Proof:
    """Sign both hellos as `signer`; `opener` is whether `signer` opened the link."""
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
        AUTHENTICATION_FAILED: the signer does not hold `key`, or the proof belongs to
        another link.
    """
    expected = sign(key, signer, other, opener)
    if not hmac.compare_digest(expected.digest, proof.digest):
        raise WireError(
            ResultCode.AUTHENTICATION_FAILED,
            f"proof of {signer.node_id!r} does not match the fleet key",
        )


def check_hello(own: Hello, peer: object) -> Hello:
    """Return the peer's first message if it is a valid hello.

    Raises
    ------
    WireError
        AUTHENTICATION_FAILED: it is not a hello, or its nonce is not fresh.
        PROTOCOL_MISMATCH: the peer speaks another version of the protocol.
    """
    if not isinstance(peer, Hello):
        raise WireError(
            ResultCode.AUTHENTICATION_FAILED,
            f"expected Hello, got {type(peer).__name__}",
        )
    if peer.protocol != own.protocol:
        raise WireError(
            ResultCode.PROTOCOL_MISMATCH,
            f"expected protocol {own.protocol}, got {peer.protocol}",
        )
    if len(peer.nonce) != NONCE_BYTES or peer.nonce == own.nonce:
        raise WireError(
            ResultCode.AUTHENTICATION_FAILED,
            "expected a fresh nonce, got a reflected one or one of another length",
        )
    return peer
