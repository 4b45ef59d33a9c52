@0xd3b1a6f0c2e84795;
# Wire format of the messages in include/shallotlug/protocol/messages.h.
#
# Fields and union members are only ever added, at the end. Byte strings that callers choose are
# Data, because Text must not be relied on to hold arbitrary bytes. Times are milliseconds.
#
# Regenerate with `capnp compile -oc++ messages.capnp` in this folder and commit the result.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shallotlug::wire");

struct ProcessRef {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Attempt {
  job @0 :Text;
  number @1 :UInt32;
}

struct RequestId {
  agent @0 :ProcessRef;
  expires @1 :Int64;
  random0 @2 :UInt64;
  random1 @3 :UInt64;
}

enum Adjacency {
  worker @0;
  rack @1;
  dataCentre @2;
  any @3;
}

enum WorkKind {
  live @0;
  batch @1;
}

struct JobSpec {
  id @0 :Text;
  customer @1 :Text;
  jobClass @2 :Text;
  tasks @3 :Int32;
  acceleratorsPerTask @4 :Int32;
  adjacency @5 :Adjacency;
  declaredRunTime @6 :Int64;
  declaredMemoryMib @7 :Int64;
  repeatable @8 :Bool;
  checkpointable @9 :Bool;
  body @10 :Data;
}

struct VersionedTarget {
  name @0 :Text;
  customer @1 :Text;
  kind @2 :WorkKind;
  finishWithin @3 :Int64;
  objective @4 :Float64;
  accelerators @5 :Int32;
  guaranteeGroups @6 :Int32;
  guaranteeAccelerators @7 :Int32;
  guaranteeWithin @8 :Adjacency;
  version @9 :UInt64;
  removed @10 :Bool;
}

struct ConfigUpdate {
  baseRevision @0 :UInt64;
  revision @1 :UInt64;
  entries @2 :List(VersionedTarget);
}

struct EntryHello {
  entry @0 :ProcessRef;
  dataCentre @1 :Text;
  configRevision @2 :UInt64;
  knownEntries @3 :List(Text);
}

struct EntryHeartbeat {
  configRevision @0 :UInt64;
  knownEntries @1 :List(Text);
}

struct StartRequest {
  id @0 :RequestId;
  customer @1 :Text;
  requestClass @2 :Text;
  startBefore @3 :Int64;
  finishBefore @4 :Int64;
  accelerators @5 :Int32;
  repeatable @6 :Bool;
  body @7 :Data;
}

struct ResolveRequest {
  id @0 :RequestId;
  customer @1 :Text;
  cancel @2 :Bool;
}

struct GangMember {
  agent @0 :ProcessRef;
  address @1 :Text;
  tasks @2 :List(UInt32);
}

struct ProposeJob {
  attempt @0 :Attempt;
  spec @1 :JobSpec;
  members @2 :List(GangMember);
  victims @3 :List(Attempt);
  checkpoint @4 :Data;
}

enum StopReason {
  cancelled @0;
  preempted @1;
  superseded @2;
}

struct StopJob {
  attempt @0 :Attempt;
  reason @1 :StopReason;
}

struct JobUpdateAck {
  attempt @0 :Attempt;
}

struct WorkerInventory {
  dataCentre @0 :Text;
  rack @1 :Text;
  region @2 :Text;
  accelerators @3 :Int32;
  slots @4 :Int32;
  connections @5 :Int32;
}

enum JobPhase {
  reserving @0;
  running @1;
  checkpointed @2;
  finished @3;
  failed @4;
  notStarted @5;
  lost @6;
}

struct JobUpdate {
  attempt @0 :Attempt;
  phase @1 :JobPhase;
  progress @2 :Float64;
  result @3 :Data;
  checkpoint @4 :Data;
  reason @5 :Text;
  failedAt @6 :List(Text);
}

enum AcceleratorUse {
  free @0;
  live @1;
  throttleable @2;
  gang @3;
  reserved @4;
  faulty @5;
}

struct RunningAttempt {
  attempt @0 :Attempt;
  coordinator @1 :Bool;
  phase @2 :JobPhase;
  accelerators @3 :UInt32;
  spec @4 :JobSpec;
  members @5 :List(GangMember);
  progress @6 :Float64;
}

struct AgentHello {
  agent @0 :ProcessRef;
  inventory @1 :WorkerInventory;
  peerAddress @2 :Text;
  configRevision @3 :UInt64;
  now @4 :Int64;
}

struct AgentReport {
  now @0 :Int64;
  configRevision @1 :UInt64;
  leaving @2 :Bool;
  backendReachable @3 :Bool;
  accelerators @4 :List(AcceleratorUse);
  freeSlots @5 :Int32;
  liveRunning @6 :Int32;
  liveQueued @7 :Int32;
  expectedWait @8 :Int64;
  liveFinished @9 :Int64;
  liveFailed @10 :Int64;
  hasAttempts @11 :Bool;
  attempts @12 :List(RunningAttempt);
  linkedEntries @13 :List(Text);
}

enum RequestResult {
  answered @0;
  failed @1;
  notRun @2;
  running @3;
  unknown @4;
  conflict @5;
}

struct RequestOutcome {
  id @0 :RequestId;
  result @1 :RequestResult;
  attempt @2 :UInt32;
  answer @3 :Data;
  answerLength @4 :UInt64;
  answerHash @5 :UInt64;
  reason @6 :Text;
}

struct PeerHello {
  agent @0 :ProcessRef;
}

struct Reserve {
  attempt @0 :Attempt;
  coordinator @1 :ProcessRef;
  round @2 :UInt32;
  spec @3 :JobSpec;
  tasks @4 :List(UInt32);
  victims @5 :List(Attempt);
  checkpoint @6 :Data;
}

enum MemberPhase {
  refused @0;
  granted @1;
  ready @2;
  running @3;
  finished @4;
  failed @5;
  checkpointed @6;
  stopped @7;
}

struct MemberStatus {
  attempt @0 :Attempt;
  member @1 :ProcessRef;
  round @2 :UInt32;
  phase @3 :MemberPhase;
  now @4 :Int64;
  holdFor @5 :Int64;
  progress @6 :Float64;
  result @7 :Data;
  checkpoint @8 :Data;
  reason @9 :Text;
}

struct Renew {
  attempt @0 :Attempt;
  coordinator @1 :ProcessRef;
  round @2 :UInt32;
  runUntil @3 :Int64;
  runUntilIncarnation @4 :UInt64;
}

struct Release {
  attempt @0 :Attempt;
  coordinator @1 :ProcessRef;
  checkpoint @2 :Bool;
}

struct Envelope {
  union {
    configUpdate @0 :ConfigUpdate;
    entryHello @1 :EntryHello;
    entryHeartbeat @2 :EntryHeartbeat;
    startRequest @3 :StartRequest;
    resolveRequest @4 :ResolveRequest;
    proposeJob @5 :ProposeJob;
    stopJob @6 :StopJob;
    jobUpdateAck @7 :JobUpdateAck;
    agentHello @8 :AgentHello;
    agentReport @9 :AgentReport;
    jobUpdate @10 :JobUpdate;
    requestOutcome @11 :RequestOutcome;
    peerHello @12 :PeerHello;
    reserve @13 :Reserve;
    memberStatus @14 :MemberStatus;
    renew @15 :Renew;
    release @16 :Release;
  }
}
