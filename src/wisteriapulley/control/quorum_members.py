"""Operators' routes for the quorum of control instances.

Instances join by themselves (`control join`, then run) and become voters once they
hold every committed record. Operators list and remove them.
"""

import msgspec
from aiohttp import web

from wisteriapulley.control.driver import no_quorum
from wisteriapulley.control.operators import OperatorHandlers, json_response
from wisteriapulley.errors import ResultCode, StorageError


class MemberRow(msgspec.Struct, frozen=True):
    """One disk of the quorum; `match_index` is the last log index synced on it."""

    node_id: str
    identity: str
    votes: bool
    match_index: int
    answers: bool


class MemberList(msgspec.Struct, frozen=True):
    """Response of ``/v1/control/members``, as seen by the leader."""

    leader: str
    term: int
    commit_index: int
    members: tuple[MemberRow, ...]


def quorum_routes(service) -> list[web.RouteDef]:
    """Return the quorum routes of `service` (a ControlService)."""
    routes = QuorumHandlers(service)
    return [
        web.get("/v1/control/members", routes.list_members),
        web.delete("/v1/control/members/{node_id}", routes.remove_member),
    ]


class QuorumHandlers:
    """Handlers of the quorum routes; instances that do not lead refuse."""

    def __init__(self, service):
        self.service = service
        self.operators = OperatorHandlers(service)

    def require_leader(self, request: web.Request):
        """Authenticate the operator and return the replica if it leads.

        Raises
        ------
        WisteriapulleyError
            UNAUTHORIZED, or NO_QUORUM if this instance does not lead.
        """
        self.operators.authenticate(request)
        replica = self.service.driver.replica
        if self.service.driver.own_lease() is None:
            raise no_quorum(
                "this instance is not the leader; send the request to"
                f" {replica.leader or 'the leader once it is elected'}"
            )
        return replica

    async def list_members(self, request: web.Request) -> web.Response:
        """Return the members of the quorum."""
        return json_response(member_list(self.require_leader(request)))

    async def remove_member(self, request: web.Request) -> web.Response:
        """Remove a member permanently; a leader first transfers its leadership."""
        replica = self.require_leader(request)
        node_id = request.match_info["node_id"]
        if node_id not in replica.members.node_ids():
            raise StorageError(
                ResultCode.MEMBER_UNKNOWN,
                f"expected one of {replica.members.node_ids()}, got {node_id!r}",
            )
        if node_id == replica.node_id and len(replica.members.voters) > 1:
            await self.service.driver.transfer_leadership()
            raise no_quorum(
                f"{node_id} transferred its leadership; send the request again"
            )
        await self.service.driver.wait_committed(replica.remove_member(node_id))
        return json_response(member_list(replica))


def member_list(replica) -> MemberList:
    """Return the voters, then the learners."""
    members = replica.members
    disks = [(n, i, True) for n, i in members.voters.items()]
    disks += [(n, i, False) for n, i in members.learners.items()]
    rows = tuple(member_row(replica, *disk) for disk in disks)
    return MemberList(replica.node_id, replica.term, replica.commit_index, rows)


def member_row(replica, node_id: str, identity: str, votes: bool) -> MemberRow:
    """Return the row of one disk."""
    if identity == replica.identity:
        return MemberRow(node_id, identity, votes, replica.synced_index, True)
    progress = replica.progress.get(node_id)
    if progress is None or progress.identity != identity:
        return MemberRow(node_id, identity, votes, 0, False)
    answers = replica.is_responsive(node_id)
    return MemberRow(node_id, identity, votes, progress.match_index, answers)
