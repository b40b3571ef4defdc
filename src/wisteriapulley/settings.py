"""Settings of the daemons: JSON files, decoded into typed objects and validated."""

import ipaddress
from pathlib import Path

import msgspec

from wisteriapulley.errors import ResultCode, SettingsError

MAX_KEY_BYTES = 4096


class Address(msgspec.Struct, frozen=True):
    """IP address and port.

    Attributes
    ----------
    host : str
        IPv4 or IPv6 address; host names are not resolved.
    port : int
        Port number; 0 lets the operating system choose one.
    """

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse ``host:port``.

        Raises
        ------
        ValueError
            The text is not an IP address and a port.
        """
        host, _, port = text.rpartition(":")
        ipaddress.ip_address(host.strip("[]"))
        if not 0 <= int(port) <= 65535:
            raise ValueError(f"port {port} is not in the range 0 to 65535")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another control instance: its node id and wire address."""

    node_id: str
    address: Address


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings common to all daemons.

    Attributes
    ----------
    node_id : str
        Name of this instance, unique in the fleet.
    failure_domain : str
        Failure domain in which this instance runs.
    http_listen : Address
        Address of the HTTP server for callers, operators, metrics and health.
    fleet_key_file : str
        Path of the file with the key that all instances share.
    heartbeat_ms : int
        Milliseconds between heartbeats on each link.
    silence_ms : int
        Milliseconds without a frame after which a link is closed and reopened.
    drain_ms : int
        Milliseconds that a stopping daemon waits for in-flight requests.
    """

    node_id: str
    failure_domain: str
    http_listen: Address
    fleet_key_file: str
    heartbeat_ms: int = 1000
    silence_ms: int = 3000
    drain_ms: int = 600_000
    log_level: str = "INFO"


class ControlSettings(
    NodeSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a control instance.

    Attributes
    ----------
    wire_listen : Address
        Address for links from other instances.
    data_folder : str
        Folder of the durable state; created by ``control init`` or
        ``control join``.
    operators_file : str
        JSON file that maps bearer tokens to owners.
    peers : tuple of Peer
        The other control instances.
    election_ms : int
        Shortest election timeout, in milliseconds.
    lease_ms : int
        Leader lease, in milliseconds; shorter than `election_ms`.
    group_commit : bool
        Whether records received since the last sync share one sync; disable it
        only for measurements.
    snapshot_bytes : int
        Size of the log, in bytes, at which a snapshot replaces it.
    member_lease_ms : int
        Milliseconds that a member is kept after its link was closed.
    owner_grace_ms : int
        Milliseconds that the members of an unreachable control instance are kept.
    seeds : tuple of Address
        Wire addresses of control instances, as an alternative to `peers`.
        Instances found through seeds use their host as node id.
    found_with_seeds : bool
        Whether an instance with an empty data folder initializes the cluster
        together with the other seeds; only for the first start of the whole
        system.
    voters : int
        Number of voting instances; 0 for all.
    failure_domain_regions : dict
        Region of each failure domain; if empty, each failure domain is its own
        region.
    target_lease_ms : int
        Milliseconds that a target is kept after its last announcement.
    cold_overshoot, cold_slack : float
        Bound on requests to a cold target: in any one second, `cold_overshoot` times
        the rate that its service states plus `cold_slack`.
    """

    wire_listen: Address
    data_folder: str
    operators_file: str
    peers: tuple[Peer, ...] = ()
    election_ms: int = 1000
    lease_ms: int = 700
    raft_heartbeat_ms: int = 150
    member_lease_ms: int = 5000
    group_commit: bool = True
    snapshot_bytes: int = 4 << 20
    owner_grace_ms: int = 15_000
    seeds: tuple[Address, ...] = ()
    found_with_seeds: bool = False
    voters: int = 0
    failure_domain_regions: dict[str, str] = {}
    target_lease_ms: int = 6000
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0


