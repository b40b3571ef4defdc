"""Typed messages that links carry; field names match ``messages.capnp``."""

from typing import NamedTuple


class Hello(NamedTuple):
    """First frame of each side: its identity, and a nonce for the peer to sign.

    `message_set` is the version of the set of messages that it decodes; see
    `handshake.MESSAGE_SET`.
    """

    protocol: int = 0
    node_id: str = ""
    role: str = ""
    incarnation: int = 0
    failure_domain: str = ""
    nonce: bytes = b""
    message_set: int = 0


class Proof(NamedTuple):
    """HMAC over both nonces, which proves that the sender holds the fleet key."""

    digest: bytes = b""


class Heartbeat(NamedTuple):
    """Periodic state of the sender: its revisions, and a target's load.

    A control instance reports in `followers` how many entries follow it, and in
    `entries` how many there are. The sidecar of an engine reports in `pace` how long
    work takes at the engine, in percent of its usual time (0 if unknown), in `level`
    the least urgent priority that it admits, plus one (0 for all), and in `free_ms`
    when a slot is expected to be free (0 for now).
    """

    revision: int = 0
    leaving: bool = False
    state: str = ""
    version: str = ""
    running: int = 0
    waiting: int = 0
    routing_version: int = 0
    followers: int = 0
    entries: int = 0
    pace: int = 0
    level: int = 0
    free_ms: int = 0


class Failure(NamedTuple):
    """Typed error in place of a reply."""

    code: int = 0
    message: str = ""
    retry_after_ms: int = 0
    not_run: bool = False


class Ack(NamedTuple):
    """Reply without content."""


class Header(NamedTuple):
    """One HTTP header."""

    name: str = ""
    value: str = ""


class Dispatch(NamedTuple):
    """Request from an entry to a sidecar; the frame's body is the request body."""

    request_id: str = ""
    account: str = ""
    entry_name: str = ""
    traffic_class: str = ""
    priority: int = 0
    remaining_ms: int = 0
    method: str = ""
    path: str = ""
    headers: tuple[Header, ...] = ()
    idempotency_key: str = ""
    attempt: int = 0
    incarnation: int = 0
    expires_in_ms: int = 0
    version: str = ""
    body_digest: bytes = b""
    resume_from: int = 0
    expires_at_ms: int = 0


class Cancel(NamedTuple):
    """Cancel an attempt of a request at the target; 0 for any attempt."""

    request_id: str = ""
    attempt: int = 0


class AnswerHead(NamedTuple):
    """Status and headers of an answer; `length` is -1 if unknown."""

    request_id: str = ""
    status: int = 0
    headers: tuple[Header, ...] = ()
    version: str = ""
    length: int = 0


class AnswerPart(NamedTuple):
    """Bytes of an answer from `offset` on, in the frame's body."""

    request_id: str = ""
    offset: int = 0


class AnswerEnd(NamedTuple):
    """End of an answer: total length and CRC-32 of its bytes."""

    request_id: str = ""
    length: int = 0
    crc: int = 0


class Credit(NamedTuple):
    """Allow `bytes` more bytes of an answer in flight."""

    request_id: str = ""
    bytes: int = 0


class Resolve(NamedTuple):
    """Ask for the state of an attempt; an unseen one becomes a tombstone.

    `remaining_ms` is how long the entry waits for the answer.
    """

    account: str = ""
    idempotency_key: str = ""
    attempt: int = 0
    incarnation: int = 0
    request_id: str = ""
    expires_in_ms: int = 0
    expires_at_ms: int = 0
    remaining_ms: int = 0


class Resolution(NamedTuple):
    """State of an attempt: `running`, `done` or `tombstone`."""

    state: str = ""


class Announce(NamedTuple):
    """Announcement of a member; `sequence` orders its announcements."""

    node_id: str = ""
    incarnation: int = 0
    role: str = ""
    service: str = ""
    failure_domain: str = ""
    address: str = ""
    leaving: bool = False
    sequence: int = 0
    gone: bool = False


class MemberUpdate(NamedTuple):
    """Members that control instance `owner` records: all of them, or changed ones."""

    owner: str = ""
    epoch: int = 0
    full: bool = False
    members: tuple[Announce, ...] = ()


