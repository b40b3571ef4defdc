"""What the command line asks of the control instances about themselves."""

import msgspec

from wisteriapulley.errors import CatalogueError, ResultCode
from wisteriapulley.operator_client import OperatorClient

MEMBERS_PATH = "/v1/control/members"


class Refusal(msgspec.Struct, frozen=True):
    """Body of a coded error."""

    code: int
    message: str
    retry_after_ms: int = 0


class Answer(msgspec.Struct, frozen=True):
    """Answer of the members' routes; only the error is looked at here."""

    error: Refusal | None = None


def ask_members(client: OperatorClient, method: str, node_id: str = "") -> str:
    """Ask the leader who takes part, or to remove one; return its JSON.

    Raises
    ------
    CatalogueError
        It refused, or no leader answered.
    """
    path = f"{MEMBERS_PATH}/{node_id}" if node_id else MEMBERS_PATH
    data = client.request(method, path)
    error = msgspec.json.decode(data, type=Answer).error
    if error is not None:
        raise CatalogueError(
            ResultCode(error.code), error.message, error.retry_after_ms
        )
    return data.decode()
