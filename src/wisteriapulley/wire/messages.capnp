@0xb1f0a3c95d2e7784;
# Frames between wisteriapulley processes. Field names match messages.py.
# New fields go at the end with the next number; numbers are never reused.

struct Frame {
  id @0 :UInt64;
  replyTo @1 :UInt64;
  union {
    none @2 :Void;
    hello @3 :Hello;
    proof @4 :Proof;
    heartbeat @5 :Heartbeat;
    failure @6 :Failure;
    ack @7 :Ack;
    dispatch @8 :Dispatch;
    cancel @9 :Cancel;
    answerHead @10 :AnswerHead;
    answerPart @11 :AnswerPart;
    answerEnd @12 :AnswerEnd;
    resolve @13 :Resolve;
    resolution @14 :Resolution;
    announce @15 :Announce;
    memberUpdate @16 :MemberUpdate;
    watch @17 :Watch;
    catalogueUpdate @18 :CatalogueUpdate;
    propose @19 :Propose;
    proposed @20 :Proposed;
    report @21 :Report;
    haveQuery @22 :HaveQuery;
    have @23 :Have;
    chunkQuery @24 :ChunkQuery;
    chunk @25 :Chunk;
    voteRequest @26 :VoteRequest;
    voteReply @27 :VoteReply;
    appendRequest @28 :AppendRequest;
    appendReply @29 :AppendReply;
    snapshotPart @30 :SnapshotPart;
    snapshotReply @31 :SnapshotReply;
    credit @32 :Credit;
    leaseQuery @33 :LeaseQuery;
    lease @34 :Lease;
    timeoutNow @35 :TimeoutNow;
    joinRequest @36 :JoinRequest;
    chunkCancel @37 :ChunkCancel;
    load @38 :Load;
    follow @39 :Follow;
    routingNews @40 :RoutingNews;
    modelNews @41 :ModelNews;
    targetNews @42 :TargetNews;
    controlNews @43 :ControlNews;
    manifestQuery @44 :ManifestQuery;
    manifestReply @45 :ManifestReply;
    pieceQuery @46 :PieceQuery;
    piece @47 :Piece;
    reserve @48 :Reserve;
    reserved @49 :Reserved;
    release @50 :Release;
    heldQuery @51 :HeldQuery;
    held @52 :Held;
    targetBeats @53 :TargetBeats;
    targetQuery @54 :TargetQuery;
    suspectNews @55 :SuspectNews;
    targetRate @56 :TargetRate;
    passageQuery @57 :PassageQuery;
    passage @58 :Passage;
    evacuationNews @59 :EvacuationNews;
    modelQuery @60 :ModelQuery;
  }
}

struct Hello {
  protocol @0 :UInt16;
  nodeId @1 :Text;
  role @2 :Text;
  incarnation @3 :UInt64;
  failureDomain @4 :Text;
  nonce @5 :Data;
  messageSet @6 :UInt16;
}
struct Proof { digest @0 :Data; }
struct Heartbeat {
  revision @0 :UInt64;
  leaving @1 :Bool;
  state @2 :Text;
  version @3 :Text;
  running @4 :UInt32;
  waiting @5 :UInt32;
  routingVersion @6 :UInt64;
  followers @7 :UInt32;
  entries @8 :UInt32;
  pace @9 :UInt16;
  level @10 :UInt16;
  freeMs @11 :UInt32;
}
struct Failure {
  code @0 :UInt16;
  message @1 :Text;
  retryAfterMs @2 :UInt32;
  notRun @3 :Bool;
}
struct Ack { }

