"""Typed messages of the wire; field names match ``messages.capnp``."""

from typing import NamedTuple


class Hello(NamedTuple):
    """First frame of each side: who it is, and a nonce for the other to sign."""

    protocol: int = 0
    node_id: str = ""
    role: str = ""
    incarnation: int = 0
    failure_domain: str = ""
    nonce: bytes = b""


class Proof(NamedTuple):
    """HMAC over both nonces that shows the fleet key is held."""

    digest: bytes = b""


class Heartbeat(NamedTuple):
    """Periodic state of the sender: its revisions, and a target's load.

    A control instance says how many entries follow it, and how many there are.
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


class Failure(NamedTuple):
    """Typed error in place of an answer."""

    code: int = 0
    message: str = ""
    retry_after_ms: int = 0
    not_run: bool = False


class Ack(NamedTuple):
    """Answer that carries nothing."""


class Header(NamedTuple):
    """One HTTP header."""

    name: str = ""
    value: str = ""


class Dispatch(NamedTuple):
    """Request from an entry to a sidecar; its body is the frame's body."""

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
    """The caller gave up: take the request off the target."""

    request_id: str = ""


class AnswerHead(NamedTuple):
    """Status and headers; `length` is -1 when not known."""

    request_id: str = ""
    status: int = 0
    headers: tuple[Header, ...] = ()
    version: str = ""
    length: int = 0


class AnswerPart(NamedTuple):
    """Bytes of an answer, in the frame's body, from `offset` on."""

    request_id: str = ""
    offset: int = 0


class AnswerEnd(NamedTuple):
    """End mark of an answer: total length and CRC-32 of its bytes."""

    request_id: str = ""
    length: int = 0
    crc: int = 0


class Credit(NamedTuple):
    """Receiver of an answer allows `bytes` more in flight."""

    request_id: str = ""
    bytes: int = 0


class Resolve(NamedTuple):
    """Ask what became of an attempt; an unseen one becomes a tombstone."""

    account: str = ""
    idempotency_key: str = ""
    attempt: int = 0
    incarnation: int = 0
    request_id: str = ""
    expires_in_ms: int = 0
    expires_at_ms: int = 0


class Resolution(NamedTuple):
    """`running`, `done` or `tombstone`."""

    state: str = ""


class Announce(NamedTuple):
    """A member announces itself; `sequence` orders its announcements."""

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
    """Members that control instance `owner` holds, all or changed ones."""

    owner: str = ""
    epoch: int = 0
    full: bool = False
    members: tuple[Announce, ...] = ()


class Watch(NamedTuple):
    """Subscribe to the catalogue and to the members of services."""

    revision: int = 0
    services: tuple[str, ...] = ()


class CatalogueUpdate(NamedTuple):
    """Whole catalogue; `fresh` when a quorum confirmed it."""

    revision: int = 0
    fresh: bool = False
    content: bytes = b""


class Propose(NamedTuple):
    """Command for the replicated log, sent on to the leader."""

    command: bytes = b""


class Proposed(NamedTuple):
    """Outcome of a committed command."""

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
    """Ask for the leader's lease."""


class Lease(NamedTuple):
    """Leader, its term and how long its lease still holds."""

    term: int = 0
    leader: str = ""
    remaining_ms: int = 0
    index: int = 0


class HaveQuery(NamedTuple):
    """Ask a neighbour which chunks of a version it holds."""

    version: str = ""


class Have(NamedTuple):
    """Bitmap of verified chunks, one bit each, lowest first.

    With `added`, only these are new and the bitmap is empty. A node that has no
    manifest of the version yet says 0 `chunks`.
    """

    version: str = ""
    bitmap: bytes = b""
    complete: bool = False
    chunks: int = 0
    added: tuple[int, ...] = ()


class ChunkQuery(NamedTuple):
    """Ask for a chunk by digest."""

    digest: str = ""
    version: str = ""
    index: int = 0


