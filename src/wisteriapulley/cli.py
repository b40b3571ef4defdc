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

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_CONFLICT = 4
EXIT_NO_QUORUM = 5
EXIT_STILL_PROPAGATING = 6
# A script tells by these whether to resend, to look, or to correct a file.
EXIT_BY_CODE = {
    ResultCode.REVISION_CONFLICT: EXIT_CONFLICT,
    ResultCode.CHANGE_ID_CONFLICT: EXIT_CONFLICT,
    ResultCode.NO_QUORUM: EXIT_NO_QUORUM,
    ResultCode.STILL_PROPAGATING: EXIT_STILL_PROPAGATING,
}

MEMBERS_PATH = "/v1/control/members"

SettingsFile = Annotated[str, cappa.Arg(help="JSON settings file.")]


def run_daemon(role: str, path: str) -> int:
    """Check settings, then become the daemon.

    The command line's libraries take some 13 MB; the daemon takes the process
    over without them, under the same process id.
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


@cappa.command(name="init", help="Found the fleet's cluster: on one instance, once.")
@dataclass
class ControlInit:
    """Found the cluster on this instance."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Write the identity of the one founding voter."""
        from wisteriapulley.consensus.setup import init_folder
        from wisteriapulley.control.founding import refuse_if_founded
        from wisteriapulley.settings import load_settings

        settings = load_settings(self.settings, "control")
        refuse_if_founded(settings)
        identity = init_folder(settings)
        print(f"{settings.data_folder}: {settings.node_id} founds, {identity.identity}")
        return EXIT_OK


@cappa.command(name="join", help="Make the folder of an instance that joins.")
@dataclass
class ControlJoin:
    """Make the folder of an instance that joins."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Write the identity of a learner."""
        from wisteriapulley.consensus.setup import join_folder
        from wisteriapulley.settings import load_settings

        settings = load_settings(self.settings, "control")
        identity = join_folder(settings)
        print(f"{settings.data_folder}: {settings.node_id} joins, {identity.identity}")
        return EXIT_OK


@cappa.command(name="members", help="Show who votes, who learns and how far each is.")
@dataclass
class ControlMembers:
    """Show the members of the quorum."""

    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Print them as JSON."""
        return show_members(self.control, self.token_file, "GET")


@cappa.command(name="remove", help="Take an instance out of the quorum for good.")
@dataclass
class ControlRemove:
    """Remove a member."""

    node_id: Annotated[str, cappa.Arg(help="Control instance to remove.")]
    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Remove it and print who is left."""
        return show_members(self.control, self.token_file, "DELETE", self.node_id)


@cappa.command(name="control", help="Control instance: catalogue, claims, permits.")
@dataclass
class ControlCommand:
    """Control instance."""

    command: cappa.Subcommands[
        ControlRun | ControlInit | ControlJoin | ControlMembers | ControlRemove
    ]


@cappa.command(name="entry", help="Entry: serves callers.")
@dataclass
class EntryCommand:
    """Entry."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until SIGTERM."""
        return run_daemon("entry", self.settings)


@cappa.command(name="sidecar", help="Sidecar: beside each target.")
@dataclass
class SidecarCommand:
    """Sidecar."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Run until SIGTERM."""
        return run_daemon("sidecar", self.settings)


def show_members(control: str, token_file: str, method: str, node_id: str = "") -> int:
    """Ask the leader about the members and print its answer."""
    from wisteriapulley.operator_client import OperatorClient

    client = OperatorClient.from_files(control, token_file, "")
    path = f"{MEMBERS_PATH}/{node_id}" if node_id else MEMBERS_PATH
    print(client.request(method, path).decode())
    return EXIT_OK


@cappa.command(name="build", help="Build the manifest of a file tree.")
@dataclass
class ManifestBuild:
    """Build a manifest."""

    folder: Annotated[str, cappa.Arg(help="Root of the file tree.")]
    output: Annotated[str, cappa.Arg(help="Manifest file to write.")]
    chunk_bytes: Annotated[
        int, cappa.Arg(long=True, help="Length of a chunk, in bytes.")
    ] = 4 << 20

    def __call__(self) -> int:
        """Write the manifest and print the version."""
        from wisteriapulley.weights.manifest import build_manifest

        manifest = build_manifest(self.folder, self.chunk_bytes)
        Path(self.output).write_bytes(manifest.to_bytes())
        print(manifest.digest)
        return EXIT_OK


