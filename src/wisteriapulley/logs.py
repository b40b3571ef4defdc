"""Structured logs: one JSON object a line."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(node_id: str, level: str = "INFO") -> None:
    """Send every log record to standard error as JSON.

    Parameters
    ----------
    node_id : str
        Stands on each line as ``node``.
    level : str, default="INFO"
        Name of the lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(FIELDS, static_fields={"node": node_id}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # It logs five lines for each edge of a chart.
    logging.getLogger("transitions").setLevel(logging.WARNING)


def fields(
    request_id: str = "", revision: int = 0, code: int = 0, **more: object
) -> dict[str, object]:
    """Build the ``extra`` of a record: request id, revision and result code.

    Returns
    -------
    dict
        Keys ``request_id``, ``revision``, ``code`` and those of `more`.
    """
    return {"request_id": request_id, "revision": revision, "code": int(code), **more}
