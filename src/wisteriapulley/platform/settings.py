"""The platform's settings file, read into the product's settings."""

import tomllib
from pathlib import Path

import msgspec

from wisteriapulley.direct.settings import DirectSettings, RolloutSettings
from wisteriapulley.errors import ResultCode, SettingsError
from wisteriapulley.settings import Address, ControlSettings

# Ports of our own within the range that the platform leaves to us. Two of our
# processes may share a host, so each purpose has its own; they are the same on
# every host.
CONTROL_WIRE_PORT_OFFSET = 0
SIDECAR_WIRE_PORT_OFFSET = 1
# Ports of the metrics of each daemon: fixed, since the deploy file names them.
CONTROL_HTTP_PORT = 9102
ENTRY_HTTP_PORT = 9101
SIDECAR_HTTP_PORT = 9103

# A peer that is silent for a second is away, and the platform wants news in force
# within two. Three heartbeats fit in the time of silence; an entry of a large fleet
# has fifty links, so more of them cost processor time that requests need.
HEARTBEAT_MS = 400
SILENCE_MS = 1200
# Two election timeouts and a round of appends stay below the time that an
# operator waits for an acknowledgement.
ELECTION_MS = 600
LEASE_MS = 400
RAFT_HEARTBEAT_MS = 100
# Targets that miss so many of their heartbeats are forgotten.
TARGET_LEASE_HEARTBEATS = 6
# Left of the platform's grace after a stop signal for our own closing.
DRAIN_FRACTION = 0.9


class Listen(msgspec.Struct, rename="kebab"):
    """Addresses for what a role serves."""

    frontend: str = ""
    readiness: str = ""
    control_plane: str = ""


class Limits(msgspec.Struct, rename="kebab"):
    """What the host has."""

    link_mbps: float = 0.0


class Tolerance(msgspec.Struct):
    """How many hosts with a disk may be lost at once."""

    machines: int = 1


class Bounds(msgspec.Struct):
    """The platform's time limits and budgets, as far as they are used."""

    grace_period_s: float = msgspec.field(name="grace-period-s", default=8.0)
    retry_budget_ratio: float = msgspec.field(name="retry-budget-ratio", default=0.1)
    retry_budget_slack: float = msgspec.field(name="retry-budget-slack", default=20)
    budget_window_s: float = msgspec.field(name="budget-window-s", default=10.0)
    # Longest time that a replaced version of weights may begin requests.
    version_ms: int = 8000


class PlatformSettings(msgspec.Struct, rename="kebab"):
    """One process's settings file; unknown keys are ignored.

    `zone` is a failure domain, and `zones` gives the region of each.
    """

    node_name: str
    ip_address: str
    zone: str
    internal_port_range: tuple[int, int]
    seed_nodes: list[str]
    bootstrap: bool = False
    # Whether the host has a disk whose loss counts.
    counts_as_loss: bool = False
    data_directory: str = ""
    heartbeat_interval_ms: int = 1200
    zones: dict[str, str] = {}
    listen_addresses: Listen = msgspec.field(default_factory=Listen)
    limits: Limits = msgspec.field(default_factory=Limits)
    fault_tolerance: Tolerance = msgspec.field(default_factory=Tolerance)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    # Address of the engine on this host.
    app: str = ""
    service: str = ""

    @classmethod
    def from_file(cls, path: str) -> "PlatformSettings":
        """Read the file.

        Raises
        ------
        SettingsError
            It can't be read, or a key is missing or wrong.
        """
        try:
            text = Path(path).read_text()
            return msgspec.convert(tomllib.loads(text), cls, strict=False)
        except (OSError, tomllib.TOMLDecodeError) as error:
            raise SettingsError(
                ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"
            ) from error
        except msgspec.ValidationError as error:
            raise SettingsError(
                ResultCode.SETTINGS_INVALID, f"{path}: {error}"
            ) from error

    def internal_address(self, port_offset: int) -> Address:
        """Return an address of our own on this host."""
        return Address(self.ip_address, self.internal_port_range[0] + port_offset)

    def control_wire_address(self) -> Address:
        """Return where a control instance on this host takes links."""
        return self.internal_address(CONTROL_WIRE_PORT_OFFSET)

    def seeds(self) -> tuple[Address, ...]:
        """Return the wire addresses of the control instances to begin with."""
        port = self.internal_port_range[0] + CONTROL_WIRE_PORT_OFFSET
        hosts = (seed.rpartition(":")[0] for seed in self.seed_nodes)
        return tuple(Address(host, port) for host in hosts)

    def common(self, http_port: int, key_file: str) -> dict[str, object]:
        """Return the settings that every daemon has."""
        return {
            "failure_domain": self.zone,
            "http_listen": Address(self.ip_address, http_port),
            "fleet_key_file": key_file,
            "heartbeat_ms": HEARTBEAT_MS,
            "silence_ms": SILENCE_MS,
            "drain_ms": int(self.bounds.grace_period_s * 1000 * DRAIN_FRACTION),
            "failure_domain_regions": self.zones,
        }

    def control(self, key_file: str) -> ControlSettings:
        """Make the settings of a control instance; its host names it."""
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
            **self.common(CONTROL_HTTP_PORT, key_file),
        )

    def direct(self, key_file: str) -> DirectSettings:
        """Make the settings of an entry."""
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
            **self.common(ENTRY_HTTP_PORT, key_file),
        )

    def rollout(self, key_file: str) -> RolloutSettings:
        """Make the settings of a sidecar."""
        return RolloutSettings(
            node_id=f"sidecar-{self.node_name}",
            wire_listen=self.internal_address(SIDECAR_WIRE_PORT_OFFSET),
            control=self.seeds(),
            target=Address.from_text(self.app),
            service=self.service,
            link_mbps=self.limits.link_mbps,
            old_version_ms=self.bounds.version_ms,
            **self.common(SIDECAR_HTTP_PORT, key_file),
        )
