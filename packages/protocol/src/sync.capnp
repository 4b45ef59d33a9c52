@0xb1f5c3a2d4967e18;
# Wire format of the calls between the scheduler and an agent, in
# include/shallotlug/protocol/sync.h.
#
# Fields are only ever added, at the end. Byte strings that callers choose are Data. Times are
# milliseconds.
#
# Regenerate with `capnp compile -oc++ sync.capnp` in this folder and commit the result.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shallotlug::wire");

struct RunName {
  job @0 :Text;
  occurrence @1 :Int32;
  step @2 :Int32;
  index @3 :Int32;
  run @4 :Int32;
}

struct StartOrder {
  run @0 :RunName;
  payload @1 :Data;
  checkpoint @2 :Data;
  repeated @3 :Bool;
}

struct SyncRequest {
  epoch @0 :UInt64;
  entry @1 :Text;
  leaseFrom @2 :Int64;
  lease @3 :Int64;
  worker @4 :Text;
  born @5 :Int64;
  starts @6 :List(StartOrder);
  stops @7 :List(RunName);
  notedEnds @8 :UInt64;
  settled @9 :List(RunName);
  knownVersion @10 :UInt64;
  wait @11 :Int64;
  leaseFromIncarnation @12 :UInt64;
  speed @13 :SpeedNote;
}

struct SpeedNote {
  logFactor @0 :Float64;
  weight @1 :Float64;
}

struct RunReport {
  run @0 :RunName;
  phase @1 :UInt8;
  checkpoint @2 :Data;
  percent @3 :Int32;
  usage @4 :Int64;
  startedAt @5 :Int64;
}

struct EndReport {
  number @0 :UInt64;
  run @1 :RunName;
  reason @2 :UInt8;
  checkpoint @3 :Data;
}

struct RefusalReport {
  run @0 :RunName;
  reason @1 :UInt8;
}

struct CrashReport {
  run @0 :RunName;
  early @1 :Bool;
  alone @2 :Bool;
}

struct WorkerReport {
  id @0 :Text;
  born @1 :Int64;
  service @2 :Text;
  dataCentre @3 :Text;
  rack @4 :Text;
  labels @5 :List(Text);
  cpu @6 :Int64;
  memory @7 :Int64;
  accelerators @8 :Int64;
  draining @9 :Bool;
  remaining @10 :Int64;
}

struct SyncReply {
  agent @0 :Text;
  incarnation @1 :UInt64;
  clock @2 :Int64;
  epoch @3 :UInt64;
  version @4 :UInt64;
  workerState @5 :UInt8;
  worker @6 :WorkerReport;
  runs @7 :List(RunReport);
  ends @8 :List(EndReport);
  refusals @9 :List(RefusalReport);
  accepted @10 :Bool;
  formerEnds @11 :List(EndReport);
  crashes @12 :List(CrashReport);
  readAt @13 :Int64;
  speed @14 :SpeedNote;
  moreEnds @15 :Bool;
}