class Watch(NamedTuple):
    """Subscribe to the catalogue and to the members of services."""

    revision: int = 0
    services: tuple[str, ...] = ()


class CatalogueUpdate(NamedTuple):
    """The complete catalogue; `fresh` if a quorum confirmed it."""

    revision: int = 0
    fresh: bool = False
    content: bytes = b""


class Propose(NamedTuple):
    """Command for the replicated log, forwarded to the leader."""

    command: bytes = b""


class Proposed(NamedTuple):
    """Result of a committed command."""

    index: int = 0
    term: int = 0
    result: bytes = b""


class Report(NamedTuple):
    """Progress of a node, for ``catalogue status``."""

    node_id: str = ""
    service: str = ""
    failure_domain: str = ""
    revision: int = 0
    state: str = ""
    version: str = ""
    desired: str = ""
    bytes_done: int = 0
    bytes_total: int = 0
    detail: str = ""
    role: str = ""
    incarnation: int = 0


class LeaseQuery(NamedTuple):
    """Ask for the leader and its lease."""


class Lease(NamedTuple):
    """The leader, its term and the remaining time of its lease."""

    term: int = 0
    leader: str = ""
    remaining_ms: int = 0
    index: int = 0


class HaveQuery(NamedTuple):
    """Ask a neighbour which chunks of a version it holds."""

    version: str = ""


class Have(NamedTuple):
    """Bitmap of verified chunks, one bit per chunk, lowest bit first.

    If `added` is set, it lists the new chunks and the bitmap is empty. A node without
    a manifest of the version reports 0 `chunks`.
    """

    version: str = ""
    bitmap: bytes = b""
    complete: bool = False
    chunks: int = 0
    added: tuple[int, ...] = ()


class ChunkQuery(NamedTuple):
    """Ask for a chunk by its digest."""

    digest: str = ""
    version: str = ""
    index: int = 0


class Chunk(NamedTuple):
    """Part of a chunk; its bytes are the frame's body."""

    digest: str = ""
    offset: int = 0
    total: int = 0


class ChunkCancel(NamedTuple):
    """Cancel the `ChunkQuery` with frame id `query`."""

    query: int = 0


class LogRecord(NamedTuple):
    """Record of the replicated log."""

    term: int = 0
    index: int = 0
    kind: int = 0
    data: bytes = b""


class VoteRequest(NamedTuple):
    """Ask for a vote, or with `pre_vote` whether it would be granted."""

    term: int = 0
    candidate: str = ""
    last_index: int = 0
    last_term: int = 0
    pre_vote: bool = False
    identity: str = ""
    transfer: bool = False


class VoteReply(NamedTuple):
    """Reply to a vote request."""

    term: int = 0
    voter: str = ""
    granted: bool = False
    pre_vote: bool = False
    identity: str = ""


class AppendRequest(NamedTuple):
    """Log records after `previous_index`; without records it is a heartbeat."""

    term: int = 0
    leader: str = ""
    previous_index: int = 0
    previous_term: int = 0
    commit: int = 0
    records: tuple[LogRecord, ...] = ()
    round: int = 0


class AppendReply(NamedTuple):
    """Index up to which the follower's synced log matches."""

    term: int = 0
    follower: str = ""
    success: bool = False
    match_index: int = 0
    hint: int = 0
    round: int = 0
    identity: str = ""


class SnapshotPart(NamedTuple):
    """Part of a snapshot for a follower that is far behind."""

    term: int = 0
    leader: str = ""
    last_index: int = 0
    last_term: int = 0
    offset: int = 0
    total: int = 0
    data: bytes = b""
    members: bytes = b""
    round: int = 0


class SnapshotReply(NamedTuple):
    """Offset up to which the follower holds the snapshot."""

    term: int = 0
    follower: str = ""
    last_index: int = 0
    offset: int = 0
    round: int = 0
    identity: str = ""


class TimeoutNow(NamedTuple):
    """Leader's request that a follower starts an election at once."""

    term: int = 0
    leader: str = ""


class JoinRequest(NamedTuple):
    """Request of a disk to join as a learner; its `term` is always 0."""

    term: int = 0
    node_id: str = ""
    identity: str = ""


class Load(NamedTuple):
    """Heartbeat in which only the load differs from the previous one."""

    running: int = 0
    waiting: int = 0
    pace: int = 0
    level: int = 0
    free_ms: int = 0