class Chunk(NamedTuple):
    """Part of a chunk; its bytes are the frame's body."""

    digest: str = ""
    offset: int = 0
    total: int = 0


class ChunkCancel(NamedTuple):
    """Stop answering the `ChunkQuery` of frame `query`."""

    query: int = 0


class LogRecord(NamedTuple):
    """Record of the replicated log."""

    term: int = 0
    index: int = 0
    kind: int = 0
    data: bytes = b""


class VoteRequest(NamedTuple):
    """Ask for a vote, or with `pre_vote` whether one would be given."""

    term: int = 0
    candidate: str = ""
    last_index: int = 0
    last_term: int = 0
    pre_vote: bool = False
    identity: str = ""
    transfer: bool = False


class VoteReply(NamedTuple):
    """Answer to a vote request."""

    term: int = 0
    voter: str = ""
    granted: bool = False
    pre_vote: bool = False
    identity: str = ""


class AppendRequest(NamedTuple):
    """Records after `previous_index`; empty as a heartbeat."""

    term: int = 0
    leader: str = ""
    previous_index: int = 0
    previous_term: int = 0
    commit: int = 0
    records: tuple[LogRecord, ...] = ()
    round: int = 0


class AppendReply(NamedTuple):
    """How far the follower's synced log matches."""

    term: int = 0
    follower: str = ""
    success: bool = False
    match_index: int = 0
    hint: int = 0
    round: int = 0
    identity: str = ""


class SnapshotPart(NamedTuple):
    """Part of a snapshot for a follower far behind."""

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
    """How much of the snapshot the follower holds."""

    term: int = 0
    follower: str = ""
    last_index: int = 0
    offset: int = 0
    round: int = 0
    identity: str = ""


class TimeoutNow(NamedTuple):
    """The leader asks a follower to campaign at once."""

    term: int = 0
    leader: str = ""


class JoinRequest(NamedTuple):
    """A disk asks the leader to become a learner; its `term` is always 0."""

    term: int = 0
    node_id: str = ""
    identity: str = ""


class Load(NamedTuple):
    """The last heartbeat still holds but for the load."""

    running: int = 0
    waiting: int = 0


class Follow(NamedTuple):
    """Ask a control instance for its news; `routing_version` is held already."""

    routing_version: int = 0


class RoutingNews(NamedTuple):
    """A routing table, as compressed content; `fresh` when a quorum confirmed it."""

    version: int = 0
    fresh: bool = False
    content: bytes = b""


class VersionAge(NamedTuple):
    """A version of weights that was named, and how long ago."""

    version: int = 0
    age_ms: int = 0


class ModelState(NamedTuple):
    """A model service and the newest versions of its weights, newest last.

    What follows are the figures of its engines; see `routing.Engine`.
    """

    service: str = ""
    model: str = ""
    named: tuple[VersionAge, ...] = ()
    slots: int = 0
    stride: int = 0
    step_ms: float = 0.0
    step_ms_per_request: float = 0.0
    prefill_tokens_per_ms: float = 0.0


class ModelNews(NamedTuple):
    """Versions of weights that are in force."""

    models: tuple[ModelState, ...] = ()


