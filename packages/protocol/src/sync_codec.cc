#include <cmath>
#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/array.h>
#include <kj/exception.h>

#include "capnp_text.h"
#include "shallotlug/protocol/sync.h"
#include "sync.capnp.h"

namespace shallotlug::protocol {

using detail::ToData;
using detail::ToString;
using detail::ToText;

namespace {

// Nested structs are followed through several accessors.
constexpr std::uint64_t kTraversalFactor = 8;
constexpr std::uint64_t kTraversalFloorWords = 4096;
constexpr int kNestingLimit = 8;

// No worker differs by more from a usual one, and no evidence is stronger.
constexpr double kMaxLogFactor = 10;
constexpr double kMaxSpeedWeight = 1e6;

struct BadValue {};

template <class Enum>
Enum ToEnum(std::uint8_t value, Enum last) {
  if (value > static_cast<std::uint8_t>(last)) {
    throw BadValue{};
  }
  return static_cast<Enum>(value);
}

void Write(wire::RunName::Builder to, const workload::RunRef& it) {
  to.setJob(ToText(it.task.job.value));
  to.setOccurrence(it.task.occurrence);
  to.setStep(it.task.step);
  to.setIndex(it.task.index);
  to.setRun(it.run);
}

workload::RunRef Read(wire::RunName::Reader from) {
  return {{JobId(ToString(from.getJob())), from.getOccurrence(), from.getStep(),
           from.getIndex()},
          from.getRun()};
}

template <class List>
void WriteRuns(List to, const std::vector<workload::RunRef>& runs) {
  for (unsigned n = 0; n < runs.size(); ++n) {
    Write(to[n], runs[n]);
  }
}

template <class List>
std::vector<workload::RunRef> ReadRuns(List from) {
  std::vector<workload::RunRef> runs;
  for (const auto it : from) {
    runs.push_back(Read(it));
  }
  return runs;
}

void Write(wire::WorkerReport::Builder to, const workload::WorkerFacts& it) {
  to.setId(ToText(it.life.id));
  to.setBorn(it.life.born);
  to.setService(ToText(it.service));
  to.setDataCentre(ToText(it.data_centre));
  to.setRack(ToText(it.rack));
  auto labels = to.initLabels(static_cast<unsigned>(it.labels.size()));
  for (unsigned n = 0; n < it.labels.size(); ++n) {
    labels.set(n, ToText(it.labels[n]));
  }
  to.setCpu(it.capacity.cpu_millis);
  to.setMemory(it.capacity.memory_mib);
  to.setAccelerators(it.capacity.accelerators);
  to.setDraining(it.draining);
  to.setRemaining(it.remaining.count());
}

workload::WorkerFacts Read(wire::WorkerReport::Reader from) {
  workload::WorkerFacts it;
  it.life = {ToString(from.getId()), from.getBorn()};
  it.service = ToString(from.getService());
  it.data_centre = ToString(from.getDataCentre());
  it.rack = ToString(from.getRack());
  for (const auto label : from.getLabels()) {
    it.labels.push_back(ToString(label));
  }
  it.capacity = {from.getCpu(), from.getMemory(), from.getAccelerators()};
  it.draining = from.getDraining();
  it.remaining = Millis(from.getRemaining());
  return it;
}

void Write(wire::SpeedNote::Builder to, const SpeedNote& it) {
  to.setLogFactor(it.log_factor);
  to.setWeight(it.weight);
}

SpeedNote Read(wire::SpeedNote::Reader from) {
  const SpeedNote it{from.getLogFactor(), from.getWeight()};
  // Written so that it is false for what is no number.
  const bool valid = std::abs(it.log_factor) <= kMaxLogFactor &&
                     it.weight >= 0 && it.weight <= kMaxSpeedWeight;
  if (!valid) {
    throw BadValue{};
  }
  return it;
}

std::string ToBytes(capnp::MallocMessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

template <class Root, class ReadRoot>
auto ReadMessage(std::string_view bytes, ReadRoot read)
    -> std::optional<decltype(read(std::declval<typename Root::Reader>()))> {
  const std::size_t words = bytes.size() / sizeof(capnp::word);
  // The reader needs aligned words.
  kj::Array<capnp::word> buf = kj::heapArray<capnp::word>(words);
  std::memcpy(buf.asBytes().begin(), bytes.data(), words * sizeof(capnp::word));
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      kTraversalFloorWords + kTraversalFactor * words;
  options.nestingLimit = kNestingLimit;
  try {
    capnp::FlatArrayMessageReader reader(buf, options);
    return read(reader.getRoot<Root>());
  } catch (const kj::Exception&) {
    return std::nullopt;
  } catch (const BadValue&) {
    return std::nullopt;
  }
}

SyncRequest ReadRequest(wire::SyncRequest::Reader from) {
  SyncRequest it;
  it.epoch = from.getEpoch();
  it.entry = EntryName(ToString(from.getEntry()));
  it.lease_from = {Incarnation{from.getLeaseFromIncarnation()},
                   PeerTime(Millis(from.getLeaseFrom()))};
  it.lease = Millis(from.getLease());
  it.worker = {ToString(from.getWorker()), from.getBorn()};
  for (const auto order : from.getStarts()) {
    it.starts.push_back({Read(order.getRun()), ToString(order.getPayload()),
                         ToString(order.getCheckpoint()), order.getRepeated()});
  }
  it.stops = ReadRuns(from.getStops());
  it.noted_ends = from.getNotedEnds();
  it.settled = ReadRuns(from.getSettled());
  it.known_version = from.getKnownVersion();
  it.wait = Millis(from.getWait());
  it.speed = Read(from.getSpeed());
  return it;
}

std::vector<workload::RunEnd> ReadEnds(
    capnp::List<wire::EndReport>::Reader from) {
  std::vector<workload::RunEnd> ends;
  for (const auto end : from) {
    ends.push_back({end.getNumber(), Read(end.getRun()),
                    ToEnum(end.getReason(), workload::EndReason::kAlone),
                    ToString(end.getCheckpoint())});
  }
  return ends;
}

SyncReply ReadReply(wire::SyncReply::Reader from) {
  SyncReply it;
  it.agent = AgentName(ToString(from.getAgent()));
  it.incarnation = Incarnation{from.getIncarnation()};
  it.clock = PeerTime(Millis(from.getClock()));
  it.epoch = from.getEpoch();
  it.accepted = from.getAccepted();
  it.version = from.getVersion();
  it.worker_state = ToEnum(from.getWorkerState(), WorkerState::kGone);
  it.worker = Read(from.getWorker());
  for (const auto run : from.getRuns()) {
    it.runs.push_back({{Read(run.getRun()), ToString(run.getCheckpoint()),
                        run.getPercent(), run.getUsage()},
                       ToEnum(run.getPhase(), RunPhase::kStopping),
                       PeerTime(Millis(run.getStartedAt()))});
  }
  it.ends = ReadEnds(from.getEnds());
  it.more_ends = from.getMoreEnds();
  it.former_ends = ReadEnds(from.getFormerEnds());
  for (const auto refusal : from.getRefusals()) {
    it.refusals.push_back(
        {Read(refusal.getRun()),
         ToEnum(refusal.getReason(), RefusalReason::kLapsed)});
  }
  for (const auto crash : from.getCrashes()) {
    it.crashes.push_back(
        {Read(crash.getRun()), crash.getEarly(), crash.getAlone()});
  }
  it.read_at = PeerTime(Millis(from.getReadAt()));
  it.speed = Read(from.getSpeed());
  return it;
}

template <class Container>
unsigned Size(const Container& it) {
  return static_cast<unsigned>(it.size());
}

void WriteEnds(capnp::List<wire::EndReport>::Builder to,
               const std::vector<workload::RunEnd>& ends) {
  for (unsigned n = 0; n < ends.size(); ++n) {
    const workload::RunEnd& it = ends[n];
    to[n].setNumber(it.number);
    Write(to[n].initRun(), it.run);
    to[n].setReason(static_cast<std::uint8_t>(it.reason));
    to[n].setCheckpoint(ToData(it.checkpoint));
  }
}

}  // namespace

std::string Encode(const SyncRequest& request) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<wire::SyncRequest>();
  to.setEpoch(request.epoch);
  to.setEntry(ToText(request.entry.value));
  to.setLeaseFromIncarnation(
      static_cast<std::uint64_t>(request.lease_from.incarnation));
  to.setLeaseFrom(request.lease_from.at.time_since_epoch().count());
  to.setLease(request.lease.count());
  to.setWorker(ToText(request.worker.id));
  to.setBorn(request.worker.born);
  auto starts = to.initStarts(Size(request.starts));
  for (unsigned n = 0; n < request.starts.size(); ++n) {
    Write(starts[n].initRun(), request.starts[n].run);
    starts[n].setPayload(ToData(request.starts[n].payload));
    starts[n].setCheckpoint(ToData(request.starts[n].checkpoint));
    starts[n].setRepeated(request.starts[n].repeated);
  }
  WriteRuns(to.initStops(Size(request.stops)), request.stops);
  to.setNotedEnds(request.noted_ends);
  WriteRuns(to.initSettled(Size(request.settled)), request.settled);
  to.setKnownVersion(request.known_version);
  to.setWait(request.wait.count());
  Write(to.initSpeed(), request.speed);
  return ToBytes(message);
}

std::string Encode(const SyncReply& reply) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<wire::SyncReply>();
  to.setAgent(ToText(reply.agent.value));
  to.setIncarnation(static_cast<std::uint64_t>(reply.incarnation));
  to.setClock(reply.clock.time_since_epoch().count());
  to.setEpoch(reply.epoch);
  to.setAccepted(reply.accepted);
  to.setVersion(reply.version);
  to.setWorkerState(static_cast<std::uint8_t>(reply.worker_state));
  Write(to.initWorker(), reply.worker);
  auto runs = to.initRuns(Size(reply.runs));
  for (unsigned n = 0; n < reply.runs.size(); ++n) {
    const RunReport& it = reply.runs[n];
    Write(runs[n].initRun(), it.active.run);
    runs[n].setPhase(static_cast<std::uint8_t>(it.phase));
    runs[n].setCheckpoint(ToData(it.active.checkpoint));
    runs[n].setPercent(it.active.percent);
    runs[n].setUsage(it.active.usage);
    runs[n].setStartedAt(it.started_at.time_since_epoch().count());
  }
  WriteEnds(to.initEnds(Size(reply.ends)), reply.ends);
  to.setMoreEnds(reply.more_ends);
  WriteEnds(to.initFormerEnds(Size(reply.former_ends)), reply.former_ends);
  auto refusals = to.initRefusals(Size(reply.refusals));
  for (unsigned n = 0; n < reply.refusals.size(); ++n) {
    Write(refusals[n].initRun(), reply.refusals[n].run);
    refusals[n].setReason(static_cast<std::uint8_t>(reply.refusals[n].reason));
  }
  auto crashes = to.initCrashes(Size(reply.crashes));
  for (unsigned n = 0; n < reply.crashes.size(); ++n) {
    Write(crashes[n].initRun(), reply.crashes[n].run);
    crashes[n].setEarly(reply.crashes[n].early);
    crashes[n].setAlone(reply.crashes[n].alone);
  }
  to.setReadAt(reply.read_at.time_since_epoch().count());
  Write(to.initSpeed(), reply.speed);
  return ToBytes(message);
}

