"""Names of the platform's headers and calls, each in one place."""

# Headers of requests and answers.
REQUEST_ID = "X-Request-Attempt-Id"
# Milliseconds that the sender still waits.
DEADLINE_MS = "X-Deadline-Ms"
# Incarnation that must be at the address.
EXPECTED_TARGET = "X-Expect-Instance"
EXPECTED_VERSION = "X-Expect-Version"
ACCOUNT = "X-Tenant"
# Prompt tokens and most answer tokens, separated by a comma.
TOKEN_COUNTS = "X-Token-Counts"
# The caller's estimate of the answer's tokens: right in the median, often far off.
LENGTH_HINT = "X-Length-Hint"
LAST_EVENT = "Last-Event-Id"
NOT_RUN = "X-Not-Executed"
# Running, waiting and slots, separated by commas.
LOAD = "X-Server-Load"
# Requests a second that the target takes from all senders together.
RATE_LIMIT = "Server-Limit"
# Seconds for which a target that is unavailable wants nothing from who it answers.
RETRY_AFTER = "Retry-After"
# Whether the target is about to end.
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
DATE = "Date"
BEARER_PREFIX = "Bearer "

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503

# Headers of one connection: never passed on.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers of a request that the entry sets or reads itself.
ENTRY_HEADERS = frozenset(
    {
        "authorization",
        "x-tenant",
        "x-expect-instance",
        "x-expect-version",
        "x-deadline-ms",
        "x-request-priority",
        "last-event-id",
        "path",
    }
)

# Calls of targets and operators.
HEARTBEAT_CALL = "/api/Instances.Heartbeat/{target_id}"
LEAVE_CALL = "/api/Instances.Deregister/{target_id}"
REPLACE_CALL = "/api/Configuration.Replace"
READ_CALL = "/api/Configuration.Read"
WEIGHTS_CALL = "/api/version-put"
READY_CALL = "/api/readiness"

# Calls to engines and to the origin of weights.
REPORT_CALL = "/api/report"
ORDER_CALL = "/api/order"
STAGE_CALL = "/api/stage-put/{model}"
STAGED_CALL = "/api/stage-get/{model}"
MANIFEST_CALL = "/api/manifest/{model}"
PIECE_CALL = "/api/piece/{model}"