struct Header { name @0 :Text; value @1 :Text; }
struct Dispatch {
  requestId @0 :Text;
  account @1 :Text;
  entryName @2 :Text;
  trafficClass @3 :Text;
  priority @4 :Int32;
  remainingMs @5 :UInt32;
  method @6 :Text;
  path @7 :Text;
  headers @8 :List(Header);
  idempotencyKey @9 :Text;
  attempt @10 :UInt32;
  incarnation @11 :UInt64;
  expiresInMs @12 :UInt32;
  version @13 :Text;
  bodyDigest @14 :Data;
  resumeFrom @15 :UInt64;
  expiresAtMs @16 :UInt64;
}
struct Cancel {
  requestId @0 :Text;
  attempt @1 :UInt32;
}
struct AnswerHead {
  requestId @0 :Text;
  status @1 :UInt16;
  headers @2 :List(Header);
  version @3 :Text;
  length @4 :Int64;
}
struct AnswerPart { requestId @0 :Text; offset @1 :UInt64; }
struct AnswerEnd { requestId @0 :Text; length @1 :UInt64; crc @2 :UInt32; }
struct Credit { requestId @0 :Text; bytes @1 :UInt64; }
struct Resolve {
  account @0 :Text;
  idempotencyKey @1 :Text;
  attempt @2 :UInt32;
  incarnation @3 :UInt64;
  requestId @4 :Text;
  expiresInMs @5 :UInt32;
  expiresAtMs @6 :UInt64;
  remainingMs @7 :UInt32;
}
struct Resolution { state @0 :Text; }

struct Announce {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  role @2 :Text;
  service @3 :Text;
  failureDomain @4 :Text;
  address @5 :Text;
  leaving @6 :Bool;
  sequence @7 :UInt64;
  gone @8 :Bool;
}
struct MemberUpdate {
  owner @0 :Text;
  epoch @1 :UInt64;
  full @2 :Bool;
  members @3 :List(Announce);
}
struct Watch { revision @0 :UInt64; services @1 :List(Text); }
struct CatalogueUpdate {
  revision @0 :UInt64;
  fresh @1 :Bool;
  content @2 :Data;
}
struct Propose { command @0 :Data; }
struct Proposed { index @0 :UInt64; term @1 :UInt64; result @2 :Data; }
struct Report {
  nodeId @0 :Text;
  service @1 :Text;
  failureDomain @2 :Text;
  revision @3 :UInt64;
  state @4 :Text;
  version @5 :Text;
  desired @6 :Text;
  bytesDone @7 :UInt64;
  bytesTotal @8 :UInt64;
  detail @9 :Text;
  role @10 :Text;
  incarnation @11 :UInt64;
}
struct LeaseQuery { }
struct Lease { term @0 :UInt64; leader @1 :Text; remainingMs @2 :UInt32; index @3 :UInt64; }

struct HaveQuery { version @0 :Text; }
struct Have { version @0 :Text; bitmap @1 :Data; complete @2 :Bool; chunks @3 :UInt32; added @4 :List(UInt32); }
struct ChunkQuery { digest @0 :Text; version @1 :Text; index @2 :UInt32; }
struct Chunk { digest @0 :Text; offset @1 :UInt64; total @2 :UInt64; }
struct ChunkCancel { query @0 :UInt64; }

