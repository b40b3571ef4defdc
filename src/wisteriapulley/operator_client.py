"""The operator's side: talks to control instances over HTTP."""

import http.client
import sys
import time
import uuid
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import msgspec

from wisteriapulley.catalogue import Change, ChangeResult, diff, load_folder
from wisteriapulley.catalogue.catalogue import CatalogueImage
from wisteriapulley.errors import CatalogueError, ResultCode, SettingsError
from wisteriapulley.settings import Address

TIMEOUT_S = 5.0
TRIES = 6
PAUSE_S = 0.5
UNAVAILABLE = 503


class NodeStatus(msgspec.Struct, frozen=True):
    """What one node reports; see `control.operators.StatusRow`."""

    node_id: str
    role: str
    service: str
    failure_domain: str
    revision: int
    state: str
    version: str
    desired: str
    bytes_done: int
    bytes_total: int
    detail: str


class Status(msgspec.Struct, frozen=True):
    """Answer of ``/v1/status``."""

    revision: int
    leader: str
    nodes: tuple[NodeStatus, ...]


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

        Resending a change is safe: its change id stays the same.

        Raises
        ------
        CatalogueError
            Refused, or no instance with a quorum answered.
        """
        reason = "no control instance answered"
        for attempt in range(TRIES):
            address = self.addresses[attempt % len(self.addresses)]
            try:
                status, data = self.request_one(address, method, path, body)
            except (OSError, http.client.HTTPException) as error:
                reason = f"{address}: {error!r}"
            else:
                if status != UNAVAILABLE:
                    return data
                reason = f"{address}: {data.decode(errors='replace')}"
            time.sleep(PAUSE_S)
        raise CatalogueError(ResultCode.NO_QUORUM, reason)

    def request_one(
        self, address: Address, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """Send to one instance."""
        connection = http.client.HTTPConnection(
            address.host, address.port, timeout=TIMEOUT_S
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
    """Decode an answer, or raise the error that came in its place."""
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError:
        error = msgspec.json.decode(data, type=ErrorAnswer).error
        raise CatalogueError(ResultCode(error.code), error.message) from None


def show_diff(client: OperatorClient, folder: str) -> Iterator[str]:
    """Yield a line for each entry that differs."""
    image = client.catalogue()
    puts, deletes = diff(load_folder(folder), image.entries, client.owner)
    for put in puts:
        sign = "~" if put.entry.name in image.entries else "+"
        yield f"{sign} {put.entry.name}"
    for delete in deletes:
        yield f"- {delete.name}"


def apply_folder(client: OperatorClient, folder: str, change_id: str = "") -> int:
    """Make the accepted entries those of a folder.

    Returns
    -------
    int
        Revision that holds them; nothing is sent when nothing differs.

    Raises
    ------
    CatalogueError
        The change was refused; the message says what was accepted instead.
    """
    image = client.catalogue()
    puts, deletes = diff(load_folder(folder), image.entries, client.owner)
    if not puts and not deletes and not change_id:
        return image.revision
    change = Change(change_id or uuid.uuid4().hex, client.owner, puts, deletes)
    result = client.change(change)
    if result.code != ResultCode.OK:
        accepted = msgspec.json.encode(result.accepted).decode()
        raise CatalogueError(
            ResultCode(result.code), f"{result.message}; accepted: {accepted}"
        )
    return result.revision


def in_force(status: Status) -> dict[str, int]:
    """Return the lowest revision in force by failure domain."""
    revisions: dict[str, list[int]] = defaultdict(list)
    for node in status.nodes:
        revisions[node.failure_domain].append(node.revision)
    return {domain: min(found) for domain, found in sorted(revisions.items())}


def wait_in_force(client: OperatorClient, revision: int, timeout_s: float) -> None:
    """Wait until a revision is in force everywhere, showing progress.

    Raises
    ------
    CatalogueError
        STILL_PROPAGATING after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        domains = in_force(client.status())
        print(f"in force: {domains}", file=sys.stderr)
        if domains and min(domains.values()) >= revision:
            return
        time.sleep(PAUSE_S)
    raise CatalogueError(
        ResultCode.STILL_PROPAGATING, f"revision {revision} is not yet everywhere"
    )


def status_table(status: Status) -> Iterator[str]:
    """Yield the lines of the status table."""
    yield f"accepted revision {status.revision}, leader {status.leader or 'none'}"
    for domain, revision in in_force(status).items():
        yield f"  {domain:<14} in force: revision {revision}"
    yield f"{'node':<22}{'domain':<12}{'rev':>5}  {'state':<9}{'version':<14}copied"
    for node in sorted(status.nodes, key=lambda n: n.node_id):
        share = 100 * node.bytes_done // node.bytes_total if node.bytes_total else 0
        yield (
            f"{node.node_id:<22}{node.failure_domain:<12}{node.revision:>5}"
            f"  {node.state:<9}{node.version[:12]:<14}{share:>3} % {node.detail}"
        )
