"""Names of the platform's headers, status codes and calls."""

# Headers of requests and responses.
REQUEST_ID = "X-Request-Attempt-Id"
# Milliseconds that the sender will still wait.
DEADLINE_MS = "X-Deadline-Ms"
# Id of the target that must be at the address.
EXPECTED_TARGET = "X-Expect-Instance"
EXPECTED_VERSION = "X-Expect-Version"
ACCOUNT = "X-Tenant"
# Prompt tokens and maximum answer tokens, separated by a comma.
TOKEN_COUNTS = "X-Token-Counts"
# The caller's estimate of the answer tokens: right in the median, often far off.
LENGTH_HINT = "X-Length-Hint"
# Parts of the prompt in order, as comma-separated pairs of id and token count.
PROMPT_PARTS = "X-Prompt-Prefix"
LAST_EVENT = "Last-Event-Id"
NOT_RUN = "X-Not-Executed"
# Running requests, waiting requests, slots and, from some targets, the time that work
# takes now in percent of the usual time, separated by commas.
LOAD = "X-Server-Load"
# Requests per second that the target accepts from all senders together.
RATE_LIMIT = "Server-Limit"
# Seconds for which an unavailable target asks the sender to send no requests.
RETRY_AFTER = "Retry-After"
# Milliseconds for which the target stays cold.
COLD_MS = "X-Cold-Ms"
# Whether the target is about to shut down.
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
DATE = "Date"
BEARER_PREFIX = "Bearer "

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503

# Hop-by-hop headers and others that apply to one connection: never forwarded.
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
# Request headers that the entry reads or sets itself, so it does not forward them.
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
EVACUATE_CALL = "/api/Evacuation.Start/{failure_domain}"
END_EVACUATION_CALL = "/api/Evacuation.End/{failure_domain}"
READY_CALL = "/api/readiness"

# Calls to engines and to the origin of weights.
REPORT_CALL = "/api/report"
ORDER_CALL = "/api/order"
STAGE_CALL = "/api/stage-put/{model}"
STAGED_CALL = "/api/stage-get/{model}"
MANIFEST_CALL = "/api/manifest/{model}"
PIECE_CALL = "/api/piece/{model}"