std::optional<SyncRequest> DecodeSyncRequest(std::string_view bytes) {
  return ReadMessage<wire::SyncRequest>(bytes, ReadRequest);
}

std::optional<SyncReply> DecodeSyncReply(std::string_view bytes) {
  return ReadMessage<wire::SyncReply>(bytes, ReadReply);
}

const char* Name(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoRoom:
      return "no_room";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kOtherLife:
      return "other_life";
    case RefusalReason::kSuperseded:
      return "superseded";
    case RefusalReason::kFenced:
      return "fenced";
    case RefusalReason::kNoLease:
      return "no_lease";
    case RefusalReason::kUnhealthy:
      return "unhealthy";
    case RefusalReason::kNoAnswer:
      return "no_answer";
    case RefusalReason::kStopped:
      return "stopped";
    case RefusalReason::kInvalid:
      return "invalid";
    case RefusalReason::kNoTicket:
      return "no_ticket";
    case RefusalReason::kLapsed:
      return "lapsed";
  }
  return "unknown";
}

const char* Name(WorkerState state) {
  switch (state) {
    case WorkerState::kUnknown:
      return "unknown";
    case WorkerState::kPresent:
      return "present";
    case WorkerState::kSilent:
      return "silent";
    case WorkerState::kGone:
      return "gone";
  }
  return "unknown";
}

}  // namespace shallotlug::protocol
