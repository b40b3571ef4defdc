"""Calls of operators and targets to a control instance, independent of their format.

An adapter decodes a call into the types of this package and calls `ControlApi`; see
`wisteriapulley.platform`.
"""

import asyncio
import logging
import zlib
from itertools import islice

import msgspec

from wisteriapulley.control.commands import (
    Command,
    PutRouting,
    PutWeights,
    VersionResult,
    decode_result,
    order_evacuation,
)
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.control.evacuations import EvacuationOrder
from wisteriapulley.control.target_feed import target_fields
from wisteriapulley.errors import CatalogueError, ResultCode
from wisteriapulley.logs import fields
from wisteriapulley.routing import RoutingTable, check_table
from wisteriapulley.routing.homes import home_warnings
from wisteriapulley.wire.messages import TargetState

log = logging.getLogger(__name__)

# A caller without a response within a second turns to another instance. After this
# time the response is that the outcome is unknown.
COMMIT_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 0.8
# One routing table has at most this many warnings about its home regions.
MAX_HOME_WARNINGS = 10
TABLE_DECODER = msgspec.msgpack.Decoder(RoutingTable)


def pack_table(table: RoutingTable) -> bytes:
    """Encode a routing table for the log and the wire."""
    return zlib.compress(msgspec.msgpack.encode(without_trailing_defaults(table)))


def without_trailing_defaults(value: object) -> object:
    """Return a table or a part of it without the last fields that have their default.

    An instance of an earlier release reads tables that use none of the newer fields:
    it rejects an array that is longer than its own type.
    """
    if not isinstance(value, tuple):
        return value
    items = [without_trailing_defaults(item) for item in value]
    defaults = getattr(value, "_field_defaults", {})
    for name in reversed(getattr(value, "_fields", ())):
        if name not in defaults or getattr(value, name) != defaults[name]:
            break
        items.pop()
    return items


def unpack_table(content: bytes) -> RoutingTable:
    """Decode a routing table encoded by `pack_table`.

    Raises
    ------
    msgspec.DecodeError, zlib.error
        The content is not an encoded routing table.
    """
    return TABLE_DECODER.decode(zlib.decompress(content))


class ControlApi:
    """Handles calls of operators and targets at one control instance.

    Parameters
    ----------
    service : ControlService
        The service whose replica, state and followers the calls use.
    """

    def __init__(self, service):
        self.service = service
        self.warned_version = 0

    async def replace_routing(self, table: RoutingTable, original: bytes) -> int:
        """Commit a routing table and put it in force.

        Parameters
        ----------
        table : RoutingTable
            The table, decoded by the adapter.
        original : bytes
            The table as received, to be returned by `read_routing`.

        Returns
        -------
        int
            The version in force; at least that of `table`.

        Raises
        ------
        CatalogueError
            The table is not valid.
        WisteriapulleyError
            NO_QUORUM: the table may or may not be in force; send it again.
        """
        check_table(table)
        command = PutRouting(table.version, pack_table(table), zlib.compress(original))
        current = self.service.state.routing.version
        if table.version <= current:
            return current
        self.warn_of_homes(table)
        return await self.commit(command)

    def warn_of_homes(self, table: RoutingTable) -> None:
        """Log, once per version, which homes leave requests without any target."""
        if table.version <= self.warned_version:
            return
        self.warned_version = table.version
        regions = self.service.settings.failure_domain_regions.values()
        for warning in islice(home_warnings(table, regions), MAX_HOME_WARNINGS):
            log.warning(
                "routing table: %s", warning, extra=fields(revision=table.version)
            )

    async def set_desired_version(self, model: str, version: int) -> int:
        """Commit the desired version of a model's weights; see `replace_routing`."""
        current = self.service.state.weights.get(model, 0)
        if version <= current:
            return current
        return await self.commit(PutWeights(model, version))

    async def commit(self, command: Command) -> int:
        """Commit a command that sets a version; return the version in force."""
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

    async def evacuate(self, failure_domain: str) -> None:
        """Commit that nothing more is sent to the targets of a failure domain.

        Raises
        ------
        CatalogueError
            FAILURE_DOMAIN_UNKNOWN: no such failure domain is known.
        WisteriapulleyError
            NO_QUORUM: the order may or may not be in force; send it again.
        """
        await self.set_evacuated(failure_domain, True)

    async def end_evacuation(self, failure_domain: str) -> None:
        """Commit the withdrawal of an evacuation; see `evacuate`."""
        await self.set_evacuated(failure_domain, False)

    async def set_evacuated(self, failure_domain: str, evacuated: bool) -> None:
        """Commit whether a failure domain is evacuated, unless it is so already."""
        self.check_failure_domain(failure_domain)
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                await self.service.driver.read_barrier()
                state = self.service.state.evacuations.state_of(failure_domain)
                if state.evacuated != evacuated:
                    await self.commit_order(
                        EvacuationOrder(failure_domain, evacuated, state.revision)
                    )
        except TimeoutError as error:
            raise no_quorum("no majority answered in time") from error
        log.info(
            "evacuation accepted" if evacuated else "end of evacuation accepted",
            extra=fields(failure_domain=failure_domain),
        )

    async def commit_order(self, order: EvacuationOrder) -> None:
        """Commit an evacuation order."""
        command = order_evacuation(order)
        data = await self.service.propose(command)
        result: VersionResult = decode_result(command, data)
        if result.evacuated is not order.evacuated:
            raise no_quorum(
                f"{order.failure_domain} was ordered otherwise meanwhile, or the"
                " leader runs an earlier release"
            )

    def check_failure_domain(self, failure_domain: str) -> None:
        """Raise if a failure domain is not known."""
        service = self.service
        members = service.members.view.values()
        known = {member.failure_domain for member in members}
        known |= service.publisher.known_failure_domains()
        if failure_domain in known:
            return
        if not (service.settings.failure_domain_regions or service.members_complete):
            raise no_quorum("this instance has just started and knows no targets yet")
        raise CatalogueError(
            ResultCode.FAILURE_DOMAIN_UNKNOWN,
            f"expected one of the failure domains {', '.join(sorted(known))}, got"
            f" {failure_domain!r}",
        )

    async def read_evacuated(self) -> tuple[str, ...]:
        """Return the evacuated failure domains, confirmed by a quorum.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: this instance can't confirm which domains are evacuated.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self.service.driver.read_barrier()
        except TimeoutError as error:
            raise no_quorum("no majority answered in time") from error
        return self.service.state.evacuations.evacuated

    async def read_routing(self) -> bytes:
        """Return the newest routing table as its operator sent it.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: this instance can't confirm which table is the newest, or
            no table was accepted yet.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self.service.driver.read_barrier()
        except TimeoutError as error:
            raise no_quorum("no majority answered in time") from error
        routing = self.service.state.routing
        if not routing.version:
            raise no_quorum("no routing table has been accepted yet")
        return zlib.decompress(routing.original)

    async def observe_target(self, state: TargetState) -> None:
        """Record a target's announcement; a change is published at once.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: the target announced that it leaves, and too few instances know
            that; it should announce it to another one.
        """
        if self.service.publisher.target_feed.observe_announcement(state):
            log.info("target changed", extra=target_fields(state))
        if state.leaving:
            await self.service.leaves.confirm(state.target_id)

    async def remove_target(self, target_id: str) -> None:
        """Record that a target shuts down; see `observe_target` for the errors."""
        state = self.service.publisher.target_feed.record_end(target_id)
        log.info("target changed", extra=target_fields(state))
        await self.service.leaves.confirm(target_id)
