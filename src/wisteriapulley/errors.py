"""Numbered result codes and the exceptions that carry them.

`docs/reference/result-codes.md` is generated from this module.
"""

from enum import IntEnum
from typing import NamedTuple


class ResultCode(IntEnum):
    """Number of every outcome that a user can meet."""

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
    """Row of the result code table.

    Attributes
    ----------
    meaning : str
        What happened.
    action : str
        What the reader does next.
    http_status : int
        Status of an HTTP answer that carries the code.
    not_run : bool
        Whether the code promises that the request did not run.
    """

    meaning: str
    action: str
    http_status: int = 500
    not_run: bool = False


_RETRY = "Send it again after the stated Retry-After."

CODE_TABLE = {
    ResultCode.OK: CodeEntry("The work succeeded.", "Nothing.", 200),
    ResultCode.SETTINGS_UNREADABLE: CodeEntry(
        "The settings file is missing or is not JSON.", "Correct the named file."
    ),
    ResultCode.SETTINGS_INVALID: CodeEntry(
        "A settings key is unknown, missing, or of the wrong type or unit.",
        "Correct the named key.",
    ),
    ResultCode.ADDRESS_CLASH: CodeEntry(
        "Two settings name the same address, or it is taken.",
        "Give each listener its own address.",
    ),
    ResultCode.DATA_FOLDER_MISSING: CodeEntry(
        "The data folder does not exist or holds no identity.",
        "Run `wisteriapulley control init` or `join` once.",
    ),
    ResultCode.KEY_FILE_UNREADABLE: CodeEntry(
        "The fleet key or operators file is missing, empty or malformed.",
        "Install the file and make it readable by the daemon.",
    ),
    ResultCode.CATALOGUE_FILE_UNREADABLE: CodeEntry(
        "A catalogue file is missing or is not JSON.", "Correct the named file.", 400
    ),
    ResultCode.CATALOGUE_ENTRY_INVALID: CodeEntry(
        "A catalogue entry breaks a rule.", "Correct the named key.", 400
    ),
    ResultCode.REVISION_CONFLICT: CodeEntry(
        "The entry changed since the stated revision.",
        "Read the accepted entry in the answer, then apply again.",
        409,
    ),
    ResultCode.CHANGE_ID_CONFLICT: CodeEntry(
        "The change id was already used for other content.",
        "Use a new change id.",
        409,
    ),
    ResultCode.NOT_OWNER: CodeEntry(
        "The entry belongs to another owner.", "Ask its owner.", 403
    ),
    ResultCode.UNAUTHORIZED: CodeEntry(
        "The bearer token is missing or unknown.", "Use an operator's token.", 401
    ),
    ResultCode.NO_QUORUM: CodeEntry(
        "No majority answered; a change that was sent may or may not be accepted.",
        "Resend with the same change id.",
        503,
    ),
    ResultCode.STILL_PROPAGATING: CodeEntry(
        "The change is accepted but not yet in force everywhere.",
        "Run `catalogue status` again.",
    ),
    ResultCode.PERMIT_DENIED: CodeEntry(
        "The switch would exceed max_unavailable, or is not current.",
        "None: the sidecar asks again.",
        409,
    ),
    ResultCode.HEARTBEAT_INVALID: CodeEntry(
        "A target's heartbeat lacks a field, or has one of another type or out of"
        " bounds; it names no target.",
        "Correct what announces the target; the message names the field.",
        400,
    ),
    ResultCode.FRAME_MALFORMED: CodeEntry(
        "Bytes on a link are not a valid frame.", "Check what speaks to this port."
    ),
    ResultCode.FRAME_TOO_LARGE: CodeEntry(
        "A frame is longer than the limit.", "Check what speaks to this port."
    ),
    ResultCode.AUTHENTICATION_FAILED: CodeEntry(
        "The peer does not hold the fleet key.", "Install the same fleet key."
    ),
    ResultCode.LINK_CLOSED: CodeEntry(
        "The link to the peer closed.", "None: it is replaced.", 503
    ),
    ResultCode.LINK_SILENT: CodeEntry(
        "The peer sent no heartbeat in time.", "None: the link is replaced.", 503
    ),
    ResultCode.PROTOCOL_MISMATCH: CodeEntry(
        "The peer speaks another protocol version.", "Upgrade the older instance."
    ),
    ResultCode.LINK_TIMEOUT: CodeEntry(
        "The peer did not answer in time.", "None: the sender decides.", 504
    ),
    ResultCode.UNEXPECTED_MESSAGE: CodeEntry(
        "The peer sent a message that this role does not take.",
        "Check the address in the settings.",
    ),
    ResultCode.REQUEST_MALFORMED: CodeEntry(
        "The request is not valid.", "Correct it as the message says.", 400, True
    ),
    ResultCode.IDEMPOTENCY_KEY_MISSING: CodeEntry(
        "The class is non-idempotent and no Idempotency-Key was sent.",
        "Send an Idempotency-Key.",
        400,
        True,
    ),
    ResultCode.IDEMPOTENCY_CONFLICT: CodeEntry(
        "The Idempotency-Key was used with another body.",
        "Use a new key for a new request.",
        422,
        True,
    ),
    ResultCode.OVERLOADED: CodeEntry(
        "The request cannot meet its deadline under the present load.",
        _RETRY,
        429,
        True,
    ),
    ResultCode.NO_TARGET: CodeEntry(
        "No target of the service is open.", _RETRY, 503, True
    ),
    ResultCode.DEADLINE_EXCEEDED: CodeEntry(
        "The deadline passed.", "Send an idempotent request again.", 504
    ),
    ResultCode.MAY_HAVE_RUN: CodeEntry(
        "The target was lost; the request may have run and is never rerun.",
        "Check its effect before using a new key.",
        502,
    ),
    ResultCode.ANSWER_CUT: CodeEntry(
        "The answer ended before its end mark.", "Discard what arrived.", 502
    ),
    ResultCode.UNKNOWN_MODEL: CodeEntry(
        "No catalogue entry has that name.", "Use a name of the catalogue.", 404, True
    ),
    ResultCode.GATE_CLOSED: CodeEntry(
        "The target is not open for requests.", _RETRY, 503, True
    ),
    ResultCode.REQUEST_EXPIRED: CodeEntry(
        "The request's expiry passed before it ran.", "Use a new key.", 410, True
    ),
    ResultCode.CLAIM_UNAVAILABLE: CodeEntry(
        "The claim could not be committed; the request did not run.",
        _RETRY,
        503,
        True,
    ),
    ResultCode.IN_PROGRESS: CodeEntry(
        "An earlier send of this key is still running.", _RETRY, 409
    ),
    ResultCode.BODY_TOO_LARGE: CodeEntry(
        "The body is larger than the limit.", "Send a smaller body.", 413, True
    ),
    ResultCode.TARGET_FAILED: CodeEntry(
        "The target answered with an error of its own.", "See the body.", 502
    ),
    ResultCode.ATTEMPT_TOMBSTONED: CodeEntry(
        "The attempt was resolved as not run and may no longer run.",
        _RETRY,
        503,
        True,
    ),
    ResultCode.LEAVING: CodeEntry("The instance is leaving.", _RETRY, 503, True),
    ResultCode.KEY_UNRESOLVED: CodeEntry(
        "This send did not run, but whether an earlier send of the same key ran is"
        " not known.",
        "Send it again with the same key after the stated Retry-After.",
        503,
    ),
    ResultCode.NO_ROUTE: CodeEntry(
        "No route of the routing table begins the request's host and path.",
        "Ask for a route that is in force.",
        404,
        True,
    ),
    ResultCode.QUARANTINED: CodeEntry(
        "Targets ended each time that they ran this request, so it is sent no more.",
        "Change the request; find its fingerprint in the entries' logs.",
        503,
        True,
    ),
    ResultCode.MANIFEST_INVALID: CodeEntry(
        "The manifest is malformed or does not match its digest.",
        "Build and publish it again.",
    ),
    ResultCode.CHUNK_CORRUPTED: CodeEntry(
        "A chunk does not match its digest.", "None: it is fetched elsewhere."
    ),
    ResultCode.SOURCE_UNAVAILABLE: CodeEntry(
        "The origin or weight store refused or failed.", "Check the source."
    ),
    ResultCode.SOURCE_CHANGED: CodeEntry(
        "The origin no longer holds the manifest's bytes.",
        "Publish the bytes, or name the new digest in the catalogue.",
    ),
    ResultCode.ENGINE_LOAD_FAILED: CodeEntry(
        "The engine failed to load the version.", "Read the engine's log."
    ),
    ResultCode.ENGINE_WRONG_DIGEST: CodeEntry(
        "The engine reports another version than ordered.", "None: it is reordered."
    ),
    ResultCode.ENGINE_FENCED: CodeEntry(
        "The engine refused an old fencing number.", "None: a new permit is asked."
    ),
    ResultCode.COPY_SUPERSEDED: CodeEntry(
        "The catalogue moved on while the copy was in flight.", "Nothing."
    ),
    ResultCode.CHUNK_STORE_FULL: CodeEntry(
        "The sidecar's chunk store has no room for the version.",
        "Raise `chunk_store_bytes`, or free the scratch folder's disk.",
    ),
    ResultCode.LOG_DAMAGED: CodeEntry(
        "The log is damaged before its tail.",
        "Replace the disk and rejoin: docs/operators/lost-disk.md.",
    ),
    ResultCode.DISK_FULL: CodeEntry(
        "The data disk is full; the instance goes on without a vote.",
        "Free space: it takes part again by itself.",
    ),
    ResultCode.FSYNC_FAILED: CodeEntry(
        "fsync failed; the disk's content is unknown.", "Replace the disk and rejoin."
    ),
    ResultCode.IDENTITY_MISMATCH: CodeEntry(
        "The data folder belongs to another instance or fleet.",
        "Point the settings at the right folder.",
    ),
    ResultCode.FOLDER_LOCKED: CodeEntry(
        "Another process is in the data folder.", "Stop the other process."
    ),
    ResultCode.ALREADY_FOUNDED: CodeEntry(
        "`control init` met a peer of a cluster that is founded already.",
        "Run `wisteriapulley control join`.",
        409,
    ),
    ResultCode.MEMBER_UNKNOWN: CodeEntry(
        "No control instance of that name takes part.",
        "See `wisteriapulley control members`.",
        404,
    ),
}


class WisteriapulleyError(Exception):
    """Error with a result code.

    Parameters
    ----------
    code : ResultCode
        Number of the outcome.
    message : str
        What was expected, what came, and what to do next.
    retry_after_ms : int, default=0
        When to come back, in milliseconds; 0 when coming back does not help.
    """

    def __init__(self, code: ResultCode, message: str, retry_after_ms: int = 0):
        super().__init__(code, message)
        self.code = code
        self.message = message
        self.retry_after_ms = retry_after_ms

    def __str__(self) -> str:
        return f"WP{self.code.value:03d} {self.code.name}: {self.message}"


class SettingsError(WisteriapulleyError):
    """Bad settings."""


class CatalogueError(WisteriapulleyError):
    """Bad or refused catalogue change."""


class WireError(WisteriapulleyError):
    """Failure of a link between two processes."""


class RequestError(WisteriapulleyError):
    """Request that gets an error as its answer."""


class WeightsError(WisteriapulleyError):
    """Failure to copy or load weights."""


class StorageError(WisteriapulleyError):
    """Failure of the data folder."""


class DiskFullError(StorageError):
    """A write met a full disk; what was synced before it is whole."""
