"""Converts the platform's settings file to the product's settings."""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from wisteriapulley.direct.kept_bytes import DEFAULT_REQUEST_BYTES
from wisteriapulley.direct.settings import (
    DirectSettings,
    ResponseLimits,
    RolloutSettings,
)
from wisteriapulley.errors import ResultCode, SettingsError
from wisteriapulley.settings import Address, ControlSettings

# Offsets into the port range that the platform reserves for the product. Two
# daemons may share a host, so each purpose has its own port; the offsets are the
# same on every host.
CONTROL_WIRE_PORT_OFFSET = 0
SIDECAR_WIRE_PORT_OFFSET = 1
# Metrics ports of the daemons; fixed because the deploy file names them.
CONTROL_HTTP_PORT = 9102
ENTRY_HTTP_PORT = 9101
SIDECAR_HTTP_PORT = 9103

# A peer that is silent for about a second counts as unreachable, since the platform
# requires that updates take effect within two seconds. Three heartbeats fit into
# SILENCE_MS; an entry of a large fleet has fifty links, so more frequent heartbeats
# would cost processor time that requests need.
HEARTBEAT_MS = 400
SILENCE_MS = 1200
# Two election timeouts and one round of appends take less time than an operator
# waits for an acknowledgement.
ELECTION_MS = 600
LEASE_MS = 400
RAFT_HEARTBEAT_MS = 100
# Number of missed heartbeats after which a target is removed.
TARGET_LEASE_HEARTBEATS = 6
# Fraction of the platform's grace period after a stop signal within which an entry
# expects all that it takes to end. The rest is for what takes longer, and for closing.
DRAIN_FRACTION = 0.9
# Part of the grace period in which an entry answers what is still in progress and ends:
# it waits twice for callers to take these answers (`http_drain.CLOSE_TIMEOUT_S`).
EXIT_MS = 100
CLOSING_MS = 400 + EXIT_MS
# Fraction of an entry's memory for the bodies of requests in progress. A body takes up
# to twice its size while it is received and sent.
BODY_MEMORY_FRACTION = 1 / 6
# Fraction of an entry's memory for what it keeps of responses, each of which takes up
# to twice its size as it is completed. Connections need much of the rest.
RESPONSE_MEMORY_FRACTION = 1 / 10


class Listen(msgspec.Struct, rename="kebab"):
    """Addresses at which the roles listen."""

    frontend: str = ""
    readiness: str = ""
    control_plane: str = ""


class Limits(msgspec.Struct, rename="kebab"):
    """Limits of the host, and of a process on it."""

    link_mbps: float = 0.0
    memory_mb: float = 0.0


class Tolerance(msgspec.Struct):
    """How many hosts with a disk may fail at once."""

    machines: int = 1


class Bounds(msgspec.Struct):
    """The platform's time limits and budgets; only the keys that are used."""

    grace_period_s: float = msgspec.field(name="grace-period-s", default=8.0)
    retry_budget_ratio: float = msgspec.field(name="retry-budget-ratio", default=0.1)
    retry_budget_slack: float = msgspec.field(name="retry-budget-slack", default=20)
    budget_window_s: float = msgspec.field(name="budget-window-s", default=10.0)
    # Grace period in which a superseded version of weights may start requests.
    version_ms: int = 8000
    # Most requests to a cold target in any second: this factor on the rate that its
    # service states, and some more.
    cold_overshoot: float = msgspec.field(name="cold-overshoot", default=1.0)
    cold_slack: float = msgspec.field(name="cold-slack", default=0.0)


class ResponseBounds(msgspec.Struct, rename="kebab"):
    """How much targets may send; see `direct.settings.ResponseLimits`."""

    head_bytes: Annotated[int, msgspec.Meta(ge=1)] = ResponseLimits().head_bytes
    framing_bytes: Annotated[int, msgspec.Meta(ge=1)] = ResponseLimits().framing_bytes
    body_bytes: Annotated[int, msgspec.Meta(ge=1)] = ResponseLimits().body_bytes
    event_bytes: Annotated[int, msgspec.Meta(ge=1)] = ResponseLimits().event_bytes
    # By default a fraction of the process's memory, where that is stated.
    kept_bytes: Annotated[int, msgspec.Meta(ge=0)] | None = None

    def limits(self, memory_bytes: float) -> ResponseLimits:
        """Return the product's settings; a memory of 0 is unknown."""
        stated = msgspec.structs.asdict(self)
        if self.kept_bytes is None:
            share = int(memory_bytes * RESPONSE_MEMORY_FRACTION)
            stated["kept_bytes"] = share or ResponseLimits().kept_bytes
        return ResponseLimits(**stated)


