"""A node that only watches the catalogue, through the control client of the daemons.

Writes one JSON object per line: each revision when it comes into force, and once a
second the bytes that the link to the control instance has carried.
"""

import argparse
import asyncio
import json
import time
from typing import TextIO

import uvloop

from wisteriapulley.control.client import ControlClient
from wisteriapulley.settings import EntrySettings, load_fleet_key, load_settings
from wisteriapulley.wire import messages
from wisteriapulley.wire.handshake import Identity

STATS_S = 1.0


class Watcher:
    """One watching node.

    Parameters
    ----------
    settings : EntrySettings
        Settings of an entry.
    records : TextIO
        Output file.
    """

    def __init__(self, settings: EntrySettings, records: TextIO):
        self.settings = settings
        self.records = records
        self.incarnation = time.time_ns() // 1000
        identity = Identity(
            settings.node_id,
            "entry",
            settings.failure_domain,
            self.incarnation,
            load_fleet_key(settings.fleet_key_file),
        )
        self.control = ControlClient(
            settings, identity, (), self.heartbeat, self.record_revision, lambda: None
        )

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat of an entry."""
        return messages.Heartbeat(self.control.catalogue.revision, False, "open")

    def record_revision(self) -> None:
        """Record and report a revision that came into force."""
        revision = self.control.catalogue.revision
        self.write_record(kind="revision", revision=revision, at=time.monotonic())
        self.control.send_report(
            messages.Report(
                node_id=self.settings.node_id,
                failure_domain=self.settings.failure_domain,
                revision=revision,
                state="open",
                role="entry",
                incarnation=self.incarnation,
            )
        )

    def write_record(self, **values: object) -> None:
        """Write one record."""
        self.records.write(json.dumps(values) + "\n")
        self.records.flush()

    async def run(self) -> None:
        """Watch until the process is killed."""
        self.control.announce(
            messages.Announce(
                self.settings.node_id,
                self.incarnation,
                "entry",
                "",
                self.settings.failure_domain,
                str(self.settings.http_listen),
            )
        )
        self.control.start()
        while True:
            await asyncio.sleep(STATS_S)
            link = self.control.connection.open_link
            if link is not None:
                total_bytes = link.bytes_sent + link.bytes_received
                self.write_record(kind="stats", bytes=total_bytes, at=time.monotonic())


def main() -> None:
    """Run one watcher."""
    parser = argparse.ArgumentParser()
    parser.add_argument("settings")
    parser.add_argument("records")
    arguments = parser.parse_args()
    settings = load_settings(arguments.settings, "entry")
    with open(arguments.records, "a") as records:
        uvloop.run(Watcher(settings, records).run())


if __name__ == "__main__":
    main()
