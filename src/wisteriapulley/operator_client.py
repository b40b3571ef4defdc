"""HTTP client of operators for control instances."""

import http.client
import time
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple
from urllib.parse import quote

import msgspec

from wisteriapulley.catalogue import Change, ChangeResult, diff, load_folder
from wisteriapulley.catalogue.catalogue import CatalogueImage
from wisteriapulley.catalogue.changes import format_changes
from wisteriapulley.control.reports import (
    EvacuationStatus,
    QuarantineRow,
    QuarantineStatus,
    Status,
)
from wisteriapulley.error_text import describe_error
from wisteriapulley.errors import CatalogueError, ResultCode, SettingsError
from wisteriapulley.settings import Address

REQUEST_TIMEOUT_S = 5.0
# Attempts at each address: more than one, so that a new leader can be elected between
# them.
ATTEMPTS_PER_ADDRESS = 3
RETRY_DELAY_S = 0.5
# Maximum size of a response: a status has some hundred bytes for each node.
MAX_RESPONSE_BYTES = 64 << 20
STATUS_UNAVAILABLE = 503
FIRST_ERROR_STATUS = 400


class OperatorClient:
    """Send requests to control instances in turn until one responds.

    Parameters
    ----------
    addresses : list of Address
        Operator API addresses of the control instances.
    token : str
        Bearer token.
    owner : str
        Owner of the token.
    """

    def __init__(self, addresses: list[Address], token: str, owner: str):
        self.addresses = addresses
        self.token = token
        self.owner = owner

    @classmethod
    def from_files(cls, control: str, token_file: str, owner: str) -> "OperatorClient":
        """Create a client from command line values.

        Raises
        ------
        SettingsError
            An address is invalid or the token file is unreadable.
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
        """Send a request to any instance; retry while none has a quorum.

        Resending a change is safe: it has the same change id, so if the response to
        an accepted change was lost, the resend returns the original result.

        Raises
        ------
        CatalogueError
            The request was refused, or, with NO_QUORUM, no instance with a quorum
            responded; the outcome of a change is then unknown.
        """
        reason = "no control instance responded"
        for address in self.addresses * ATTEMPTS_PER_ADDRESS:
            try:
                status, data = self.request_one(address, method, path, body)
            except (OSError, http.client.HTTPException) as error:
                reason = f"{address}: {describe_error(error)}"
            else:
                if status < FIRST_ERROR_STATUS:
                    return data
                if status != STATUS_UNAVAILABLE:
                    raise_result_code(data)
                    return data
                reason = f"{address}: {error_text(data)}"
            time.sleep(RETRY_DELAY_S)
        raise CatalogueError(
            ResultCode.NO_QUORUM,
            f"{reason}; it is unknown whether the request was accepted",
        )

    def request_one(
        self, address: Address, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """Send a request to one instance; return status and body."""
        connection = http.client.HTTPConnection(
            address.host, address.port, timeout=REQUEST_TIMEOUT_S
        )
        try:
            headers = {"Authorization": f"Bearer {self.token}"}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, read_body(response)
        finally:
            connection.close()

    def catalogue(self) -> CatalogueImage:
        """Return the accepted catalogue."""
        return decode(self.request("GET", "/v1/catalogue"), CatalogueImage)

    def status(self) -> Status:
        """Return the status of all nodes."""
        return decode(self.request("GET", "/v1/status"), Status)

    def evacuated(self) -> tuple[str, ...]:
        """Return the evacuated failure domains, confirmed by a quorum."""
        return decode(
            self.request("GET", "/v1/evacuations"), EvacuationStatus
        ).evacuated

    def set_evacuated(self, failure_domain: str, evacuated: bool) -> tuple[str, ...]:
        """Evacuate a failure domain or withdraw that; return the evacuated ones.

        A resend is safe: a domain that is as ordered already is acknowledged.
        """
        method = "PUT" if evacuated else "DELETE"
        path = f"/v1/evacuations/{quote(failure_domain, safe='')}"
        return decode(self.request(method, path), EvacuationStatus).evacuated

    def quarantined(self) -> tuple[QuarantineRow, ...]:
        """Return what is quarantined, as far as the instance that answers knows."""
        data = self.request("GET", "/v1/quarantine")
        return decode(data, QuarantineStatus).quarantined

    def lift_quarantine(self, fingerprint: str) -> tuple[QuarantineRow, ...]:
        """End a quarantine; return what else is quarantined. A resend is safe."""
        path = f"/v1/quarantine/{quote(fingerprint, safe='')}"
        return decode(self.request("DELETE", path), QuarantineStatus).quarantined

    def change(self, change: Change) -> ChangeResult:
        """Send a change and return its result."""
        body = msgspec.json.encode(change)
        return decode(self.request("POST", "/v1/catalogue/changes", body), ChangeResult)


def read_body(response: http.client.HTTPResponse) -> bytes:
    """Return a complete body of at most `MAX_RESPONSE_BYTES`.

    A connection that closes within the head ends the head for `http.client`, and the
    body too if neither a length nor chunks tell its end.

    Raises
    ------
    http.client.HTTPException
        The body is longer, states a greater length, breaks off or has no stated end.
    """
    if response.length is None and not response.chunked:
        raise http.client.HTTPException(
            "expected a body with a length or in chunks, got neither: the response may"
            " have been cut"
        )
    size = response.length or 0
    if size <= MAX_RESPONSE_BYTES:
        data = response.read(MAX_RESPONSE_BYTES + 1)
        size = len(data)
    if size > MAX_RESPONSE_BYTES:
        raise http.client.HTTPException(
            f"expected at most {MAX_RESPONSE_BYTES} bytes, got {size}"
        )
    if response.length:
        raise http.client.IncompleteRead(data, response.length)
    return data


class ErrorBody(msgspec.Struct):
    """Content of an error response."""

    code: int
    message: str


class ErrorAnswer(msgspec.Struct):
    """Error response of a control instance."""

    error: ErrorBody


def decode(data: bytes, kind: type):
    """Decode a response.

    Raises
    ------
    CatalogueError
        REQUEST_MALFORMED: it is not a response of a control instance.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise CatalogueError(
            ResultCode.REQUEST_MALFORMED,
            f"expected {kind.__name__} from a control instance, got {data[:80]!r}:"
            f" {error}; check --control",
        ) from error


