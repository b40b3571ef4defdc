"""What operators and targets order or announce, whatever format they speak.

An adapter decodes a call into the product's types and calls `Orders`; see
`wisteriapulley.platform`.
"""

import asyncio
import logging
import zlib

import msgspec

from wisteriapulley.control.commands import (
    Command,
    PutRouting,
    PutWeights,
    VersionResult,
    decode_result,
)
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.logs import fields
from wisteriapulley.routing import RoutingTable, check_table
from wisteriapulley.wire.messages import TargetState

log = logging.getLogger(__name__)

# A caller that hears nothing within a second goes to another instance: past
# this time the answer is that the outcome is not known.
COMMIT_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 0.8
TABLE_DECODER = msgspec.msgpack.Decoder(RoutingTable)


def pack_table(table: RoutingTable) -> bytes:
    """Encode a routing table for the log and the wire."""
    return zlib.compress(msgspec.msgpack.encode(table))


def unpack_table(content: bytes) -> RoutingTable:
    """Decode what `pack_table` made.

    Raises
    ------
    msgspec.DecodeError, zlib.error
        The content is not a table.
    """
    return TABLE_DECODER.decode(zlib.decompress(content))


class ControlApi:
    """Calls of operators and targets at one control instance.

    Parameters
    ----------
    service : ControlService
        Whose replica, state and followers they reach.
    """

    def __init__(self, service):
        self.service = service

    async def replace_routing(self, table: RoutingTable, original: bytes) -> int:
        """Put a routing table in force.

        Parameters
        ----------
        table : RoutingTable
            Decoded by the adapter.
        original : bytes
            The text as it came, to be read back.

        Returns
        -------
        int
            The version in force; not below the table's.

        Raises
        ------
        CatalogueError
            The table is not valid.
        WisteriapulleyError
            NO_QUORUM: it is not known whether it is in force; send it again.
        """
        check_table(table)
        command = PutRouting(table.version, pack_table(table), zlib.compress(original))
        held = self.service.state.routing.version
        if table.version <= held:
            return held
        return await self.commit(command)

    async def set_desired_version(self, model: str, version: int) -> int:
        """Name the version of a model's weights; see `replace_routing`."""
        held = self.service.state.weights.get(model, 0)
        if version <= held:
            return held
        return await self.commit(PutWeights(model, version))

    async def commit(self, command: Command) -> int:
        """Commit a command that names a version; return the one in force."""
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                data = await self.service.propose(command)
        except TimeoutError as error:
            raise no_quorum("no majority answered in time") from error
        result: VersionResult = decode_result(command, data)
        log.info(
            "%s accepted",
            type(command).__name__,
            extra=fields(revision=command.version, held=result.version),
        )
        return result.version

    async def read_routing(self) -> bytes:
        """Return the newest table as its operator sent it.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: this instance can't be sure which one is the newest, or
            none was sent yet.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self.service.driver.read_barrier()
        except TimeoutError as error:
            raise no_quorum("no majority answered in time") from error
        routing = self.service.state.routing
        if not routing.version:
            raise no_quorum("no routing table was accepted yet")
        return zlib.decompress(routing.original)

    def observe_target(self, state: TargetState) -> None:
        """Take a target's announcement; what changed is told at once."""
        if self.service.publisher.target_feed.observe_announcement(state):
            log.info("target changed", extra=target_fields(state))

    def remove_target(self, target_id: str) -> None:
        """Take a target's word that it ends."""
        state = self.service.publisher.target_feed.record_end(target_id)
        log.info("target changed", extra=target_fields(state))


def target_fields(state: TargetState) -> dict[str, object]:
    """Describe a target for a log line."""
    return fields(
        target=state.target_id,
        service=state.service,
        address=state.address,
        sequence=state.sequence,
        leaving=state.leaving,
        gone=state.gone,
        version=state.version,
    )
