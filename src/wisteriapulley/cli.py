"""Command line: ``wisteriapulley``."""

import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from wisteriapulley import __version__
from wisteriapulley.errors import WisteriapulleyError

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_DIFFERS = 3

SettingsFile = Annotated[str, cappa.Arg(help="JSON settings file.")]
Folder = Annotated[str, cappa.Arg(help="Folder with one JSON file an entry.")]
Control = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env("WISTERIAPULLEY_CONTROL"),
        help="Operators' addresses of control instances, ip:port, by commas.",
    ),
]
TokenFile = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env("WISTERIAPULLEY_TOKEN_FILE"),
        help="File that holds the operator's bearer token.",
    ),
]
Owner = Annotated[str, cappa.Arg(long=True, help="Owner whose entries these are.")]


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


@cappa.command(name="init", help="Make the data folder of a founding instance, once.")
@dataclass
class ControlInit:
    """Make a founding instance's data folder."""

    settings: SettingsFile

    def __call__(self) -> int:
        """Write the identity."""
        from wisteriapulley.consensus.setup import init_folder
        from wisteriapulley.settings import load_settings

        settings = load_settings(self.settings, "control")
        init_folder(settings)
        print(f"{settings.data_folder}: initialised for {settings.node_id}")
        return EXIT_OK


@cappa.command(name="control", help="Control instance: catalogue, claims, permits.")
@dataclass
class ControlCommand:
    """Control instance."""

    command: cappa.Subcommands[ControlRun | ControlInit]


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


@cappa.command(name="check", help="Check a folder of entries.")
@dataclass
class CatalogueCheck:
    """Check a folder of entries."""

    folder: Folder

    def __call__(self) -> int:
        """Print how many entries are fine."""
        from wisteriapulley.catalogue import load_folder

        print(f"{self.folder}: {len(load_folder(self.folder))} entries are valid")
        return EXIT_OK


@cappa.command(name="diff", help="Show what apply would change.")
@dataclass
class CatalogueDiff:
    """Show what apply would change."""

    folder: Folder
    control: Control
    token_file: TokenFile
    owner: Owner

    def __call__(self) -> int:
        """Print a line each change; exit 3 when there is one."""
        from wisteriapulley.operator_client import OperatorClient, show_diff

        client = OperatorClient.from_files(self.control, self.token_file, self.owner)
        lines = list(show_diff(client, self.folder))
        print("\n".join(lines) if lines else "no difference")
        return EXIT_DIFFERS if lines else EXIT_OK


@cappa.command(name="apply", help="Make the accepted entries those of a folder.")
@dataclass
class CatalogueApply:
    """Make the accepted entries those of a folder."""

    folder: Folder
    control: Control
    token_file: TokenFile
    owner: Owner
    change_id: Annotated[
        str, cappa.Arg(long=True, help="Number of this change; the same on a resend.")
    ] = ""
    wait: Annotated[
        int, cappa.Arg(long=True, help="Wait so many seconds until in force.")
    ] = 0

    def __call__(self) -> int:
        """Apply and print the revision."""
        from wisteriapulley.operator_client import OperatorClient, apply_folder

        client = OperatorClient.from_files(self.control, self.token_file, self.owner)
        revision = apply_folder(client, self.folder, self.change_id)
        print(f"accepted at revision {revision}")
        if self.wait:
            from wisteriapulley.operator_client import wait_in_force

            wait_in_force(client, revision, self.wait)
        return EXIT_OK


@cappa.command(name="get", help="Print the accepted catalogue as JSON.")
@dataclass
class CatalogueGet:
    """Print the accepted catalogue."""

    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Print it."""
        return show("/v1/catalogue", self.control, self.token_file)


@cappa.command(name="history", help="Print the accepted changes as JSON.")
@dataclass
class CatalogueHistory:
    """Print the accepted changes."""

    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Print them."""
        return show("/v1/catalogue/history", self.control, self.token_file)


@cappa.command(name="status", help="Show what is in force by failure domain.")
@dataclass
class CatalogueStatus:
    """Show what is in force."""

    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Print a table."""
        from wisteriapulley.operator_client import OperatorClient, status_table

        client = OperatorClient.from_files(self.control, self.token_file, "")
        print("\n".join(status_table(client.status())))
        return EXIT_OK


def show(path: str, control: str, token_file: str) -> int:
    """Print what an operators' page answers."""
    from wisteriapulley.operator_client import OperatorClient

    client = OperatorClient.from_files(control, token_file, "")
    sys.stdout.write(client.request("GET", path).decode() + "\n")
    return EXIT_OK


@cappa.command(name="catalogue", help="Check, diff, apply and watch the catalogue.")
@dataclass
class CatalogueCommand:
    """The catalogue."""

    command: cappa.Subcommands[
        CatalogueCheck
        | CatalogueDiff
        | CatalogueApply
        | CatalogueGet
        | CatalogueHistory
        | CatalogueStatus
    ]


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
    ]


def main(argv: list[str] | None = None) -> int:
    """Run a command; an error's code and message go to standard error.

    Returns
    -------
    int
        0, 1 on an error, 2 on wrong usage, 3 when ``diff`` finds one.
    """
    try:
        return cappa.invoke(Main, argv=argv, version=__version__) or EXIT_OK
    except WisteriapulleyError as error:
        print(error, file=sys.stderr)
        return EXIT_ERROR


if __name__ == "__main__":
    sys.exit(main())