class Follow(NamedTuple):
    """Subscribe to a control instance's updates; `routing_version` is already held."""

    routing_version: int = 0


class RoutingNews(NamedTuple):
    """A routing table as compressed content; `fresh` if a quorum confirmed it."""

    version: int = 0
    fresh: bool = False
    content: bytes = b""


class VersionAge(NamedTuple):
    """A desired version of weights, and how long ago it was set.

    `assumed` is whether the sender knows nobody who witnessed that: it assumes an age
    on the safe side, and a witnessed one replaces it. Never set by older processes.
    """

    version: int = 0
    age_ms: int = 0
    assumed: bool = False


class ModelState(NamedTuple):
    """A model service, the latest desired versions of its weights and its engines.

    `named` holds the versions, newest last. The fields after it are the parameters of
    the service's engines, and what a cold one bears; see `routing.Engine` and
    `routing.Service`.
    """

    service: str = ""
    model: str = ""
    named: tuple[VersionAge, ...] = ()
    slots: int = 0
    stride: int = 0
    step_ms: float = 0.0
    step_ms_per_request: float = 0.0
    prefill_tokens_per_ms: float = 0.0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class ModelNews(NamedTuple):
    """Desired versions of the weights of all model services."""

    models: tuple[ModelState, ...] = ()


class ModelQuery(NamedTuple):
    """Ask a control instance for `ModelNews`, which bounds the ages in it.

    The ages in a message that nobody asked for may be outdated when it is read. Those
    in the reply were true at some time after the query was sent.
    """


class EvacuationNews(NamedTuple):
    """The evacuated failure domains.

    `revision` counts the accepted evacuations and withdrawals; a receiver ignores a
    message with a lower one than it knows.
    """

    revision: int = 0
    failure_domains: tuple[str, ...] = ()


class TargetState(NamedTuple):
    """The last announcement of a target.

    A target may restart under the same `target_id`: `started_ms` is the Unix time of
    its start, 0 if not reported, and identifies its incarnation. `sequence` orders
    the announcements of one incarnation. `version` is that of its weights, 0 for
    none; `age_ms` is the time since its last announcement.
    """

    target_id: str = ""
    service: str = ""
    address: str = ""
    failure_domain: str = ""
    leaving: bool = False
    gone: bool = False
    sequence: int = 0
    slots: int = 0
    cold_ms: int = 0
    version: int = 0
    age_ms: int = 0
    started_ms: int = 0


class TargetNews(NamedTuple):
    """Announcements of targets."""

    targets: tuple[TargetState, ...] = ()


class TargetBeat(NamedTuple):
    """Heartbeat of a target whose state has not changed.

    `sequence` is that of the announcement that last changed the target's state. A
    receiver with an older announcement of it, or with none, has missed an update.
    """

    target_id: str = ""
    started_ms: int = 0
    sequence: int = 0
    gone: bool = False
    age_ms: int = 0


class TargetBeats(NamedTuple):
    """Heartbeats of targets since the last message of this kind."""

    beats: tuple[TargetBeat, ...] = ()


class TargetQuery(NamedTuple):
    """Ask a control instance for the announcements of some targets."""

    target_ids: tuple[str, ...] = ()


class ControlNews(NamedTuple):
    """Hosts and failure domains of all known control instances.

    `failure_domains` has one item per host; it is empty for a host that has not been
    reached yet.
    """

    hosts: tuple[str, ...] = ()
    failure_domains: tuple[str, ...] = ()


class ManifestQuery(NamedTuple):
    """Ask for a manifest; version 0 is the newest one of the origin."""

    model: str = ""
    version: int = 0


class ManifestReply(NamedTuple):
    """Digests of the pieces of one version of a model's weights."""

    model: str = ""
    version: int = 0
    chunk_bytes: int = 0
    layers: int = 0
    digests: tuple[bytes, ...] = ()


class PieceQuery(NamedTuple):
    """Ask for bytes of a piece of weights; `length` 0 is the whole piece."""

    model: str = ""
    version: int = 0
    position: int = 0
    offset: int = 0
    length: int = 0


class Piece(NamedTuple):
    """Bytes of a piece, in the frame's body; `total` is the length of the piece."""

    total: int = 0


