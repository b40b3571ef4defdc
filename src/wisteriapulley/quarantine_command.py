"""Command line: ``wisteriapulley quarantine``."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from wisteriapulley.catalogue_commands import EXIT_OK, Control, TokenFile


@cappa.command(
    name="quarantine",
    help="Print what is sent to no target since it crashes them, or lift that.",
)
@dataclass
class QuarantineCommand:
    """Print the quarantined requests and parts of prompts, or lift one quarantine."""

    control: Control
    token_file: TokenFile
    lift: Annotated[
        str,
        cappa.Arg(long=True, help="Fingerprint whose quarantine ends, as in logs."),
    ] = ""

    def __call__(self) -> int:
        """Send the order, if any; print a line for each quarantine that is left."""
        from wisteriapulley.operator_client import OperatorClient

        client = OperatorClient.from_files(self.control, self.token_file, "")
        if self.lift:
            quarantined = client.lift_quarantine(self.lift)
        else:
            quarantined = client.quarantined()
        for row in quarantined:
            targets = len(row.ended)
            print(f"{row.fingerprint} {row.kind}: {targets} ends, {row.age_s} s ago")
        if not quarantined:
            print("nothing is quarantined")
        return EXIT_OK
