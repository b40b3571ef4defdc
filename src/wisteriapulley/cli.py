"""Command line: ``wisteriapulley``."""

import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from wisteriapulley import __version__
from wisteriapulley.catalogue_commands import CatalogueCommand, Control, TokenFile
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.evacuate_command import EvacuateCommand
from wisteriapulley.quarantine_command import QuarantineCommand

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_CONFLICT = 4
EXIT_NO_QUORUM = 5
EXIT_STILL_PROPAGATING = 6
# Exit statuses that let a script decide whether to resend, to check the status or to
# correct a file.
EXIT_BY_CODE = {
    ResultCode.REVISION_CONFLICT: EXIT_CONFLICT,
    ResultCode.CHANGE_ID_CONFLICT: EXIT_CONFLICT,
    ResultCode.NO_QUORUM: EXIT_NO_QUORUM,
    ResultCode.STILL_PROPAGATING: EXIT_STILL_PROPAGATING,
}

MEMBERS_PATH = "/v1/control/members"

SettingsFile = Annotated[str, cappa.Arg(help="JSON settings file.")]


def run_daemon(role: str, path: str) -> int:
    """Validate the settings, then replace this process with the daemon.

    The libraries of the command line use about 13 MB. The exec frees this memory
    and keeps the process id.
    """
    from wisteriapulley.settings import load_settings

    load_settings(path, role)
    sys.stdout.flush()
    module = "wisteriapulley.daemon"
    os.execv(sys.executable, [sys.executable, "-m", module, role, path])


@cappa.command(name="run", help="Run a control instance.")
@dataclass
class ControlRun:
    """Run a control instance."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until SIGTERM."""
        return run_daemon("control", self.settings)


@cappa.command(
    name="init", help="Initialize the cluster; run it once, on one instance."
)
@dataclass
class ControlInit:
    """Initialize the cluster on this instance."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Write the identity of the first voter."""
        from wisteriapulley.consensus.setup import init_folder
        from wisteriapulley.control.founding import check_not_founded
        from wisteriapulley.settings import load_settings

        settings = load_settings(self.settings, "control")
        check_not_founded(settings)
        identity = init_folder(settings)
        print(
            f"{settings.data_folder}: {settings.node_id} initializes the cluster,"
            f" {identity.identity}"
        )
        return EXIT_OK


@cappa.command(name="join", help="Create the data folder of an instance that joins.")
@dataclass
class ControlJoin:
    """Create the data folder of an instance that joins."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Write the identity of a learner."""
        from wisteriapulley.consensus.setup import join_folder
        from wisteriapulley.settings import load_settings

        settings = load_settings(self.settings, "control")
        identity = join_folder(settings)
        print(
            f"{settings.data_folder}: {settings.node_id} joins the cluster,"
            f" {identity.identity}"
        )
        return EXIT_OK


@cappa.command(name="members", help="Show voters, learners and their log positions.")
@dataclass
class ControlMembers:
    """Show the members of the cluster."""

    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Print the members as JSON."""
        return show_members(self.control, self.token_file, "GET")


@cappa.command(name="remove", help="Remove an instance from the cluster permanently.")
@dataclass
class ControlRemove:
    """Remove a member of the cluster."""

    node_id: Annotated[str, cappa.Arg(help="Control instance to remove.")]
    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Remove the member and print the remaining ones."""
        return show_members(self.control, self.token_file, "DELETE", self.node_id)


@cappa.command(name="control", help="Control instance: catalogue, claims, permits.")
@dataclass
class ControlCommand:
    """Control instance."""

    command: cappa.Subcommands[
        ControlRun | ControlInit | ControlJoin | ControlMembers | ControlRemove
    ]


@cappa.command(name="entry", help="Run an entry: the front end that serves callers.")
@dataclass
class EntryCommand:
    """Run an entry."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until SIGTERM."""
        return run_daemon("entry", self.settings)


@cappa.command(name="sidecar", help="Run a sidecar: one runs beside each target.")
@dataclass
class SidecarCommand:
    """Run a sidecar."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until SIGTERM."""
        return run_daemon("sidecar", self.settings)


def show_members(control: str, token_file: str, method: str, node_id: str = "") -> int:
    """Query or change the cluster's members and print the response."""
    from wisteriapulley.operator_client import OperatorClient

    client = OperatorClient.from_files(control, token_file, "")
    path = f"{MEMBERS_PATH}/{node_id}" if node_id else MEMBERS_PATH
    print(client.request(method, path).decode())
    return EXIT_OK


@cappa.command(name="build", help="Build the manifest of a file tree.")
@dataclass
class ManifestBuild:
    """Build a manifest."""

    folder: Annotated[str, cappa.Arg(help="Root folder of the file tree.")]
    output: Annotated[str, cappa.Arg(help="Manifest file to write.")]
    chunk_bytes: Annotated[
        int, cappa.Arg(long=True, help="Size of a chunk, in bytes.")
    ] = 4 << 20

    def __call__(self) -> int:
        """Write the manifest and print its digest."""
        from wisteriapulley.weights.manifest import build_manifest

        manifest = build_manifest(self.folder, self.chunk_bytes)
        Path(self.output).write_bytes(manifest.to_bytes())
        print(manifest.digest)
        return EXIT_OK