class Reserve(NamedTuple):
    """Ask a sidecar for a slot at its target, and wait at most `wait_ms` for it.

    `target` is the incarnation of the target. `late` is whether the request's
    objective has already passed, `is_last` whether it can't be retried if the target
    rejects it, `may_wait` whether it may wait for a slot although it is late.
    `large_prompt` is the tokens of a typical large prompt of `route`; 0 if unknown.
    """

    request_id: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    priority: int = 0
    wait_ms: int = 0
    target: str = ""
    late: bool = False
    is_last: bool = False
    may_wait: bool = False
    route: str = ""
    large_prompt: int = 0


class Reserved(NamedTuple):
    """Whether a slot was granted, for requests on weights of `version`.

    If not, `retry_ms` is the time until one is likely. `closed` is whether the target
    accepts no requests now, regardless of its load; `queued` whether the request
    waits and another reply follows; `limited` whether the target itself is
    throttled, because it advertises a rate or rejected requests. `start_left_ms` is
    how long a granted request may still start; 0 without a limit. `reason` is why the
    slot was denied; see `policy.slot_requests`. `waited_ms` is the time from the
    arrival of the slot request to the sending of this reply. `first_event_ms` is the
    time from then on to the expected first event of a granted request.
    """

    granted: bool = False
    version: int = 0
    retry_ms: int = 0
    running: int = 0
    waiting: int = 0
    closed: bool = False
    queued: bool = False
    limited: bool = False
    start_left_ms: int = 0
    reason: int = 0
    waited_ms: int = 0
    first_event_ms: int = 0


class Release(NamedTuple):
    """Release a reserved slot.

    If the request was sent and its outcome is known, `taken` or `turned_away` tells
    whether the target accepted or rejected it. `rests` is whether the target
    requested a cool-down of the sender. `events` is the number of events of a stream
    that ended as it should, and `took_ms` how long the sender waited for them.
    """

    request_id: str = ""
    taken: bool = False
    turned_away: bool = False
    rests: bool = False
    events: int = 0
    took_ms: int = 0


class HeldQuery(NamedTuple):
    """Ask a control instance which pieces of a version of weights it holds.

    It replies once it holds more than `known`, or after `wait_ms`. It fetches the
    missing pieces unless `only_looks` is set.
    """

    model: str = ""
    version: int = 0
    known: int = 0
    wait_ms: int = 0
    only_looks: bool = False


class Held(NamedTuple):
    """Number of held pieces of a version, of `total`; 0 of 0 without a manifest.

    `bitmap` has one bit per piece, lowest bit first.
    """

    pieces: int = 0
    total: int = 0
    bitmap: bytes = b""


class Suspect(NamedTuple):
    """A request, or a part of prompts, under which targets ended.

    `digest` identifies it, and `cleared` counts how often it was cleared of suspicion.
    `ended` lists the targets that ended since then: their incarnations for a request
    (see `policy.crash_suspects`), ranked ends for a part (`policy.part_suspects`).
    `age_s` is the time since the last of them ended.
    """

    digest: bytes = b""
    cleared: int = 0
    ended: tuple[str, ...] = ()
    age_s: int = 0


class SuspectNews(NamedTuple):
    """Requests and parts under which targets ended, or that were cleared."""

    suspects: tuple[Suspect, ...] = ()


class TargetRate(NamedTuple):
    """Rate that a target advertised `age_ms` ago, and how much longer it is cold.

    `target` is its incarnation; `per_s` is in requests per second, 0 if the target no
    longer advertises a rate. `cold_ms` is 0 if the sender does not know it to be cold.
    """

    target: str = ""
    per_s: float = 0.0
    age_ms: int = 0
    cold_ms: int = 0


class PassageQuery(NamedTuple):
    """Ask a control instance for a permit to send a request to a limited target.

    The fields after `target` are what the entry last saw; see `TargetRate`.
    """

    target: str = ""
    per_s: float = 0.0
    age_ms: int = 0
    cold_ms: int = 0


class Passage(NamedTuple):
    """Whether a rate permit was granted; if not, `wait_ms` is the time to the next one.

    `limited` is whether the target still advertises a rate or is cold, as far as is
    known.
    """

    granted: bool = False
    wait_ms: int = 0
    limited: bool = False
