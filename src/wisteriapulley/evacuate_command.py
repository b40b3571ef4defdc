"""Command line: ``wisteriapulley evacuate``."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from wisteriapulley.catalogue_commands import EXIT_OK, Control, TokenFile
from wisteriapulley.errors import ResultCode, SettingsError


@cappa.command(
    name="evacuate",
    help="Send nothing more to the targets of a failure domain, until `--end`.",
)
@dataclass
class EvacuateCommand:
    """Evacuate a failure domain, or withdraw its evacuation."""

    control: Control
    token_file: TokenFile
    failure_domain: Annotated[str, cappa.Arg(help="Failure domain to evacuate.")] = ""
    end: Annotated[bool, cappa.Arg(long=True, help="Withdraw the evacuation.")] = False
    status: Annotated[
        bool,
        cappa.Arg(long=True, help="Only print the evacuated failure domains."),
    ] = False

    def __call__(self) -> int:
        """Send the order, unless only the status is asked for; print what is evacuated.

        Raises
        ------
        SettingsError
            SETTINGS_INVALID: neither a failure domain nor `--status` is given.
        """
        from wisteriapulley.operator_client import OperatorClient

        if not (self.failure_domain or self.status):
            raise SettingsError(
                ResultCode.SETTINGS_INVALID,
                "expected a failure domain or --status, got neither; see"
                " `wisteriapulley evacuate --help`",
            )
        client = OperatorClient.from_files(self.control, self.token_file, "")
        if self.status:
            evacuated = client.evacuated()
        else:
            evacuated = client.set_evacuated(self.failure_domain, not self.end)
        print(f"evacuated: {', '.join(evacuated) or 'none'}")
        return EXIT_OK
