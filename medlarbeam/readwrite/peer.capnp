@0xd3a1f0c86b27e945;
# Messages between nodes. Field names are those of medlarbeam.classes in camel case.
# Members and fields are only added, never changed or removed, for compatibility between versions.

struct PeerFrame {
  union {
    none @0 :Void;  # never sent; makes an all-zero frame invalid
    hello @1 :Hello;
    challenge @2 :Challenge;
    proof @3 :Proof;
    ping @4 :Ping;
    pong @5 :Pong;
    forward @6 :Forward;
    chunk @7 :Chunk;
    end @8 :End;
    cancel @9 :Cancel;
    recordSpread @10 :RecordSpread;
    fetchRecord @11 :FetchRecord;
    fetchCatalog @12 :FetchCatalog;
    noteSpread @13 :NoteSpread;
    crashReport @14 :CrashReport;
    leaving @15 :Leaving;
    adapterDemand @16 :AdapterDemand;
    holdingReport @17 :HoldingReport;
    useReport @18 :UseReport;
    earlyRefusal @19 :EarlyRefusal;
    deathReport @20 :DeathReport;
    clearanceReport @21 :ClearanceReport;
    rateLimitReport @22 :RateLimitReport;
    streamReport @23 :StreamReport;
    pathReport @24 :PathReport;
    creditRequest @25 :CreditRequest;
    creditGrant @26 :CreditGrant;
    creditCall @27 :CreditCall;
    creditOffer @28 :CreditOffer;
  }
}

struct Hello {
  node @0 :Text;
  incarnation @1 :UInt64;
  peer @2 :Text;
  nonce @3 :Data;
}

struct Challenge {
  node @0 :Text;
  incarnation @1 :UInt64;
  nonce @2 :Data;
  mac @3 :Data;
}

struct Proof {
  mac @0 :Data;
}

struct Ping {
  seq @0 :UInt64;
  cell @1 :Text;
  epoch @2 :UInt64;
}

struct ModelCount {
  server @0 :Text;
  model @1 :Text;
  count @2 :UInt32;
}

struct ServerSummary {
  server @0 :Text;
  live @1 :Bool;
  queued @2 :UInt32;
  running @3 :UInt32;
  resident @4 :List(Text);
}

struct Pong {
  seq @0 :UInt64;
  incarnation @1 :UInt64;
  cell @2 :Text;
  epoch @3 :UInt64;
  revision @4 :UInt64;
  confirmAgeS @5 :Float64;  # infinity if never confirmed
  foreignRuns @6 :List(ModelCount);
  summaries @7 :List(ServerSummary);
  leaving @8 :Bool;
  homeCell @9 :Text;
}

struct Request {
  requestId @0 :Text;
  caller @1 :Text;
  rank @2 :UInt8;
  deadline @3 :Float64;
  models @4 :List(Text);
  service @5 :Text;
  path @6 :Text;
  body @7 :Text;
  maxTokens @8 :UInt32;
  stream @9 :Bool;
  nonIdempotent @10 :Bool;
  key @11 :Text;
}

struct Forward {
  request @0 :Request;
  attempt @1 :UInt32;
  server @2 :Text;
  model @3 :Text;
  remainingS @4 :Float64;
  position @5 :UInt32;
  prefix @6 :Text;
}

struct Chunk {
  requestId @0 :Text;
  attempt @1 :UInt32;
  position @2 :UInt32;
  text @3 :Text;
}

struct Failure {
  kind @0 :Text;
  reason @1 :Text;
  runState @2 :Text;
}

struct End {
  requestId @0 :Text;
  attempt @1 :UInt32;
  chunks @2 :UInt32;
  model @3 :Text;
  server @4 :Text;
  status @5 :UInt16;
  failure @6 :Failure;  # null if there is none
  loadWaitS @7 :Float64;
}

struct Cancel {
  requestId @0 :Text;
  attempt @1 :UInt32;
}

struct Member {
  node @0 :Text;
  incarnation @1 :UInt64;
  reachable @2 :Bool;
}

struct BackendServer {
  name @0 :Text;
  address @1 :Text;
  failureDomain @2 :Text;
  cell @3 :Text;
  service @4 :Text;
  slots @5 :UInt32;
  concurrency @6 :UInt32;
  fencing @7 :Bool;
}

struct Owner {
  server @0 :Text;
  node @1 :Text;
}

