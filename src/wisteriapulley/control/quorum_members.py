"""Operators' routes for the control instances themselves.

Instances join by themselves (`control join`, then run) and get their vote when
they hold every committed record; operators look and remove.
"""

import msgspec
from aiohttp import web

from wisteriapulley.control.driver import no_quorum
from wisteriapulley.control.operators import OperatorHandlers, json_response
from wisteriapulley.errors import ResultCode, StorageError


class MemberRow(msgspec.Struct, frozen=True):
    """One disk of the quorum; `match_index` is what it holds synced."""

    node_id: str
    identity: str
    votes: bool
    match_index: int
    answers: bool


class MemberList(msgspec.Struct, frozen=True):
    """Answer of ``/v1/control/members``, as the leader sees it."""

    leader: str
    term: int
    commit_index: int
    members: tuple[MemberRow, ...]


def quorum_routes(service) -> list[web.RouteDef]:
    """Make the routes of `service` (a ControlService)."""
    routes = QuorumHandlers(service)
    return [
        web.get("/v1/control/members", routes.list_members),
        web.delete("/v1/control/members/{node_id}", routes.remove_member),
    ]


class QuorumHandlers:
    """Handlers; only the leader answers, others say to ask it."""

    def __init__(self, service):
        self.service = service
        self.operators = OperatorHandlers(service)

    def require_leader(self, request: web.Request):
        """Return the replica, if the operator is known and it leads.

        Raises
        ------
        WisteriapulleyError
            UNAUTHORIZED, or NO_QUORUM when another instance is to be asked.
        """
        self.operators.authenticate(request)
        replica = self.service.driver.replica
        if self.service.driver.own_lease() is None:
            raise no_quorum(f"{replica.leader or 'no instance'} leads; ask it")
        return replica

    async def list_members(self, request: web.Request) -> web.Response:
        """Return who takes part."""
        return json_response(member_list(self.require_leader(request)))

    async def remove_member(self, request: web.Request) -> web.Response:
        """Take a member out for good; a leader hands over first."""
        replica = self.require_leader(request)
        node_id = request.match_info["node_id"]
        if node_id not in replica.members.node_ids():
            raise StorageError(
                ResultCode.MEMBER_UNKNOWN,
                f"expected one of {replica.members.node_ids()}, got {node_id!r}",
            )
        if node_id == replica.node_id and len(replica.members.voters) > 1:
            await self.service.driver.hand_over()
            raise no_quorum(f"{node_id} handed its lead over; send it again")
        await self.service.driver.wait_committed(replica.remove_member(node_id))
        return json_response(member_list(replica))


def member_list(replica) -> MemberList:
    """List the disks that vote, then those that learn."""
    members = replica.members
    disks = [(n, i, True) for n, i in members.voters.items()]
    disks += [(n, i, False) for n, i in members.learners.items()]
    rows = tuple(member_row(replica, *disk) for disk in disks)
    return MemberList(replica.node_id, replica.term, replica.commit_index, rows)


def member_row(replica, node_id: str, identity: str, votes: bool) -> MemberRow:
    """Describe one disk."""
    if identity == replica.identity:
        return MemberRow(node_id, identity, votes, replica.synced_index, True)
    progress = replica.progress.get(node_id)
    if progress is None or progress.identity != identity:
        return MemberRow(node_id, identity, votes, 0, False)
    alive = replica.is_responsive(node_id)
    return MemberRow(node_id, identity, votes, progress.match_index, alive)