struct LogRecord { term @0 :UInt64; index @1 :UInt64; kind @2 :UInt8; data @3 :Data; }
struct VoteRequest {
  term @0 :UInt64;
  candidate @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  preVote @4 :Bool;
  identity @5 :Text;
  transfer @6 :Bool;
}
struct VoteReply {
  term @0 :UInt64;
  voter @1 :Text;
  granted @2 :Bool;
  preVote @3 :Bool;
  identity @4 :Text;
}
struct AppendRequest {
  term @0 :UInt64;
  leader @1 :Text;
  previousIndex @2 :UInt64;
  previousTerm @3 :UInt64;
  commit @4 :UInt64;
  records @5 :List(LogRecord);
  round @6 :UInt64;
}
struct AppendReply {
  term @0 :UInt64;
  follower @1 :Text;
  success @2 :Bool;
  matchIndex @3 :UInt64;
  hint @4 :UInt64;
  round @5 :UInt64;
  identity @6 :Text;
}
struct SnapshotPart {
  term @0 :UInt64;
  leader @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  offset @4 :UInt64;
  total @5 :UInt64;
  data @6 :Data;
  members @7 :Data;
  round @8 :UInt64;
}
struct SnapshotReply {
  term @0 :UInt64;
  follower @1 :Text;
  lastIndex @2 :UInt64;
  offset @3 :UInt64;
  round @4 :UInt64;
  identity @5 :Text;
}
struct TimeoutNow { term @0 :UInt64; leader @1 :Text; }
struct JoinRequest { term @0 :UInt64; nodeId @1 :Text; identity @2 :Text; }
struct Load {
  running @0 :UInt32;
  waiting @1 :UInt32;
  pace @2 :UInt16;
  level @3 :UInt16;
  freeMs @4 :UInt32;
}
struct Follow { routingVersion @0 :UInt64; }
struct RoutingNews { version @0 :UInt64; fresh @1 :Bool; content @2 :Data; }
struct VersionAge { version @0 :UInt64; ageMs @1 :UInt64; assumed @2 :Bool; }
struct ModelState {
  service @0 :Text;
  model @1 :Text;
  named @2 :List(VersionAge);
  slots @3 :UInt32;
  stride @4 :UInt32;
  stepMs @5 :Float64;
  stepMsPerRequest @6 :Float64;
  prefillTokensPerMs @7 :Float64;
  coldStartS @8 :Float64;
  coldPerS @9 :Float64;
}
struct ModelNews { models @0 :List(ModelState); }
struct ModelQuery { }
struct EvacuationNews { revision @0 :UInt64; failureDomains @1 :List(Text); }
struct TargetState {
  targetId @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  leaving @4 :Bool;
  gone @5 :Bool;
  sequence @6 :UInt64;
  slots @7 :UInt32;
  coldMs @8 :UInt32;
  version @9 :UInt64;
  ageMs @10 :UInt64;
  startedMs @11 :UInt64;
}
struct TargetNews { targets @0 :List(TargetState); }
struct TargetBeat {
  targetId @0 :Text;
  startedMs @1 :UInt64;
  sequence @2 :UInt64;
  gone @3 :Bool;
  ageMs @4 :UInt64;
}
struct TargetBeats { beats @0 :List(TargetBeat); }
struct TargetQuery { targetIds @0 :List(Text); }
struct ControlNews { hosts @0 :List(Text); failureDomains @1 :List(Text); }
struct ManifestQuery { model @0 :Text; version @1 :UInt64; }
struct ManifestReply {
  model @0 :Text;
  version @1 :UInt64;
  chunkBytes @2 :UInt32;
  layers @3 :UInt32;
  digests @4 :List(Data);
}
struct PieceQuery {
  model @0 :Text;
  version @1 :UInt64;
  position @2 :UInt32;
  offset @3 :UInt32;
  length @4 :UInt32;
}
struct Piece { total @0 :UInt32; }
struct Reserve {
  requestId @0 :Text;
  promptTokens @1 :UInt32;
  answerTokens @2 :UInt32;
  priority @3 :UInt32;
  waitMs @4 :UInt32;
  target @5 :Text;
  late @6 :Bool;
  isLast @7 :Bool;
  mayWait @8 :Bool;
  route @9 :Text;
  largePrompt @10 :UInt32;
}
struct Reserved {
  granted @0 :Bool;
  version @1 :UInt64;
  retryMs @2 :UInt32;
  running @3 :UInt32;
  waiting @4 :UInt32;
  closed @5 :Bool;
  queued @6 :Bool;
  limited @7 :Bool;
  startLeftMs @8 :UInt32;
  reason @9 :UInt8;
  waitedMs @10 :UInt32;
  firstEventMs @11 :UInt32;
}
struct Release {
  requestId @0 :Text;
  taken @1 :Bool;
  turnedAway @2 :Bool;
  rests @3 :Bool;
  events @4 :UInt32;
  tookMs @5 :UInt32;
}
struct HeldQuery { model @0 :Text; version @1 :UInt64; known @2 :UInt32; waitMs @3 :UInt32; onlyLooks @4 :Bool; }
struct Held { pieces @0 :UInt32; total @1 :UInt32; bitmap @2 :Data; }
struct Suspect {
  digest @0 :Data;
  cleared @1 :UInt32;
  ended @2 :List(Text);
  ageS @3 :UInt32;
}
struct SuspectNews { suspects @0 :List(Suspect); }
struct TargetRate { target @0 :Text; perS @1 :Float64; ageMs @2 :UInt64; coldMs @3 :UInt32; }
struct PassageQuery { target @0 :Text; perS @1 :Float64; ageMs @2 :UInt64; coldMs @3 :UInt32; }
struct Passage { granted @0 :Bool; waitMs @1 :UInt32; limited @2 :Bool; }