class PlatformSettings(msgspec.Struct, rename="kebab"):
    """The settings file of one process; unknown keys are ignored.

    `zone` is a failure domain, and `zones` gives the region of each.
    """

    node_name: str
    ip_address: str
    zone: str
    internal_port_range: tuple[int, int]
    seed_nodes: list[str]
    bootstrap: bool = False
    # Whether the host has a disk, so that its failure counts for fault tolerance.
    counts_as_loss: bool = False
    data_directory: str = ""
    heartbeat_interval_ms: int = 1200
    zones: dict[str, str] = {}
    listen_addresses: Listen = msgspec.field(default_factory=Listen)
    limits: Limits = msgspec.field(default_factory=Limits)
    fault_tolerance: Tolerance = msgspec.field(default_factory=Tolerance)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    response_limits: ResponseBounds = msgspec.field(default_factory=ResponseBounds)
    # Address of the engine on this host.
    app: str = ""
    service: str = ""
    # Whether the engine's sidecar keeps slots free for more urgent priorities.
    class_reserve: bool = True
    # Whether callers that come back after a refusal may wait for a slot.
    returns_wait: bool = False

    @classmethod
    def from_file(cls, path: str) -> "PlatformSettings":
        """Read a settings file.

        Raises
        ------
        SettingsError
            SETTINGS_UNREADABLE: the file can't be read, or is not TOML in UTF-8.
            SETTINGS_INVALID: a key is missing or has an invalid value.
        """
        try:
            text = Path(path).read_text()
            return msgspec.convert(tomllib.loads(text), cls, strict=False)
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            raise SettingsError(
                ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"
            ) from error
        except msgspec.ValidationError as error:
            raise SettingsError(
                ResultCode.SETTINGS_INVALID, f"{path}: {error}"
            ) from error

    def internal_address(self, port_offset: int) -> Address:
        """Return the address of a reserved port on this host."""
        return Address(self.ip_address, self.internal_port_range[0] + port_offset)

    def control_wire_address(self) -> Address:
        """Return the wire address of a control instance on this host."""
        return self.internal_address(CONTROL_WIRE_PORT_OFFSET)

    def seeds(self) -> tuple[Address, ...]:
        """Return the wire addresses of the seed control instances."""
        port = self.internal_port_range[0] + CONTROL_WIRE_PORT_OFFSET
        hosts = (seed.rpartition(":")[0] for seed in self.seed_nodes)
        return tuple(Address(host, port) for host in hosts)

    def drain_ms(self) -> int:
        """Return within what time a stopping daemon expects requests to end."""
        return int(self.bounds.grace_period_s * 1000 * DRAIN_FRACTION)

    def drain_overrun_ms(self) -> int:
        """Return how much longer requests in progress may take at an entry."""
        grace_ms = int(self.bounds.grace_period_s * 1000)
        return max(0, grace_ms - CLOSING_MS - self.drain_ms())

    def request_body_bytes(self) -> int:
        """Return how much memory an entry has for the bodies of requests."""
        share = int(self.memory_bytes() * BODY_MEMORY_FRACTION)
        return share or DEFAULT_REQUEST_BYTES

    def memory_bytes(self) -> float:
        """Return the memory of the process; 0 if it is not stated."""
        return self.limits.memory_mb * (1 << 20)

    def common_settings(self, http_port: int, key_file: str) -> dict[str, object]:
        """Return the settings that all daemons share."""
        return {
            "failure_domain": self.zone,
            "http_listen": Address(self.ip_address, http_port),
            "fleet_key_file": key_file,
            "heartbeat_ms": HEARTBEAT_MS,
            "silence_ms": SILENCE_MS,
            "drain_ms": self.drain_ms(),
            "failure_domain_regions": self.zones,
        }

    def control_settings(self, key_file: str) -> ControlSettings:
        """Return the settings of a control instance; its node id is its IP address."""
        return ControlSettings(
            node_id=self.ip_address,
            wire_listen=self.control_wire_address(),
            data_folder=self.data_directory,
            operators_file="",
            election_ms=ELECTION_MS,
            lease_ms=LEASE_MS,
            raft_heartbeat_ms=RAFT_HEARTBEAT_MS,
            seeds=self.seeds(),
            found_with_seeds=self.bootstrap,
            voters=2 * self.fault_tolerance.machines + 1,
            target_lease_ms=TARGET_LEASE_HEARTBEATS * self.heartbeat_interval_ms,
            cold_overshoot=self.bounds.cold_overshoot,
            cold_slack=self.bounds.cold_slack,
            **self.common_settings(CONTROL_HTTP_PORT, key_file),
        )

    def entry_settings(self, key_file: str) -> DirectSettings:
        """Return the settings of an entry."""
        bounds = self.bounds
        return DirectSettings(
            node_id=f"entry-{self.node_name}",
            listen=Address.from_text(self.listen_addresses.frontend),
            ready_listen=Address.from_text(self.listen_addresses.readiness),
            control=self.seeds(),
            sidecar_port=self.internal_port_range[0] + SIDECAR_WIRE_PORT_OFFSET,
            old_version_ms=bounds.version_ms,
            retry_ratio=bounds.retry_budget_ratio,
            retry_slack=bounds.retry_budget_slack,
            retry_window_s=bounds.budget_window_s,
            returns_wait=self.returns_wait,
            response_limits=self.response_limits.limits(self.memory_bytes()),
            request_body_bytes=self.request_body_bytes(),
            drain_overrun_ms=self.drain_overrun_ms(),
            **self.common_settings(ENTRY_HTTP_PORT, key_file),
        )

    def sidecar_settings(self, key_file: str) -> RolloutSettings:
        """Return the settings of a sidecar."""
        return RolloutSettings(
            node_id=f"sidecar-{self.node_name}",
            wire_listen=self.internal_address(SIDECAR_WIRE_PORT_OFFSET),
            control=self.seeds(),
            target=Address.from_text(self.app),
            service=self.service,
            link_mbps=self.limits.link_mbps,
            old_version_ms=self.bounds.version_ms,
            cold_overshoot=self.bounds.cold_overshoot,
            cold_slack=self.bounds.cold_slack,
            class_reserve=self.class_reserve,
            **self.common_settings(SIDECAR_HTTP_PORT, key_file),
        )