struct CellRecord {
  cell @0 :Text;
  epoch @1 :UInt64;
  members @2 :List(Member);
  servers @3 :List(BackendServer);
  owners @4 :List(Owner);
  removedAtEpoch @5 :UInt64;
  changeId @6 :Text;
}

struct RecordSpread {
  record @0 :CellRecord;
}

struct FetchRecord {
  cell @0 :Text;
}

struct FetchCatalog {
  revision @0 :UInt64;
  shardKeys @1 :List(Text);
}

struct AdapterVersion {
  adapter @0 :Text;
  version @1 :Text;
  source @2 :Text;
  mustConfirm @3 :Bool;
}

struct CatalogHead {
  revision @0 :UInt64;
  shardKeys @1 :List(Text);
  recent @2 :List(Text);
  drained @3 :List(Text);
}

struct CatalogShard {
  key @0 :Text;
  items @1 :List(AdapterVersion);
}

struct NoteSpread {
  head @0 :CatalogHead;
  shards @1 :List(CatalogShard);
}

struct CrashReport {
  fingerprint @0 :Text;
  strikes @1 :UInt32;
  server @2 :Text;
  remainingS @3 :Float64;
  deathId @4 :Text;
}

struct Leaving {
  node @0 :Text;
}

struct AdapterKey {
  model @0 :Text;
  adapter @1 :Text;
}

struct AdapterDemand {
  node @0 :Text;
  server @1 :Text;
  key @2 :AdapterKey;
  priority @3 :UInt32;
  dueInS @4 :Float64;
}

struct AdapterHolding {
  key @0 :AdapterKey;
  version @1 :UInt64;
  readyInS @2 :Float64;
}

struct HoldingReport {
  node @0 :Text;
  server @1 :Text;
  fence @2 :UInt64;
  serial @3 :UInt64;
  holdings @4 :List(AdapterHolding);
  isPartial @5 :Bool;
  removed @6 :List(AdapterKey);
  spare @7 :Int32;
  running @8 :UInt32;
  promptTokens @9 :UInt32;
}

struct UseReport {
  node @0 :Text;
  server @1 :Text;
  keys @2 :List(AdapterKey);
  serial @3 :UInt64;
  running @4 :UInt32;
  promptTokens @5 :UInt32;
}

struct EarlyRefusal {
  node @0 :Text;
  server @1 :Text;
  key @2 :AdapterKey;
}

struct LostRun {
  fingerprint @0 :Text;
  sharedParts @1 :List(Text);
  servedParts @2 :List(Text);
  ranS @3 :Float64;
}

struct DeathReport {
  node @0 :Text;
  deathId @1 :Text;
  ageS @2 :Float64;
  servedAgeS @3 :Float64;
  runs @4 :List(LostRun);
  isRetracted @5 :Bool;
}

struct ClearanceReport {
  node @0 :Text;
  fingerprints @1 :List(Text);
}

struct ServerRate {
  server @0 :Text;
  rate @1 :Float64;
  ageS @2 :Float64;
}

struct LeavingServer {
  server @0 :Text;
  startedAtMs @1 :Int64;
}

struct RateLimitReport {
  node @0 :Text;
  limits @1 :List(ServerRate);
  leaving @2 :List(LeavingServer);
}

struct SoftwareVersion {
  service @0 :Text;
  software @1 :Text;
}

struct VersionStreams {
  version @0 :SoftwareVersion;
  attempts @1 :List(Text);
}

struct StreamReport {
  node @0 :Text;
  streams @1 :List(VersionStreams);
}

struct PathReport {
  node @0 :Text;
  lost @1 :List(Text);
  configVersion @2 :UInt64;
}

struct CreditItem {
  priority @0 :UInt32;
  amount @1 :Float64;
}

struct CreditRequest {
  node @0 :Text;
  organisation @1 :Text;
  serial @2 :UInt64;
  offered @3 :Float64;
  wanted @4 :List(CreditItem);
}

struct CreditGrant {
  node @0 :Text;
  organisation @1 :Text;
  serial @2 :UInt64;
  granted @3 :List(CreditItem);
  stock @4 :Float64;
  retryAfterS @5 :Float64;
}

struct CreditCall {
  node @0 :Text;
  organisation @1 :Text;
  amount @2 :Float64;
}

struct CreditOffer {
  node @0 :Text;
  organisation @1 :Text;
  serial @2 :UInt64;
  amount @3 :Float64;
}
