#include "shallotlug/protocol/codec.h"

#include <algorithm>
#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/array.h>
#include <kj/exception.h>

#include "capnp_text.h"
#include "messages.capnp.h"

namespace shallotlug {

using detail::ToData;
using detail::ToString;
using detail::ToText;

namespace {

// A message is read once, but nested structs are followed through several
// accessors, and a list of empty structs costs more when read than its bytes.
constexpr std::uint64_t kTraversalFactor = 4;
constexpr std::uint64_t kTraversalFloorWords = 1024;
// The deepest message (a report's attempt with its members) nests 6 levels.
constexpr int kNestingLimit = 16;

// Leaves the readers; never leaves Decode.
struct DecodeFailure {
  CodecError error;
};

class CodecCategoryImpl : public std::error_category {
 public:
  const char* name() const noexcept override { return "shallotlug.codec"; }
  std::string message(int code) const override {
    switch (static_cast<CodecError>(code)) {
      case CodecError::kMalformed:
        return "the bytes are no message";
      case CodecError::kUnknownMessage:
        return "the message is of a kind that only a newer version knows";
      case CodecError::kUnknownValue:
        return "the message has a value that only a newer version knows";
    }
    return "unknown codec error";
  }
};

template <class T>
unsigned Count(const std::vector<T>& items) {
  return static_cast<unsigned>(items.size());
}

template <class T, class ListBuilder>
void WriteNumbers(const std::vector<T>& in, ListBuilder out) {
  for (unsigned n = 0; n < out.size(); ++n) {
    out.set(n, in[n]);
  }
}

void WriteTexts(const std::vector<std::string>& in,
                capnp::List<capnp::Text>::Builder out) {
  for (unsigned n = 0; n < out.size(); ++n) {
    out.set(n, ToText(in[n]));
  }
}

template <class Tag>
void WriteNames(const std::vector<StringId<Tag>>& in,
                capnp::List<capnp::Text>::Builder out) {
  for (unsigned n = 0; n < out.size(); ++n) {
    out.set(n, ToText(in[n].value));
  }
}

void WriteEnums(const std::vector<AcceleratorUse>& in,
                capnp::List<wire::AcceleratorUse>::Builder out) {
  for (unsigned n = 0; n < out.size(); ++n) {
    out.set(n, static_cast<wire::AcceleratorUse>(in[n]));
  }
}

template <class T, class ListReader>
void ReadNumbers(ListReader in, std::vector<T>& out) {
  for (const auto it : in) {
    out.push_back(it);
  }
}

void ReadTexts(capnp::List<capnp::Text>::Reader in,
               std::vector<std::string>& out) {
  for (const capnp::Text::Reader it : in) {
    out.push_back(ToString(it));
  }
}

template <class Tag>
void ReadNames(capnp::List<capnp::Text>::Reader in,
               std::vector<StringId<Tag>>& out) {
  for (const capnp::Text::Reader it : in) {
    out.emplace_back(ToString(it));
  }
}

// The enumerators of a wire enum stand in the order of its C++ twin.
template <class T, class WireEnum>
T ReadEnum(WireEnum in, T last) {
  if (static_cast<unsigned>(in) > static_cast<unsigned>(last)) {
    throw DecodeFailure{CodecError::kUnknownValue};
  }
  return static_cast<T>(in);
}

template <class T, class ListReader>
void ReadEnums(ListReader in, T last, std::vector<T>& out) {
  for (const auto it : in) {
    out.push_back(ReadEnum(it, last));
  }
}

// Serves AgentRef and EntryRef.
template <class Ref>
void WriteRef(const Ref& in, wire::ProcessRef::Builder out) {
  out.setName(ToText(in.name.value));
  out.setIncarnation(static_cast<std::uint64_t>(in.incarnation));
}

template <class Ref>
void ReadRef(wire::ProcessRef::Reader in, Ref& out) {
  out.name.value = ToString(in.getName());
  out.incarnation = Incarnation{in.getIncarnation()};
}

void Write(const AgentRef& in, wire::ProcessRef::Builder out) {
  WriteRef(in, out);
}

void Write(const EntryRef& in, wire::ProcessRef::Builder out) {
  WriteRef(in, out);
}

void Read(wire::ProcessRef::Reader in, AgentRef& out) {
  ReadRef(in, out);
}

void Read(wire::ProcessRef::Reader in, EntryRef& out) {
  ReadRef(in, out);
}

void Write(const Attempt& in, wire::Attempt::Builder out) {
  out.setJob(ToText(in.job.value));
  out.setNumber(in.number);
}

void Read(wire::Attempt::Reader in, Attempt& out) {
  out.job.value = ToString(in.getJob());
  out.number = in.getNumber();
}

// The elements of lists, for the templates below.
void Write(const VersionedTarget& in, wire::VersionedTarget::Builder out);
void Read(wire::VersionedTarget::Reader in, VersionedTarget& out);
void Write(const GangMember& in, wire::GangMember::Builder out);
void Read(wire::GangMember::Reader in, GangMember& out);
void Write(const RunningAttempt& in, wire::RunningAttempt::Builder out);
void Read(wire::RunningAttempt::Reader in, RunningAttempt& out);

template <class T, class ListBuilder>
void WriteList(const std::vector<T>& in, ListBuilder out) {
  for (unsigned n = 0; n < out.size(); ++n) {
    Write(in[n], out[n]);
  }
}

template <class T, class ListReader>
void ReadList(ListReader in, std::vector<T>& out) {
  for (const auto it : in) {
    Read(it, out.emplace_back());
  }
}

void Write(const RequestId& in, wire::RequestId::Builder out) {
  Write(in.agent, out.initAgent());
  out.setExpires(in.expires.time_since_epoch().count());
  out.setRandom0(in.random[0]);
  out.setRandom1(in.random[1]);
}

void Read(wire::RequestId::Reader in, RequestId& out) {
  Read(in.getAgent(), out.agent);
  out.expires = PeerTime(Millis(in.getExpires()));
  out.random[0] = in.getRandom0();
  out.random[1] = in.getRandom1();
}

void Write(const JobSpec& in, wire::JobSpec::Builder out) {
  out.setId(ToText(in.id.value));
  out.setCustomer(ToText(in.customer.value));
  out.setJobClass(ToText(in.job_class.value));
  out.setTasks(in.shape.tasks);
  out.setAcceleratorsPerTask(in.shape.accelerators_per_task);
  out.setAdjacency(static_cast<wire::Adjacency>(in.shape.adjacency));
  out.setDeclaredRunTime(in.declared_run_time.count());
  out.setDeclaredMemoryMib(in.declared_memory_mib);
  out.setRepeatable(in.repeatable);
  out.setCheckpointable(in.checkpointable);
  out.setBody(ToData(in.body));
}

void Read(wire::JobSpec::Reader in, JobSpec& out) {
  out.id.value = ToString(in.getId());
  out.customer.value = ToString(in.getCustomer());
  out.job_class.value = ToString(in.getJobClass());
  out.shape.tasks = in.getTasks();
  out.shape.accelerators_per_task = in.getAcceleratorsPerTask();
  out.shape.adjacency = ReadEnum(in.getAdjacency(), Adjacency::kAny);
  out.declared_run_time = Millis(in.getDeclaredRunTime());
  out.declared_memory_mib = in.getDeclaredMemoryMib();
  out.repeatable = in.getRepeatable();
  out.checkpointable = in.getCheckpointable();
  out.body = ToString(in.getBody());
}

void Write(const VersionedTarget& in, wire::VersionedTarget::Builder out) {
  out.setName(ToText(in.target.name.value));
  out.setCustomer(ToText(in.target.customer.value));
  out.setKind(static_cast<wire::WorkKind>(in.target.kind));
  out.setFinishWithin(in.target.finish_within.count());
  out.setObjective(in.target.objective);
  out.setAccelerators(in.target.accelerators);
  out.setGuaranteeGroups(in.target.guarantee.groups);
  out.setGuaranteeAccelerators(in.target.guarantee.accelerators);
  out.setGuaranteeWithin(
      static_cast<wire::Adjacency>(in.target.guarantee.within));
  out.setVersion(in.version);
  out.setRemoved(in.removed);
}

void Read(wire::VersionedTarget::Reader in, VersionedTarget& out) {
  out.target.name.value = ToString(in.getName());
  out.target.customer.value = ToString(in.getCustomer());
  out.target.kind = ReadEnum(in.getKind(), WorkKind::kBatch);
  out.target.finish_within = Millis(in.getFinishWithin());
  out.target.objective = in.getObjective();
  out.target.accelerators = in.getAccelerators();
  out.target.guarantee.groups = in.getGuaranteeGroups();
  out.target.guarantee.accelerators = in.getGuaranteeAccelerators();
  out.target.guarantee.within =
      ReadEnum(in.getGuaranteeWithin(), Adjacency::kAny);
  out.version = in.getVersion();
  out.removed = in.getRemoved();
}

void Write(const GangMember& in, wire::GangMember::Builder out) {
  Write(in.agent, out.initAgent());
  out.setAddress(ToText(in.address));
  WriteNumbers(in.tasks, out.initTasks(Count(in.tasks)));
}

void Read(wire::GangMember::Reader in, GangMember& out) {
  Read(in.getAgent(), out.agent);
  out.address = ToString(in.getAddress());
  ReadNumbers(in.getTasks(), out.tasks);
}

void Write(const WorkerInventory& in, wire::WorkerInventory::Builder out) {
  out.setDataCentre(ToText(in.data_centre.value));
  out.setRack(ToText(in.rack.value));
  out.setRegion(ToText(in.region));
  out.setAccelerators(in.accelerators);
  out.setSlots(in.slots);
  out.setConnections(in.connections);
}

void Read(wire::WorkerInventory::Reader in, WorkerInventory& out) {
  out.data_centre.value = ToString(in.getDataCentre());
  out.rack.value = ToString(in.getRack());
  out.region = ToString(in.getRegion());
  out.accelerators = in.getAccelerators();
  out.slots = in.getSlots();
  out.connections = in.getConnections();
}

void Write(const RunningAttempt& in, wire::RunningAttempt::Builder out) {
  Write(in.attempt, out.initAttempt());
  out.setCoordinator(in.coordinator);
  out.setPhase(static_cast<wire::JobPhase>(in.phase));
  out.setAccelerators(in.accelerators);
  Write(in.spec, out.initSpec());
  WriteList(in.members, out.initMembers(Count(in.members)));
  out.setProgress(in.progress);
}

void Read(wire::RunningAttempt::Reader in, RunningAttempt& out) {
  Read(in.getAttempt(), out.attempt);
  out.coordinator = in.getCoordinator();
  out.phase = ReadEnum(in.getPhase(), JobPhase::kLost);
  out.accelerators = in.getAccelerators();
  Read(in.getSpec(), out.spec);
  ReadList(in.getMembers(), out.members);
  out.progress = in.getProgress();
}

void Write(const ConfigUpdate& in, wire::ConfigUpdate::Builder out) {
  out.setBaseRevision(in.base_revision);
  out.setRevision(in.revision);
  WriteList(in.entries, out.initEntries(Count(in.entries)));
}

void Read(wire::ConfigUpdate::Reader in, ConfigUpdate& out) {
  out.base_revision = in.getBaseRevision();
  out.revision = in.getRevision();
  ReadList(in.getEntries(), out.entries);
}

void Write(const EntryHello& in, wire::EntryHello::Builder out) {
  Write(in.entry, out.initEntry());
  out.setDataCentre(ToText(in.data_centre.value));
  out.setConfigRevision(in.config_revision);
  WriteTexts(in.known_entries, out.initKnownEntries(Count(in.known_entries)));
}

void Read(wire::EntryHello::Reader in, EntryHello& out) {
  Read(in.getEntry(), out.entry);
  out.data_centre.value = ToString(in.getDataCentre());
  out.config_revision = in.getConfigRevision();
  ReadTexts(in.getKnownEntries(), out.known_entries);
}

void Write(const EntryHeartbeat& in, wire::EntryHeartbeat::Builder out) {
  out.setConfigRevision(in.config_revision);
  WriteTexts(in.known_entries, out.initKnownEntries(Count(in.known_entries)));
}

void Read(wire::EntryHeartbeat::Reader in, EntryHeartbeat& out) {
  out.config_revision = in.getConfigRevision();
  ReadTexts(in.getKnownEntries(), out.known_entries);
}

void Write(const StartRequest& in, wire::StartRequest::Builder out) {
  Write(in.id, out.initId());
  out.setCustomer(ToText(in.customer.value));
  out.setRequestClass(ToText(in.request_class.value));
  out.setStartBefore(in.start_before.time_since_epoch().count());
  out.setFinishBefore(in.finish_before.time_since_epoch().count());
  out.setAccelerators(in.accelerators);
  out.setRepeatable(in.repeatable);
  out.setBody(ToData(in.body));
}

void Read(wire::StartRequest::Reader in, StartRequest& out) {
  Read(in.getId(), out.id);
  out.customer.value = ToString(in.getCustomer());
  out.request_class.value = ToString(in.getRequestClass());
  out.start_before = PeerTime(Millis(in.getStartBefore()));
  out.finish_before = PeerTime(Millis(in.getFinishBefore()));
  out.accelerators = in.getAccelerators();
  out.repeatable = in.getRepeatable();
  out.body = ToString(in.getBody());
}

void Write(const ResolveRequest& in, wire::ResolveRequest::Builder out) {
  Write(in.id, out.initId());
  out.setCustomer(ToText(in.customer.value));
  out.setCancel(in.cancel);
}

void Read(wire::ResolveRequest::Reader in, ResolveRequest& out) {
  Read(in.getId(), out.id);
  out.customer.value = ToString(in.getCustomer());
  out.cancel = in.getCancel();
}

void Write(const ProposeJob& in, wire::ProposeJob::Builder out) {
  Write(in.attempt, out.initAttempt());
  Write(in.spec, out.initSpec());
  WriteList(in.members, out.initMembers(Count(in.members)));
  WriteList(in.victims, out.initVictims(Count(in.victims)));
  out.setCheckpoint(ToData(in.checkpoint));
}

void Read(wire::ProposeJob::Reader in, ProposeJob& out) {
  Read(in.getAttempt(), out.attempt);
  Read(in.getSpec(), out.spec);
  ReadList(in.getMembers(), out.members);
  ReadList(in.getVictims(), out.victims);
  out.checkpoint = ToString(in.getCheckpoint());
}

void Write(const StopJob& in, wire::StopJob::Builder out) {
  Write(in.attempt, out.initAttempt());
  out.setReason(static_cast<wire::StopReason>(in.reason));
}

void Read(wire::StopJob::Reader in, StopJob& out) {
  Read(in.getAttempt(), out.attempt);
  out.reason = ReadEnum(in.getReason(), StopReason::kSuperseded);
}

void Write(const JobUpdateAck& in, wire::JobUpdateAck::Builder out) {
  Write(in.attempt, out.initAttempt());
}

void Read(wire::JobUpdateAck::Reader in, JobUpdateAck& out) {
  Read(in.getAttempt(), out.attempt);
}

void Write(const AgentHello& in, wire::AgentHello::Builder out) {
  Write(in.agent, out.initAgent());
  Write(in.inventory, out.initInventory());
  out.setPeerAddress(ToText(in.peer_address));
  out.setConfigRevision(in.config_revision);
  out.setNow(in.now.time_since_epoch().count());
}

void Read(wire::AgentHello::Reader in, AgentHello& out) {
  Read(in.getAgent(), out.agent);
  Read(in.getInventory(), out.inventory);
  out.peer_address = ToString(in.getPeerAddress());
  out.config_revision = in.getConfigRevision();
  out.now = PeerTime(Millis(in.getNow()));
}

void Write(const AgentReport& in, wire::AgentReport::Builder out) {
  out.setNow(in.now.time_since_epoch().count());
  out.setConfigRevision(in.config_revision);
  out.setLeaving(in.leaving);
  out.setBackendReachable(in.backend_reachable);
  WriteEnums(in.accelerators, out.initAccelerators(Count(in.accelerators)));
  out.setFreeSlots(in.free_slots);
  out.setLiveRunning(in.live_running);
  out.setLiveQueued(in.live_queued);
  out.setExpectedWait(in.expected_wait.count());
  out.setLiveFinished(in.live_finished);
  out.setLiveFailed(in.live_failed);
  out.setHasAttempts(in.has_attempts);
  WriteList(in.attempts, out.initAttempts(Count(in.attempts)));
  WriteNames(in.linked_entries,
             out.initLinkedEntries(Count(in.linked_entries)));
}

void Read(wire::AgentReport::Reader in, AgentReport& out) {
  out.now = PeerTime(Millis(in.getNow()));
  out.config_revision = in.getConfigRevision();
  out.leaving = in.getLeaving();
  out.backend_reachable = in.getBackendReachable();
  ReadEnums(in.getAccelerators(), AcceleratorUse::kFaulty, out.accelerators);
  out.free_slots = in.getFreeSlots();
  out.live_running = in.getLiveRunning();
  out.live_queued = in.getLiveQueued();
  out.expected_wait = Millis(in.getExpectedWait());
  out.live_finished = in.getLiveFinished();
  out.live_failed = in.getLiveFailed();
  out.has_attempts = in.getHasAttempts();
  ReadList(in.getAttempts(), out.attempts);
  ReadNames(in.getLinkedEntries(), out.linked_entries);
}

void Write(const JobUpdate& in, wire::JobUpdate::Builder out) {
  Write(in.attempt, out.initAttempt());
  out.setPhase(static_cast<wire::JobPhase>(in.phase));
  out.setProgress(in.progress);
  out.setResult(ToData(in.result));
  out.setCheckpoint(ToData(in.checkpoint));
  out.setReason(ToText(in.reason));
  WriteNames(in.failed_at, out.initFailedAt(Count(in.failed_at)));
}

void Read(wire::JobUpdate::Reader in, JobUpdate& out) {
  Read(in.getAttempt(), out.attempt);
  out.phase = ReadEnum(in.getPhase(), JobPhase::kLost);
  out.progress = in.getProgress();
  out.result = ToString(in.getResult());
  out.checkpoint = ToString(in.getCheckpoint());
  out.reason = ToString(in.getReason());
  ReadNames(in.getFailedAt(), out.failed_at);
}

void Write(const RequestOutcome& in, wire::RequestOutcome::Builder out) {
  Write(in.id, out.initId());
  out.setResult(static_cast<wire::RequestResult>(in.result));
  out.setAttempt(in.attempt);
  out.setAnswer(ToData(in.answer));
  out.setAnswerLength(in.answer_length);
  out.setAnswerHash(in.answer_hash);
  out.setReason(ToText(in.reason));
}

void Read(wire::RequestOutcome::Reader in, RequestOutcome& out) {
  Read(in.getId(), out.id);
  out.result = ReadEnum(in.getResult(), RequestResult::kConflict);
  out.attempt = in.getAttempt();
  out.answer = ToString(in.getAnswer());
  out.answer_length = in.getAnswerLength();
  out.answer_hash = in.getAnswerHash();
  out.reason = ToString(in.getReason());
}

void Write(const PeerHello& in, wire::PeerHello::Builder out) {
  Write(in.agent, out.initAgent());
}

void Read(wire::PeerHello::Reader in, PeerHello& out) {
  Read(in.getAgent(), out.agent);
}

void Write(const Reserve& in, wire::Reserve::Builder out) {
  Write(in.attempt, out.initAttempt());
  Write(in.coordinator, out.initCoordinator());
  out.setRound(in.round);
  Write(in.spec, out.initSpec());
  WriteNumbers(in.tasks, out.initTasks(Count(in.tasks)));
  WriteList(in.victims, out.initVictims(Count(in.victims)));
  out.setCheckpoint(ToData(in.checkpoint));
}

void Read(wire::Reserve::Reader in, Reserve& out) {
  Read(in.getAttempt(), out.attempt);
  Read(in.getCoordinator(), out.coordinator);
  out.round = in.getRound();
  Read(in.getSpec(), out.spec);
  ReadNumbers(in.getTasks(), out.tasks);
  ReadList(in.getVictims(), out.victims);
  out.checkpoint = ToString(in.getCheckpoint());
}

void Write(const MemberStatus& in, wire::MemberStatus::Builder out) {
  Write(in.attempt, out.initAttempt());
  Write(in.member, out.initMember());
  out.setRound(in.round);
  out.setPhase(static_cast<wire::MemberPhase>(in.phase));
  out.setNow(in.now.time_since_epoch().count());
  out.setHoldFor(in.hold_for.count());
  out.setProgress(in.progress);
  out.setResult(ToData(in.result));
  out.setCheckpoint(ToData(in.checkpoint));
  out.setReason(ToText(in.reason));
}

void Read(wire::MemberStatus::Reader in, MemberStatus& out) {
  Read(in.getAttempt(), out.attempt);
  Read(in.getMember(), out.member);
  out.round = in.getRound();
  out.phase = ReadEnum(in.getPhase(), MemberPhase::kStopped);
  out.now = PeerTime(Millis(in.getNow()));
  out.hold_for = Millis(in.getHoldFor());
  out.progress = in.getProgress();
  out.result = ToString(in.getResult());
  out.checkpoint = ToString(in.getCheckpoint());
  out.reason = ToString(in.getReason());
}

void Write(const Renew& in, wire::Renew::Builder out) {
  Write(in.attempt, out.initAttempt());
  Write(in.coordinator, out.initCoordinator());
  out.setRound(in.round);
  out.setRunUntil(in.run_until.at.time_since_epoch().count());
  out.setRunUntilIncarnation(
      static_cast<std::uint64_t>(in.run_until.incarnation));
}

void Read(wire::Renew::Reader in, Renew& out) {
  Read(in.getAttempt(), out.attempt);
  Read(in.getCoordinator(), out.coordinator);
  out.round = in.getRound();
  out.run_until = {Incarnation{in.getRunUntilIncarnation()},
                   PeerTime(Millis(in.getRunUntil()))};
}

void Write(const Release& in, wire::Release::Builder out) {
  Write(in.attempt, out.initAttempt());
  Write(in.coordinator, out.initCoordinator());
  out.setCheckpoint(in.checkpoint);
}

void Read(wire::Release::Reader in, Release& out) {
  Read(in.getAttempt(), out.attempt);
  Read(in.getCoordinator(), out.coordinator);
  out.checkpoint = in.getCheckpoint();
}

// One overload for each member of the envelope's union.
void Put(const ConfigUpdate& in, wire::Envelope::Builder out) {
  Write(in, out.initConfigUpdate());
}
void Put(const EntryHello& in, wire::Envelope::Builder out) {
  Write(in, out.initEntryHello());
}
void Put(const EntryHeartbeat& in, wire::Envelope::Builder out) {
  Write(in, out.initEntryHeartbeat());
}
void Put(const StartRequest& in, wire::Envelope::Builder out) {
  Write(in, out.initStartRequest());
}
void Put(const ResolveRequest& in, wire::Envelope::Builder out) {
  Write(in, out.initResolveRequest());
}
void Put(const ProposeJob& in, wire::Envelope::Builder out) {
  Write(in, out.initProposeJob());
}
void Put(const StopJob& in, wire::Envelope::Builder out) {
  Write(in, out.initStopJob());
}
void Put(const JobUpdateAck& in, wire::Envelope::Builder out) {
  Write(in, out.initJobUpdateAck());
}
void Put(const AgentHello& in, wire::Envelope::Builder out) {
  Write(in, out.initAgentHello());
}
void Put(const AgentReport& in, wire::Envelope::Builder out) {
  Write(in, out.initAgentReport());
}
void Put(const JobUpdate& in, wire::Envelope::Builder out) {
  Write(in, out.initJobUpdate());
}
void Put(const RequestOutcome& in, wire::Envelope::Builder out) {
  Write(in, out.initRequestOutcome());
}
void Put(const PeerHello& in, wire::Envelope::Builder out) {
  Write(in, out.initPeerHello());
}
void Put(const Reserve& in, wire::Envelope::Builder out) {
  Write(in, out.initReserve());
}
void Put(const MemberStatus& in, wire::Envelope::Builder out) {
  Write(in, out.initMemberStatus());
}
void Put(const Renew& in, wire::Envelope::Builder out) {
  Write(in, out.initRenew());
}
void Put(const Release& in, wire::Envelope::Builder out) {
  Write(in, out.initRelease());
}

template <class T, class Reader>
Message ReadAs(Reader in) {
  T out;
  Read(in, out);
  return out;
}

Message ReadEnvelope(wire::Envelope::Reader in) {
  switch (in.which()) {
    case wire::Envelope::CONFIG_UPDATE:
      return ReadAs<ConfigUpdate>(in.getConfigUpdate());
    case wire::Envelope::ENTRY_HELLO:
      return ReadAs<EntryHello>(in.getEntryHello());
    case wire::Envelope::ENTRY_HEARTBEAT:
      return ReadAs<EntryHeartbeat>(in.getEntryHeartbeat());
    case wire::Envelope::START_REQUEST:
      return ReadAs<StartRequest>(in.getStartRequest());
    case wire::Envelope::RESOLVE_REQUEST:
      return ReadAs<ResolveRequest>(in.getResolveRequest());
    case wire::Envelope::PROPOSE_JOB:
      return ReadAs<ProposeJob>(in.getProposeJob());
    case wire::Envelope::STOP_JOB:
      return ReadAs<StopJob>(in.getStopJob());
    case wire::Envelope::JOB_UPDATE_ACK:
      return ReadAs<JobUpdateAck>(in.getJobUpdateAck());
    case wire::Envelope::AGENT_HELLO:
      return ReadAs<AgentHello>(in.getAgentHello());
    case wire::Envelope::AGENT_REPORT:
      return ReadAs<AgentReport>(in.getAgentReport());
    case wire::Envelope::JOB_UPDATE:
      return ReadAs<JobUpdate>(in.getJobUpdate());
    case wire::Envelope::REQUEST_OUTCOME:
      return ReadAs<RequestOutcome>(in.getRequestOutcome());
    case wire::Envelope::PEER_HELLO:
      return ReadAs<PeerHello>(in.getPeerHello());
    case wire::Envelope::RESERVE:
      return ReadAs<Reserve>(in.getReserve());
    case wire::Envelope::MEMBER_STATUS:
      return ReadAs<MemberStatus>(in.getMemberStatus());
    case wire::Envelope::RENEW:
      return ReadAs<Renew>(in.getRenew());
    case wire::Envelope::RELEASE:
      return ReadAs<Release>(in.getRelease());
  }
  throw DecodeFailure{CodecError::kUnknownMessage};
}

}  // namespace

const std::error_category& CodecCategory() {
  static const CodecCategoryImpl category;
  return category;
}

std::error_code make_error_code(CodecError error) {  // NOLINT(*-naming)
  return {static_cast<int>(error), CodecCategory()};
}

std::string Encode(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::Envelope>();
  std::visit([&root](const auto& it) { Put(it, root); }, message);
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asChars();
  return {bytes.begin(), bytes.size()};
}

DecodeResult<Message> Decode(std::string_view bytes) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
    return CodecError::kMalformed;
  }
  // The reader needs alignment, which a frame buffer does not have.
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      std::max(kTraversalFloorWords, words.size() * kTraversalFactor);
  options.nestingLimit = kNestingLimit;
  try {
    capnp::FlatArrayMessageReader reader(words, options);
    return ReadEnvelope(reader.getRoot<wire::Envelope>());
  } catch (const DecodeFailure& failure) {
    return failure.error;
  } catch (const kj::Exception&) {
    return CodecError::kMalformed;
  }
}

}  // namespace shallotlug