@cappa.command(name="verify", help="Check a file tree against its manifest.")
@dataclass
class ManifestVerify:
    """Verify a file tree."""

    folder: Annotated[str, cappa.Arg(help="Root folder of the file tree.")]
    manifest: Annotated[str, cappa.Arg(help="Manifest file.")]

    def __call__(self) -> int:
        """Print the digest if all files match the manifest."""
        from wisteriapulley.weights.manifest import Manifest, verify_folder

        manifest = Manifest.from_bytes(Path(self.manifest).read_bytes())
        verify_folder(self.folder, manifest)
        print(f"{manifest.digest} matches")
        return EXIT_OK


@cappa.command(name="manifest", help="Build and verify manifests of weights.")
@dataclass
class ManifestCommand:
    """Build and verify manifests."""

    command: cappa.Subcommands[ManifestBuild | ManifestVerify]


@cappa.command(name="check", help="Check a settings file.")
@dataclass
class SettingsCheck:
    """Check a settings file."""

    role: Annotated[str, cappa.Arg(choices=["control", "entry", "sidecar"])]
    settings: SettingsFile

    def __call__(self) -> int:
        """Print a confirmation if the file is valid."""
        from wisteriapulley.settings import load_settings

        load_settings(self.settings, self.role)
        print(f"{self.settings}: valid settings of a {self.role}")
        return EXIT_OK


@cappa.command(name="settings", help="Check settings files.")
@dataclass
class SettingsCommand:
    """Check settings files."""

    command: cappa.Subcommands[SettingsCheck]


@cappa.command(name="experiment", help="Compare scheduling policies on the emulator.")
@dataclass
class ExperimentCommand:
    """Compare scheduling policies under the same load."""

    mix: Annotated[
        str, cappa.Arg(long=True, help="Workload mix: trinacria or lettercraft.")
    ] = "trinacria"
    engines: Annotated[int, cappa.Arg(long=True, help="Number of engines.")] = 10
    load: Annotated[
        float, cappa.Arg(long=True, help="Load as a fraction of the peak.")
    ] = 0.9
    seeds: Annotated[
        int, cappa.Arg(long=True, help="Number of runs (seeds) per row.")
    ] = 4

    def __call__(self) -> int:
        """Print a table of the results."""
        from wisteriapulley.emulator import MIXES, Scenario
        from wisteriapulley.emulator.experiment import format_table, run_variants

        if self.mix not in MIXES or min(self.engines, self.load, self.seeds) <= 0:
            raise WisteriapulleyError(
                ResultCode.SETTINGS_INVALID,
                f"expected a mix of {sorted(MIXES)} and values above 0, got"
                f" {self.mix!r}, {self.engines}, {self.load}, {self.seeds}",
            )
        base = Scenario(self.mix, self.engines, self.load)
        for line in format_table(run_variants(base, self.seeds)):
            print(line)
        return EXIT_OK


@cappa.command(name="explain", help="Explain the outcome of a request from log files.")
@dataclass
class ExplainCommand:
    """Explain the outcome of one request."""

    request_id: Annotated[str, cappa.Arg(help="Id of the request.")]
    files: Annotated[list[str], cappa.Arg(help="Log files of all processes.")]

    def __call__(self) -> int:
        """Print the cause, the log lines of the request and the context."""
        from wisteriapulley.explain import explain, parse, render

        texts = (text for name in self.files for text in read_lines(name))
        explanation = explain(parse(texts), self.request_id)
        print("\n".join(render(explanation)))
        return EXIT_OK if explanation.lines else EXIT_ERROR


def read_lines(name: str) -> list[str]:
    """Read the lines of a log file.

    Raises
    ------
    WisteriapulleyError
        SETTINGS_UNREADABLE: the file cannot be read.
    """
    try:
        return Path(name).read_text(errors="replace").splitlines()
    except OSError as error:
        raise WisteriapulleyError(
            ResultCode.SETTINGS_UNREADABLE,
            f"{name}: expected a readable log file: {error.strerror}",
        ) from error


@cappa.command(
    name="wisteriapulley",
    help="Distribute model weights and route requests, configured by one catalogue.",
)
@dataclass
class Main:
    """Top-level command."""

    command: cappa.Subcommands[
        ControlCommand
        | EntryCommand
        | SidecarCommand
        | CatalogueCommand
        | EvacuateCommand
        | QuarantineCommand
        | ManifestCommand
        | SettingsCommand
        | ExplainCommand
        | ExperimentCommand
    ]


def main(argv: list[str] | None = None) -> int:
    """Run a command; print errors with their code to standard error.

    Returns
    -------
    int
        Exit status: 0 on success, 1 on an error, 2 on wrong usage, 3 if ``diff``
        finds a difference, 4 on a conflict, 5 without a quorum, 6 if a change is
        not yet applied on all instances.
    """
    try:
        return cappa.invoke(Main, argv=argv, version=__version__) or EXIT_OK
    except WisteriapulleyError as error:
        print(error, file=sys.stderr)
        return EXIT_BY_CODE.get(error.code, EXIT_ERROR)


if __name__ == "__main__":
    sys.exit(main())
