"""The operator's side: talks to control instances over HTTP."""

import http.client
import time
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from wisteriapulley.catalogue import Change, ChangeResult, diff, load_folder
from wisteriapulley.catalogue.catalogue import CatalogueImage
from wisteriapulley.catalogue.changes import format_changes
from wisteriapulley.control.reports import Status
from wisteriapulley.errors import CatalogueError, ResultCode, SettingsError
from wisteriapulley.settings import Address

REQUEST_TIMEOUT_S = 5.0
# Each instance is asked at least twice: a new leader is elected meanwhile.
ATTEMPTS_PER_ADDRESS = 3
RETRY_PAUSE_S = 0.5
STATUS_UNAVAILABLE = 503
FIRST_ERROR_STATUS = 400


class OperatorClient:
    """Asks control instances in turn until one answers.

    Parameters
    ----------
    addresses : list of Address
        Operators' addresses.
    token : str
        Bearer token.
    owner : str
        Whose token it is.
    """

    def __init__(self, addresses: list[Address], token: str, owner: str):
        self.addresses = addresses
        self.token = token
        self.owner = owner

    @classmethod
    def from_files(cls, control: str, token_file: str, owner: str) -> "OperatorClient":
        """Make a client from command line values.

        Raises
        ------
        SettingsError
            An address or the token file is bad.
        """
        try:
            addresses = [Address.from_text(text) for text in control.split(",")]
            token = Path(token_file).read_text().strip()
        except ValueError as error:
            raise SettingsError(
                ResultCode.SETTINGS_INVALID, f"--control: expected ip:port: {error}"
            ) from error
        except OSError as error:
            raise SettingsError(
                ResultCode.KEY_FILE_UNREADABLE, f"{token_file}: {error.strerror}"
            ) from error
        return cls(addresses, token, owner)

    def request(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Send to any instance; resend while none has a quorum.

        Resending a change is safe: its change id stays the same, so a change
        whose answer was lost gets its first result.

        Raises
        ------
        CatalogueError
            Refused; NO_QUORUM when no instance with a quorum answered, so that
            the outcome of a change is not known.
        """
        reason = "no control instance answered"
        for address in self.addresses * ATTEMPTS_PER_ADDRESS:
            try:
                status, data = self.request_one(address, method, path, body)
            except (OSError, http.client.HTTPException) as error:
                reason = f"{address}: {error!r}"
            else:
                if status < FIRST_ERROR_STATUS:
                    return data
                if status != STATUS_UNAVAILABLE:
                    raise_result_code(data)
                    return data
                reason = f"{address}: {error_text(data)}"
            time.sleep(RETRY_PAUSE_S)
        raise CatalogueError(
            ResultCode.NO_QUORUM, f"{reason}; whether it was accepted is not known"
        )

    def request_one(
        self, address: Address, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """Send to one instance."""
        connection = http.client.HTTPConnection(
            address.host, address.port, timeout=REQUEST_TIMEOUT_S
        )
        try:
            headers = {"Authorization": f"Bearer {self.token}"}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def catalogue(self) -> CatalogueImage:
        """Return the accepted catalogue."""
        return decode(self.request("GET", "/v1/catalogue"), CatalogueImage)

    def status(self) -> Status:
        """Return what every node has in force."""
        return decode(self.request("GET", "/v1/status"), Status)

    def change(self, change: Change) -> ChangeResult:
        """Send a change."""
        body = msgspec.json.encode(change)
        return decode(self.request("POST", "/v1/catalogue/changes", body), ChangeResult)


class ErrorBody(msgspec.Struct):
    """Inner part of an error answer."""

    code: int
    message: str


class ErrorAnswer(msgspec.Struct):
    """Error answer of a control instance."""

    error: ErrorBody


def decode(data: bytes, kind: type):
    """Decode an answer.

    Raises
    ------
    CatalogueError
        REQUEST_MALFORMED: it is not the answer of a control instance.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise CatalogueError(
            ResultCode.REQUEST_MALFORMED,
            f"expected {kind.__name__} of a control instance, got {data[:80]!r}:"
            f" {error}; check --control",
        ) from error


def raise_result_code(data: bytes) -> None:
    """Raise the coded error that an answer holds; let a change's result pass."""
    try:
        error = msgspec.json.decode(data, type=ErrorAnswer).error
    except msgspec.DecodeError:
        return
    raise CatalogueError(ResultCode(error.code), error.message)


def error_text(data: bytes) -> str:
    """Return the message of an error answer."""
    try:
        return msgspec.json.decode(data, type=ErrorAnswer).error.message
    except msgspec.DecodeError:
        return data[:200].decode(errors="replace")


def format_diff(client: OperatorClient, folder: str) -> Iterator[str]:
    """Yield what apply would change, key by key."""
    image = client.catalogue()
    puts, deletes = diff(load_folder(folder), image.entries, client.owner)
    yield from format_changes(puts, deletes, image.entries)


class ApplyResult(NamedTuple):
    """Outcome of `apply_folder`: the revision, and whether a change was sent."""

    revision: int
    change_id: str
    is_new: bool


def apply_folder(
    client: OperatorClient, folder: str, change_id: str = ""
) -> ApplyResult:
    """Make the accepted entries those of a folder.

    Idempotent: nothing is sent when nothing differs, so a run after a lost
    answer finds its change accepted; one that is still on its way is met by
    its change id.

    Raises
    ------
    CatalogueError
        The change was refused; the message says what was accepted instead.
        NO_QUORUM names the change id to send again.
    """
    image = client.catalogue()
    puts, deletes = diff(load_folder(folder), image.entries, client.owner)
    if not puts and not deletes:
        return ApplyResult(image.revision, change_id, False)
    change = Change(change_id or uuid.uuid4().hex, client.owner, puts, deletes)
    try:
        result = client.change(change)
    except CatalogueError as error:
        if error.code != ResultCode.NO_QUORUM:
            raise
        raise CatalogueError(
            error.code,
            f"{error.message}; run apply again with --change-id {change.change_id}",
        ) from error
    if result.code != ResultCode.OK:
        accepted = msgspec.json.encode(result.accepted).decode()
        raise CatalogueError(
            ResultCode(result.code), f"{result.message}; accepted: {accepted}"
        )
    return ApplyResult(result.revision, change.change_id, True)