def raise_result_code(data: bytes) -> None:
    """Raise the error of an error response; return if it is a change result."""
    try:
        error = msgspec.json.decode(data, type=ErrorAnswer).error
    except msgspec.DecodeError:
        return
    raise CatalogueError(ResultCode(error.code), error.message)


def error_text(data: bytes) -> str:
    """Return the message of an error response."""
    try:
        return msgspec.json.decode(data, type=ErrorAnswer).error.message
    except msgspec.DecodeError:
        return data[:200].decode(errors="replace")


def format_diff(client: OperatorClient, folder: str) -> Iterator[str]:
    """Yield what `apply_folder` would change, one line per key."""
    image = client.catalogue()
    puts, deletes = diff(load_folder(folder), image.entries, client.owner)
    yield from format_changes(puts, deletes, image.entries)


class ApplyResult(NamedTuple):
    """Result of `apply_folder`; `is_new` is whether a change was sent."""

    revision: int
    change_id: str
    is_new: bool


def apply_folder(
    client: OperatorClient, folder: str, change_id: str = ""
) -> ApplyResult:
    """Replace the accepted entries of the client's owner by those of a folder.

    This is idempotent: without a difference nothing is sent, so if a response was
    lost, the next run finds the change accepted. A change that is still in flight is
    recognised by its change id.

    Raises
    ------
    CatalogueError
        The change was refused; the message has the entries accepted instead. With
        NO_QUORUM, the message has the change id to use for the resend.
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
