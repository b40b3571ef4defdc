"""Result codes and the exceptions that carry them.

`docs/reference/result-codes.md` is generated from this module.
"""

from enum import IntEnum
from typing import NamedTuple


class ResultCode(IntEnum):
    """Number of every outcome that is reported to a user."""

    OK = 0

    SETTINGS_UNREADABLE = 100
    SETTINGS_INVALID = 101
    ADDRESS_CLASH = 102
    DATA_FOLDER_MISSING = 103
    KEY_FILE_UNREADABLE = 104

    CATALOGUE_FILE_UNREADABLE = 200
    CATALOGUE_ENTRY_INVALID = 201
    REVISION_CONFLICT = 202
    CHANGE_ID_CONFLICT = 203
    NOT_OWNER = 204
    UNAUTHORIZED = 205
    NO_QUORUM = 206
    STILL_PROPAGATING = 207
    PERMIT_DENIED = 208
    HEARTBEAT_INVALID = 209
    FAILURE_DOMAIN_UNKNOWN = 210

    FRAME_MALFORMED = 300
    FRAME_TOO_LARGE = 301
    AUTHENTICATION_FAILED = 302
    LINK_CLOSED = 303
    LINK_SILENT = 304
    PROTOCOL_MISMATCH = 305
    LINK_TIMEOUT = 306
    UNEXPECTED_MESSAGE = 307

    REQUEST_MALFORMED = 400
    IDEMPOTENCY_KEY_MISSING = 401
    IDEMPOTENCY_CONFLICT = 402
    OVERLOADED = 403
    NO_TARGET = 404
    DEADLINE_EXCEEDED = 405
    MAY_HAVE_RUN = 406
    ANSWER_CUT = 407
    UNKNOWN_MODEL = 408
    GATE_CLOSED = 409
    REQUEST_EXPIRED = 410
    CLAIM_UNAVAILABLE = 411
    IN_PROGRESS = 412
    BODY_TOO_LARGE = 413
    TARGET_FAILED = 414
    ATTEMPT_TOMBSTONED = 415
    LEAVING = 416
    KEY_UNRESOLVED = 417
    NO_ROUTE = 418
    QUARANTINED = 419

    MANIFEST_INVALID = 500
    CHUNK_CORRUPTED = 501
    SOURCE_UNAVAILABLE = 502
    SOURCE_CHANGED = 503
    ENGINE_LOAD_FAILED = 504
    ENGINE_WRONG_DIGEST = 505
    ENGINE_FENCED = 506
    COPY_SUPERSEDED = 507
    CHUNK_STORE_FULL = 508

    LOG_DAMAGED = 600
    DISK_FULL = 601
    FSYNC_FAILED = 602
    IDENTITY_MISMATCH = 603
    FOLDER_LOCKED = 604
    ALREADY_FOUNDED = 605
    MEMBER_UNKNOWN = 606


class CodeEntry(NamedTuple):
    """Entry of the result code table.

    Attributes
    ----------
    meaning : str
        What happened.
    action : str
        What the user should do next.
    http_status : int
        Status of an HTTP response that carries the code.
    not_run : bool
        Whether the code guarantees that the request did not run.
    """

    meaning: str
    action: str
    http_status: int = 500
    not_run: bool = False


_RETRY = "Retry after the time given in Retry-After."

