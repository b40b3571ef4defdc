"""Command line: ``wisteriapulley catalogue``."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

EXIT_OK = 0
EXIT_DIFFERS = 3

Folder = Annotated[str, cappa.Arg(help="Folder with one JSON file per entry.")]
Control = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env("WISTERIAPULLEY_CONTROL"),
        help="Operator API addresses (ip:port) of control instances, comma-separated.",
    ),
]
TokenFile = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env("WISTERIAPULLEY_TOKEN_FILE"),
        help="File with the bearer token of the operator.",
    ),
]
Owner = Annotated[str, cappa.Arg(long=True, help="Owner of the entries.")]


@cappa.command(name="check", help="Check a folder of entries.")
@dataclass
class CatalogueCheck:
    """Check a folder of entries."""

    folder: Folder

    def __call__(self) -> int:
        """Print the number of valid entries."""
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
        """Print one line per difference; exit with 3 if there is one."""
        from wisteriapulley.operator_client import OperatorClient, format_diff

        client = OperatorClient.from_files(self.control, self.token_file, self.owner)
        lines = list(format_diff(client, self.folder))
        print("\n".join(lines) if lines else "no difference")
        return EXIT_DIFFERS if lines else EXIT_OK


@cappa.command(name="apply", help="Replace the owner's entries by a folder.")
@dataclass
class CatalogueApply:
    """Replace the accepted entries of an owner by those of a folder."""

    folder: Folder
    control: Control
    token_file: TokenFile
    owner: Owner
    change_id: Annotated[
        str,
        cappa.Arg(long=True, help="Id of this change; use the same id to resend."),
    ] = ""
    wait: Annotated[
        int, cappa.Arg(long=True, help="Wait up to this many seconds until in force.")
    ] = 0

    def __call__(self) -> int:
        """Apply the folder and print the revision."""
        from wisteriapulley.operator_client import OperatorClient, apply_folder

        client = OperatorClient.from_files(self.control, self.token_file, self.owner)
        applied = apply_folder(client, self.folder, self.change_id)
        if applied.is_new:
            print(f"accepted at revision {applied.revision}")
        else:
            print(f"nothing to change at revision {applied.revision}")
        if self.wait:
            from wisteriapulley.catalogue_status import wait_in_force

            wait_in_force(client, applied.revision, self.wait)
            print(f"in force everywhere: revision {applied.revision}")
        return EXIT_OK


@cappa.command(name="get", help="Print the accepted catalogue as JSON.")
@dataclass
class CatalogueGet:
    """Print the accepted catalogue."""

    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Print the response."""
        return print_response("/v1/catalogue", self.control, self.token_file)


@cappa.command(name="history", help="Print the accepted changes as JSON.")
@dataclass
class CatalogueHistory:
    """Print the accepted changes."""

    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Print the response."""
        return print_response("/v1/catalogue/history", self.control, self.token_file)


@cappa.command(name="status", help="Show the state of each failure domain and node.")
@dataclass
class CatalogueStatus:
    """Show the state of each failure domain and node."""

    control: Control
    token_file: TokenFile

    def __call__(self) -> int:
        """Print the status table."""
        from wisteriapulley.catalogue_status import status_table
        from wisteriapulley.operator_client import OperatorClient

        client = OperatorClient.from_files(self.control, self.token_file, "")
        print("\n".join(status_table(client.status())))
        return EXIT_OK


def print_response(path: str, control: str, token_file: str) -> int:
    """Print the response to a GET request to a control instance."""
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