class EntrySettings(
    NodeSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an entry.

    Attributes
    ----------
    control : tuple of Address
        Wire addresses of control instances.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    links_per_service : int
        Number of targets of one service to which this entry keeps links.
    """

    control: tuple[Address, ...]
    max_body_bytes: int = 8 << 20
    links_per_service: int = 16


class SidecarSettings(
    NodeSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a sidecar.

    Attributes
    ----------
    service : str
        Service of the target, as named in catalogue entries.
    kind : str
        ``engine`` for a model engine, ``plain`` for any other service.
    target_url : str
        Base URL of the target.
    fences : bool
        Whether the engine rejects orders with a stale fencing number, and reports the
        highest number that it has accepted as ``fencing`` in its state.
    origin_url, store_url : str
        Base URLs of the origin and of the rate-limited weight store; empty
        if there is none.
    link_bytes_per_s : int
        Bandwidth of this instance's link, upload and download combined; 0 for no
        limit.
    origin_bytes_per_s : int
        Bandwidth of the origin's link that this sidecar may use; 0 for no limit.
    wire_advertise : Address
        Address at which other instances reach `wire_listen`, if it differs
        (behind a relay or address translation); by default `wire_listen` itself.
    neighbours : int
        Number of links that this sidecar opens to other sidecars; they open the same
        number of links to it.
    patience_ms : int
        Milliseconds without progress of a chunk before the next rank asks the
        origin.
    scratch_folder : str
        Folder in which chunks are stored; if empty, they are kept in memory.
    chunk_store_bytes : int
        Maximum size of the stored chunks, in bytes; 0 for no limit.
    """

    wire_listen: Address
    control: tuple[Address, ...]
    service: str
    target_url: str
    kind: str = "engine"
    fences: bool = True
    origin_url: str = ""
    store_url: str = ""
    link_bytes_per_s: int = 0
    origin_bytes_per_s: int = 0
    neighbours: int = 8
    patience_ms: int = 2000
    wire_advertise: Address | None = None
    scratch_folder: str = ""
    chunk_store_bytes: int = 256 << 30


SETTINGS_BY_ROLE: dict[str, type[NodeSettings]] = {
    "control": ControlSettings,
    "entry": EntrySettings,
    "sidecar": SidecarSettings,
}


def load_settings(path: str, role: str) -> NodeSettings:
    """Read and validate the settings file of one daemon.

    Parameters
    ----------
    path : str
        Path of the JSON file.
    role : {'control', 'entry', 'sidecar'}
        Role of the daemon.

    Returns
    -------
    NodeSettings
        The role's settings object.

    Raises
    ------
    SettingsError
        The file or one of its keys is invalid; the message names both.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(
            ResultCode.SETTINGS_UNREADABLE,
            f"{path}: expected a readable file: {error.strerror}",
        ) from error
    return validate_settings(decode_settings(raw, path, role), path)


def decode_settings(raw: bytes, path: str, role: str) -> NodeSettings:
    """Decode `raw` into the settings class of `role`."""
    try:
        tree = msgspec.json.decode(raw)
    except msgspec.DecodeError as error:
        raise SettingsError(
            ResultCode.SETTINGS_UNREADABLE, f"{path}: expected valid JSON: {error}"
        ) from error
    try:
        return msgspec.convert(
            expand_addresses(tree), SETTINGS_BY_ROLE[role], strict=True
        )
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(ResultCode.SETTINGS_INVALID, f"{path}: {error}") from error


ADDRESS_KEYS = (
    "http_listen",
    "wire_listen",
    "wire_advertise",
    "address",
    "control",
    "seeds",
)


def expand_addresses(tree: object, key: str = "") -> object:
    """Replace ``ip:port`` texts under address keys by address objects."""
    if isinstance(tree, dict):
        return {name: expand_addresses(value, name) for name, value in tree.items()}
    if isinstance(tree, list):
        return [expand_addresses(value, key) for value in tree]
    if isinstance(tree, str) and key in ADDRESS_KEYS:
        return parse_address(tree, key)
    return tree


def parse_address(text: str, key: str) -> dict[str, object]:
    """Parse one address.

    Raises
    ------
    ValueError
        The text is not an address; the message names the key.
    """
    try:
        address = Address.from_text(text)
    except ValueError as error:
        raise ValueError(
            f"expected an IP address and port such as 127.0.0.1:7000, got {text!r}"
            f" - at `$.{key}` ({error})"
        ) from error
    return {"host": address.host, "port": address.port}


def validate_settings(settings: NodeSettings, path: str) -> NodeSettings:
    """Validate ranges, address clashes and the rules of the role."""
    non_positive = [
        name
        for name in settings.__struct_fields__
        if name.endswith("_ms") and getattr(settings, name) <= 0
    ]
    if non_positive:
        raise SettingsError(
            ResultCode.SETTINGS_INVALID,
            f"{path}: expected milliseconds above 0 - at `$.{non_positive[0]}`",
        )
    if settings.silence_ms < 2 * settings.heartbeat_ms:
        raise SettingsError(
            ResultCode.SETTINGS_INVALID,
            f"{path}: expected at least 2 * heartbeat_ms ({2 * settings.heartbeat_ms}),"
            f" got {settings.silence_ms} - at `$.silence_ms`",
        )
    check_address_clash(settings, path)
    check_role_settings(settings, path)
    return settings


def check_address_clash(settings: NodeSettings, path: str) -> None:
    """Raise an error if two listeners have the same address."""
    wire = getattr(settings, "wire_listen", None)
    if wire is not None and wire == settings.http_listen and wire.port:
        raise SettingsError(
            ResultCode.ADDRESS_CLASH,
            f"{path}: {wire} is set for both `$.wire_listen` and `$.http_listen`;"
            " use a different port for each",
        )


def check_role_settings(settings: NodeSettings, path: str) -> None:
    """Validate the settings that are specific to a role."""
    if isinstance(settings, SidecarSettings) and settings.kind not in (
        "engine",
        "plain",
    ):
        raise SettingsError(
            ResultCode.SETTINGS_INVALID,
            f"{path}: expected 'engine' or 'plain', got {settings.kind!r}"
            " - at `$.kind`",
        )
    if isinstance(settings, ControlSettings):
        if settings.lease_ms >= settings.election_ms:
            raise SettingsError(
                ResultCode.SETTINGS_INVALID,
                f"{path}: expected a value below election_ms ({settings.election_ms}),"
                f" got {settings.lease_ms} - at `$.lease_ms`",
            )
        if not Path(settings.data_folder).is_dir():
            raise SettingsError(
                ResultCode.DATA_FOLDER_MISSING,
                f"{path}: expected an existing folder, got {settings.data_folder!r}"
                " - at `$.data_folder`; run `wisteriapulley control init`",
            )


def load_fleet_key(path: str) -> bytes:
    """Read the fleet key.

    Raises
    ------
    SettingsError
        The file is missing or shorter than 32 bytes.
    """
    try:
        key = Path(path).read_bytes()[:MAX_KEY_BYTES].strip()
    except OSError as error:
        raise SettingsError(
            ResultCode.KEY_FILE_UNREADABLE,
            f"{path}: expected a readable key file: {error.strerror}",
        ) from error
    if len(key) < 32:
        raise SettingsError(
            ResultCode.KEY_FILE_UNREADABLE,
            f"{path}: expected at least 32 bytes, got {len(key)}",
        )
    return key


def load_operators(path: str) -> dict[str, str]:
    """Read the operators file, which maps bearer tokens to owners.

    Without a path, there are no operators.

    Raises
    ------
    SettingsError
        The file is missing or is not a JSON object with string values.
    """
    if not path:
        return {}
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=dict[str, str])
    except OSError as error:
        raise SettingsError(
            ResultCode.KEY_FILE_UNREADABLE,
            f"{path}: expected a readable operators file: {error.strerror}",
        ) from error
    except msgspec.DecodeError as error:
        raise SettingsError(
            ResultCode.KEY_FILE_UNREADABLE,
            f"{path}: expected a JSON object that maps tokens to owners: {error}",
        ) from error