CODE_TABLE = {
    ResultCode.OK: CodeEntry("The operation succeeded.", "Nothing.", 200),
    ResultCode.SETTINGS_UNREADABLE: CodeEntry(
        "The settings file is missing or is not valid JSON.", "Correct the named file."
    ),
    ResultCode.SETTINGS_INVALID: CodeEntry(
        "A settings key is unknown, missing, or of the wrong type or unit.",
        "Correct the named key.",
    ),
    ResultCode.ADDRESS_CLASH: CodeEntry(
        "Two settings use the same address, or the address is already in use.",
        "Give each listener a different address.",
    ),
    ResultCode.DATA_FOLDER_MISSING: CodeEntry(
        "The data folder does not exist or contains no identity.",
        "Run `wisteriapulley control init` or `join` once.",
    ),
    ResultCode.KEY_FILE_UNREADABLE: CodeEntry(
        "The fleet key or operators file is missing, empty or malformed.",
        "Install the file and make it readable by the daemon.",
    ),
    ResultCode.CATALOGUE_FILE_UNREADABLE: CodeEntry(
        "A catalogue file is missing or is not valid JSON.",
        "Correct the named file.",
        400,
    ),
    ResultCode.CATALOGUE_ENTRY_INVALID: CodeEntry(
        "A catalogue entry violates a validation rule.", "Correct the named key.", 400
    ),
    ResultCode.REVISION_CONFLICT: CodeEntry(
        "The entry has changed since the base revision of the change.",
        "Read the accepted entry in the response, then apply the change again.",
        409,
    ),
    ResultCode.CHANGE_ID_CONFLICT: CodeEntry(
        "The change id was already used for a different change.",
        "Use a new change id.",
        409,
    ),
    ResultCode.NOT_OWNER: CodeEntry(
        "The entry belongs to another owner.", "Ask the owner to change it.", 403
    ),
    ResultCode.UNAUTHORIZED: CodeEntry(
        "The bearer token is missing or unknown.", "Use an operator's token.", 401
    ),
    ResultCode.NO_QUORUM: CodeEntry(
        "No majority responded; a submitted change may or may not be accepted.",
        "Resend the change with the same change id.",
        503,
    ),
    ResultCode.STILL_PROPAGATING: CodeEntry(
        "The change is accepted but not yet applied on all instances.",
        "Run `catalogue status` again.",
    ),
    ResultCode.PERMIT_DENIED: CodeEntry(
        "The version switch would exceed max_unavailable, or the permit or version"
        " is superseded.",
        "None: the sidecar retries.",
        409,
    ),
    ResultCode.HEARTBEAT_INVALID: CodeEntry(
        "A target's heartbeat lacks a field, or a field has the wrong type or is out"
        " of range; the heartbeat is rejected and registers no target.",
        "Correct the sender of the heartbeat; the message names the field.",
        400,
    ),
    ResultCode.FAILURE_DOMAIN_UNKNOWN: CodeEntry(
        "No settings, target or control instance has that failure domain.",
        "Use one of the failure domains that the message lists.",
        400,
    ),
    ResultCode.FRAME_MALFORMED: CodeEntry(
        "Bytes received on a link are not a valid frame.",
        "Check which client connects to this port.",
    ),
    ResultCode.FRAME_TOO_LARGE: CodeEntry(
        "A frame exceeds the maximum length.",
        "Check which client connects to this port.",
    ),
    ResultCode.AUTHENTICATION_FAILED: CodeEntry(
        "The peer does not have the fleet key.",
        "Install the same fleet key on all instances.",
    ),
    ResultCode.LINK_CLOSED: CodeEntry(
        "The link to the peer was closed.", "None: a new link is opened.", 503
    ),
    ResultCode.LINK_SILENT: CodeEntry(
        "The peer sent no heartbeat in time.", "None: a new link is opened.", 503
    ),
    ResultCode.PROTOCOL_MISMATCH: CodeEntry(
        "The peer uses another protocol version.", "Upgrade the older instance."
    ),
    ResultCode.LINK_TIMEOUT: CodeEntry(
        "The peer did not respond in time.", "None: the sender decides on a retry.", 504
    ),
    ResultCode.UNEXPECTED_MESSAGE: CodeEntry(
        "The peer sent a message that this role does not handle.",
        "Check the address in the settings.",
    ),
    ResultCode.REQUEST_MALFORMED: CodeEntry(
        "The request is not valid.", "Correct it as the message describes.", 400, True
    ),
    ResultCode.IDEMPOTENCY_KEY_MISSING: CodeEntry(
        "The catalogue entry is not idempotent and no Idempotency-Key was sent.",
        "Send an Idempotency-Key.",
        400,
        True,
    ),
    ResultCode.IDEMPOTENCY_CONFLICT: CodeEntry(
        "The Idempotency-Key was already used with a different body.",
        "Use a new key for a new request.",
        422,
        True,
    ),
    ResultCode.OVERLOADED: CodeEntry(
        "The request cannot meet its deadline under the current load.",
        _RETRY,
        429,
        True,
    ),
    ResultCode.NO_TARGET: CodeEntry(
        "No target of the service accepts requests.", _RETRY, 503, True
    ),
    ResultCode.DEADLINE_EXCEEDED: CodeEntry(
        "The deadline passed.", "Retry the request if it is idempotent.", 504
    ),
    ResultCode.MAY_HAVE_RUN: CodeEntry(
        "The target failed or was lost; the request may have run and is not retried.",
        "Check whether the request took effect before using a new key.",
        502,
    ),
    ResultCode.ANSWER_CUT: CodeEntry(
        "The response ended before its end marker.",
        "Discard the partial response.",
        502,
    ),
    ResultCode.UNKNOWN_MODEL: CodeEntry(
        "No catalogue entry has that name.", "Use a name from the catalogue.", 404, True
    ),
    ResultCode.GATE_CLOSED: CodeEntry(
        "The target does not accept requests.", _RETRY, 503, True
    ),
    ResultCode.REQUEST_EXPIRED: CodeEntry(
        "The request expired before it ran.", "Use a new key.", 410, True
    ),
    ResultCode.CLAIM_UNAVAILABLE: CodeEntry(
        "The claim could not be committed; the request did not run.",
        _RETRY,
        503,
        True,
    ),
    ResultCode.IN_PROGRESS: CodeEntry(
        "An earlier request with this key is still running.", _RETRY, 409
    ),
    ResultCode.BODY_TOO_LARGE: CodeEntry(
        "The body is larger than the limit.", "Send a smaller body.", 413, True
    ),
    ResultCode.TARGET_FAILED: CodeEntry(
        "The target itself returned an error.", "See the response body.", 502
    ),
    ResultCode.ATTEMPT_TOMBSTONED: CodeEntry(
        "The attempt was resolved as not run and can no longer run.",
        _RETRY,
        503,
        True,
    ),
    ResultCode.LEAVING: CodeEntry("The instance is shutting down.", _RETRY, 503, True),
    ResultCode.KEY_UNRESOLVED: CodeEntry(
        "This attempt did not run, but it is unknown whether an earlier attempt with"
        " the same key ran.",
        "Retry with the same key after the time given in Retry-After.",
        503,
    ),
    ResultCode.NO_ROUTE: CodeEntry(
        "No route of the routing table matches the request's host and path prefix.",
        "Use a host and path of the current routing table.",
        404,
        True,
    ),
    ResultCode.QUARANTINED: CodeEntry(
        "Targets crashed each time they ran this request, or prompts that share a part"
        " with it, so it is no longer sent.",
        "Change the request, or that part of its prompt; their fingerprints are in the"
        " logs of the entries.",
        503,
        True,
    ),
    ResultCode.MANIFEST_INVALID: CodeEntry(
        "The manifest is malformed or does not match its digest.",
        "Build and publish the manifest again.",
    ),
    ResultCode.CHUNK_CORRUPTED: CodeEntry(
        "A chunk does not match its digest.", "None: it is fetched from another source."
    ),
    ResultCode.SOURCE_UNAVAILABLE: CodeEntry(
        "The origin or weight store rejected the request or failed.",
        "Check the origin or weight store.",
    ),
    ResultCode.SOURCE_CHANGED: CodeEntry(
        "The origin no longer serves the bytes that the manifest describes.",
        "Publish these bytes, or set the new digest in the catalogue.",
    ),
    ResultCode.ENGINE_LOAD_FAILED: CodeEntry(
        "The engine failed to load the version.", "Read the engine's log."
    ),
    ResultCode.ENGINE_WRONG_DIGEST: CodeEntry(
        "The engine reports a different version than requested.",
        "None: the load is requested again.",
    ),
    ResultCode.ENGINE_FENCED: CodeEntry(
        "The engine rejected a stale fencing number.",
        "None: a new permit is requested.",
    ),
    ResultCode.COPY_SUPERSEDED: CodeEntry(
        "The catalogue changed to another version during the download.", "Nothing."
    ),
    ResultCode.CHUNK_STORE_FULL: CodeEntry(
        "The sidecar's chunk store has not enough free space for the version.",
        "Raise `chunk_store_bytes`, or free space on the disk of the scratch folder.",
    ),
    ResultCode.LOG_DAMAGED: CodeEntry(
        "The log is corrupted before its last records.",
        "Replace the disk and rejoin the cluster: docs/operators/lost-disk.md.",
    ),
    ResultCode.DISK_FULL: CodeEntry(
        "The data disk is full; the instance keeps running without voting.",
        "Free disk space: the instance then votes again automatically.",
    ),
    ResultCode.FSYNC_FAILED: CodeEntry(
        "fsync failed; the content of the disk is unknown.",
        "Replace the disk and rejoin the cluster.",
    ),
    ResultCode.IDENTITY_MISMATCH: CodeEntry(
        "The data folder belongs to another instance or fleet.",
        "Point the settings at the right folder.",
    ),
    ResultCode.FOLDER_LOCKED: CodeEntry(
        "Another process has locked the data folder.", "Stop the other process."
    ),
    ResultCode.ALREADY_FOUNDED: CodeEntry(
        "`control init` found a peer whose cluster is already initialized.",
        "Run `wisteriapulley control join`.",
        409,
    ),
    ResultCode.MEMBER_UNKNOWN: CodeEntry(
        "No control instance of that name is a member of the cluster.",
        "See `wisteriapulley control members`.",
        404,
    ),
}


class WisteriapulleyError(Exception):
    """Base class of errors with a result code.

    Parameters
    ----------
    code : ResultCode
        Result code of the error.
    message : str
        What was expected, what was received, and what to do next.
    retry_after_ms : int, default=0
        Delay before a retry, in milliseconds; 0 if a retry does not help.
    """

    def __init__(self, code: ResultCode, message: str, retry_after_ms: int = 0):
        super().__init__(code, message)
        self.code = code
        self.message = message
        self.retry_after_ms = retry_after_ms

    def __str__(self) -> str:
        return f"WP{self.code.value:03d} {self.code.name}: {self.message}"


class SettingsError(WisteriapulleyError):
    """Settings are unreadable or invalid."""


class CatalogueError(WisteriapulleyError):
    """Catalogue change is invalid or rejected."""


class WireError(WisteriapulleyError):
    """Link between two processes failed."""


class RequestError(WisteriapulleyError):
    """Request is answered with an error."""


class WeightsError(WisteriapulleyError):
    """Downloading or loading weights failed."""


class StorageError(WisteriapulleyError):
    """Data folder is unusable or an operation on it failed."""


class DiskFullError(StorageError):
    """Write failed because the disk is full; data synced before it is intact."""