class TargetState(NamedTuple):
    """What a target last said of itself.

    A target may start again under the same `target_id`: `started_ms` is the Unix
    time of its start, 0 where it does not say, and `sequence` orders the news of
    one start. `version` is that of its weights, 0 for none; `age_ms` is how long
    ago it was heard.
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
    """Targets that were heard of."""

    targets: tuple[TargetState, ...] = ()


class TargetBeat(NamedTuple):
    """That a target was heard again, and by what news it is known.

    `sequence` is that of the news with which anything of the target last changed.
    Whoever knows older news of it, or none, has missed some.
    """

    target_id: str = ""
    started_ms: int = 0
    sequence: int = 0
    gone: bool = False
    age_ms: int = 0


class TargetBeats(NamedTuple):
    """Targets that were heard again since the last message of this kind."""

    beats: tuple[TargetBeat, ...] = ()


class TargetQuery(NamedTuple):
    """Ask a control instance for its news of some targets."""

    target_ids: tuple[str, ...] = ()


class ControlNews(NamedTuple):
    """Hosts of all control instances that are known, and where each one is.

    `failure_domains` stands beside `hosts`; empty text for one not met yet.
    """

    hosts: tuple[str, ...] = ()
    failure_domains: tuple[str, ...] = ()


class ManifestQuery(NamedTuple):
    """Ask for a manifest; version 0 is the newest that the origin names."""

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
    """Ask for bytes of a piece of weights; `length` 0 is all of it."""

    model: str = ""
    version: int = 0
    position: int = 0
    offset: int = 0
    length: int = 0


class Piece(NamedTuple):
    """Bytes of a piece, in the frame's body; `total` counts the whole piece."""

    total: int = 0


class Reserve(NamedTuple):
    """Ask a sidecar for a place at its target, for at most `wait_ms` from now.

    `target` names one start of it; `late` says that the request's objective has
    passed already, `is_last` that it can't be sent again if the target turns it away.
    """

    request_id: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    priority: int = 0
    wait_ms: int = 0
    target: str = ""
    late: bool = False
    is_last: bool = False


class Reserved(NamedTuple):
    """Whether a place was granted, for requests on weights of `version`.

    Without a place, `retry_ms` says when one is likely; `closed` that the
    target takes nothing now, whatever its load; `queued` that the request waits
    and another answer follows; `limited` that the target itself holds
    requests back: it states a rate, or turned some away.
    """

    granted: bool = False
    version: int = 0
    retry_ms: int = 0
    running: int = 0
    waiting: int = 0
    closed: bool = False
    queued: bool = False
    limited: bool = False


class Release(NamedTuple):
    """Give a reserved place back.

    `taken` and `turned_away` say what the target did with the request, where it was
    sent and that is known; `rests` that the target asked the sender for rest.
    """

    request_id: str = ""
    taken: bool = False
    turned_away: bool = False
    rests: bool = False


class HeldQuery(NamedTuple):
    """Ask a control instance which pieces of a version of weights it holds.

    It answers once it holds more than `known`, or after `wait_ms`, and fetches what it
    lacks, unless the sender `only_looks`.
    """

    model: str = ""
    version: int = 0
    known: int = 0
    wait_ms: int = 0
    only_looks: bool = False


class Held(NamedTuple):
    """Pieces of a version that are held, of `total`; 0 of 0 without a manifest.

    `bitmap` has a bit for each piece, the first one lowest.
    """

    pieces: int = 0
    total: int = 0
    bitmap: bytes = b""


class Suspect(NamedTuple):
    """A request under which targets ended; see `policy.crash_suspects`.

    `digest` names the request, `ended` the starts of targets that ended under it
    since it was `cleared` for the last time; `age_s` is how long ago the last of
    them ended.
    """

    digest: bytes = b""
    cleared: int = 0
    ended: tuple[str, ...] = ()
    age_s: int = 0


class SuspectNews(NamedTuple):
    """Requests under which targets ended, or that were cleared of it."""

    suspects: tuple[Suspect, ...] = ()


class TargetRate(NamedTuple):
    """What a target said `age_ms` ago of the requests that it takes.

    `target` names one start of it; `per_s` is in requests a second, 0 where it
    states no rate any more.
    """

    target: str = ""
    per_s: float = 0.0
    age_ms: int = 0


class PassageQuery(NamedTuple):
    """Ask a control instance whether a request may pass to a target that states a rate.

    What follows `target` is what the entry knows; see `TargetRate`.
    """

    target: str = ""
    per_s: float = 0.0
    age_ms: int = 0


class Passage(NamedTuple):
    """Whether a request may pass; without it, `wait_ms` says when one may.

    `limited` says whether the target still states a rate, as far as known.
    """

    granted: bool = False
    wait_ms: int = 0
    limited: bool = False