@cappa.command(name="verify", help="Check a file tree against its manifest.")
@dataclass
class ManifestVerify:
    """Verify a file tree."""

    folder: Annotated[str, cappa.Arg(help="Root of the file tree.")]
    manifest: Annotated[str, cappa.Arg(help="Manifest file.")]

    def __call__(self) -> int:
        """Print the version when every byte matches."""
        from wisteriapulley.weights.manifest import Manifest, verify_folder

        manifest = Manifest.from_bytes(Path(self.manifest).read_bytes())
        verify_folder(self.folder, manifest)
        print(f"{manifest.digest} matches")
        return EXIT_OK


@cappa.command(name="manifest", help="Build and verify manifests of weights.")
@dataclass
class ManifestCommand:
    """Manifests."""

    command: cappa.Subcommands[ManifestBuild | ManifestVerify]


@cappa.command(name="check", help="Check a settings file.")
@dataclass
class SettingsCheck:
    """Check a settings file."""

    role: Annotated[str, cappa.Arg(choices=["control", "entry", "sidecar"])]
    settings: SettingsFile

    def __call__(self) -> int:
        """Print that the file is fine."""
        from wisteriapulley.settings import load_settings

        load_settings(self.settings, self.role)
        print(f"{self.settings}: valid settings of a {self.role}")
        return EXIT_OK


@cappa.command(name="settings", help="Check settings files.")
@dataclass
class SettingsCommand:
    """Settings."""

    command: cappa.Subcommands[SettingsCheck]


@cappa.command(name="experiment", help="Compare decisions on the emulator.")
@dataclass
class ExperimentCommand:
    """Compare decisions under the same load."""

    mix: Annotated[str, cappa.Arg(long=True, help="trinacria or lettercraft.")] = (
        "trinacria"
    )
    engines: Annotated[int, cappa.Arg(long=True, help="Engines that serve.")] = 10
    load: Annotated[float, cappa.Arg(long=True, help="Share of the peak.")] = 0.9
    seeds: Annotated[int, cappa.Arg(long=True, help="Runs of each row.")] = 4

    def __call__(self) -> int:
        """Print a table."""
        from wisteriapulley.emulator import MIXES, Scenario
        from wisteriapulley.emulator.experiment import format_table, run_variants

        if self.mix not in MIXES or min(self.engines, self.load, self.seeds) <= 0:
            raise WisteriapulleyError(
                ResultCode.SETTINGS_INVALID,
                f"expected a mix of {sorted(MIXES)} and figures above 0, got"
                f" {self.mix!r}, {self.engines}, {self.load}, {self.seeds}",
            )
        base = Scenario(self.mix, self.engines, self.load)
        for line in format_table(run_variants(base, self.seeds)):
            print(line)
        return EXIT_OK


@cappa.command(name="explain", help="Tell from log files why a request ended so.")
@dataclass
class ExplainCommand:
    """Explain one request."""

    request_id: Annotated[str, cappa.Arg(help="Id of the request.")]
    files: Annotated[list[str], cappa.Arg(help="Log files of all processes.")]

    def __call__(self) -> int:
        """Print the cause, the request's lines and what happened around it."""
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
        SETTINGS_UNREADABLE: the file can't be read.
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
    help="Spread model weights in bursts; one catalogue rules the fleet.",
)
@dataclass
class Main:
    """The whole command line."""

    command: cappa.Subcommands[
        ControlCommand
        | EntryCommand
        | SidecarCommand
        | CatalogueCommand
        | ManifestCommand
        | SettingsCommand
        | ExplainCommand
        | ExperimentCommand
    ]


def main(argv: list[str] | None = None) -> int:
    """Run a command; an error's code and message go to standard error.

    Returns
    -------
    int
        0, 1 on an error, 2 on wrong usage, 3 when ``diff`` finds one, 4 on a
        conflict, 5 without a quorum, 6 when not yet in force everywhere.
    """
    try:
        return cappa.invoke(Main, argv=argv, version=__version__) or EXIT_OK
    except WisteriapulleyError as error:
        print(error, file=sys.stderr)
        return EXIT_BY_CODE.get(error.code, EXIT_ERROR)


if __name__ == "__main__":
    sys.exit(main())
