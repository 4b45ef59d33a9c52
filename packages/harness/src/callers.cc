// Callers and operators of the World: they make calls and keep what they were
// told.
#include <algorithm>

#include "processes.h"
#include "shallotlug/harness/world.h"

namespace shallotlug::harness {
namespace {

RequestState StateOf(api::ErrorCode code) {
  switch (code) {
    case api::ErrorCode::kNotRun:
      return RequestState::kNotRun;
    case api::ErrorCode::kFailed:
      return RequestState::kFailed;
    case api::ErrorCode::kConflict:
      return RequestState::kConflict;
    case api::ErrorCode::kOutcomeUnknown:
      return RequestState::kUnknown;
    case api::ErrorCode::kNotFound:
      return RequestState::kNotFound;
    default:
      return RequestState::kInvalid;
  }
}

SubmitState SubmitStateOf(api::ErrorCode code) {
  switch (code) {
    case api::ErrorCode::kNotAccepted:
      return SubmitState::kNotAccepted;
    case api::ErrorCode::kCanNeverRun:
      return SubmitState::kCanNeverRun;
    case api::ErrorCode::kOutcomeUnknown:
      return SubmitState::kUnknown;
    default:
      return SubmitState::kInvalid;
  }
}

ChangeState ChangeStateOf(api::ErrorCode code) {
  switch (code) {
    case api::ErrorCode::kConflict:
      return ChangeState::kConflict;
    case api::ErrorCode::kExceedsCapacity:
      return ChangeState::kExceedsCapacity;
    case api::ErrorCode::kNotAccepted:
      return ChangeState::kNotAccepted;
    case api::ErrorCode::kOutcomeUnknown:
      return ChangeState::kUnknown;
    default:
      return ChangeState::kInvalid;
  }
}

constexpr Millis kPollInterval{1000};
constexpr std::size_t kPollsPerInterval = 500;

}  // namespace

CallerRequest& World::Request(const std::string& name) {
  return requests_[name];
}
CallerJob& World::Job(const std::string& name) {
  return jobs_[name];
}
OperatorChange& World::Change(const std::string& name) {
  return changes_[name];
}
bool World::HasRequest(const std::string& name) const {
  return requests_.count(name) != 0;
}
bool World::HasJob(const std::string& name) const {
  return jobs_.count(name) != 0;
}
bool World::HasChange(const std::string& name) const {
  return changes_.count(name) != 0;
}

void World::Call(int entry,
                 CallKind kind,
                 const std::string& name,
                 Millis timeout,
                 api::Call call) {
  OpenCall open;
  open.kind = kind;
  open.name = name;
  open.entry = entry;
  open.timeout = timeout;
  open.deadline = now_ + timeout;
  if (kind == CallKind::kRequest) {
    ++requests_[name].open_calls;
  }
  Entry& to = *entries_.at(static_cast<std::size_t>(entry - 1));
  if (!to.alive) {
    CallLost(open);
    return;
  }
  const entry::CallId id{next_call_++};
  open_calls_.emplace(id, open);
  to.calls.push_back({id, std::move(call)});
}

void World::CallLost(const OpenCall& call) {
  if (call.must_answer) {
    oracle_.Report(Promise::kP7, now_,
                   call.name +
                       " was in flight at a graceful shutdown and its "
                       "connection broke");
  }
  if (call.kind == CallKind::kRequest) {
    CallerRequest& request = requests_[call.name];
    --request.open_calls;
    if (request.state == RequestState::kPending) {
      request.state = RequestState::kLost;
    }
  } else if (call.kind == CallKind::kSubmit) {
    CallerJob& job = jobs_[call.name];
    if (job.submit == SubmitState::kPending) {
      job.submit = SubmitState::kLost;
    }
  } else if (call.kind == CallKind::kPoll) {
    jobs_[call.name].poll_open = false;
  } else if (call.kind == CallKind::kChange) {
    changes_[call.name].state = ChangeState::kLost;
  }
}

void World::DeclareRequest(const CallerRequest& request) {
  requests_[request.name] = request;
  DeclaredWork work;
  work.body = request.body;
  work.repeatable = request.repeatable;
  oracle_.Declare(request.name, work);
}

void World::Mint(const std::string& name, int entry) {
  const CallerRequest& request = requests_[name];
  Call(entry, CallKind::kMint, name, Millis(0),
       api::MintCall{request.customer, request.request_class});
}

void World::Send(const std::string& name, int entry, Millis timeout) {
  CallerRequest& request = requests_[name];
  if (!request.id) {
    return;
  }
  if (request.state != RequestState::kAnswered) {
    request.state = RequestState::kPending;
  }
  api::SendCall call;
  call.id = *request.id;
  call.customer = request.customer;
  call.request_class = request.request_class;
  call.timeout = timeout;
  call.repeatable = request.repeatable;
  call.body = request.body;
  Call(entry, CallKind::kRequest, name, timeout, call);
}

void World::Ask(const std::string& name, int entry, Millis timeout) {
  CallerRequest& request = requests_[name];
  request.state = RequestState::kPending;
  api::OneShotCall call;
  call.customer = request.customer;
  call.request_class = request.request_class;
  call.timeout = timeout;
  call.repeatable = request.repeatable;
  call.body = request.body;
  Call(entry, CallKind::kRequest, name, timeout, call);
}

void World::Resolve(const std::string& name, int entry, bool cancel) {
  const CallerRequest& request = requests_[name];
  if (!request.id) {
    return;
  }
  Call(entry, CallKind::kResolve, name, Millis(0),
       api::ResolveCall{*request.id, request.customer, cancel});
}

void World::Submit(const CallerJob& job, int entry) {
  const auto [it, created] = jobs_.emplace(job.name, job);
  CallerJob& kept = it->second;
  if (created) {
    DeclaredWork work;
    work.body = kept.call.spec.body;
    work.repeatable = kept.call.spec.repeatable;
    work.job = true;
    work.tasks = kept.call.spec.shape.tasks;
    oracle_.Declare(kept.name, work);
  }
  ++kept.submissions;
  oracle_.HandedInAgain(kept.name);
  if (kept.submit != SubmitState::kAccepted) {
    kept.submit = SubmitState::kPending;
  }
  Call(entry, CallKind::kSubmit, kept.name, Millis(0), kept.call);
}

void World::CancelJobs(const api::CancelJobsCall& call, int entry) {
  Call(entry, CallKind::kOther, "cancel", Millis(0), call);
}

void World::SetTarget(const std::string& name,
                      const ClassTarget& target,
                      std::uint64_t base_version,
                      bool remove,
                      int entry) {
  OperatorChange change;
  change.target = target;
  changes_[name] = change;
  api::SetTargetCall call;
  call.change_id = name;
  call.target = target;
  call.base_version = base_version;
  call.remove = remove;
  Call(entry, CallKind::kChange, name, Millis(0), call);
}

void World::TraceReply(const OpenCall& call, const api::Reply& reply) const {
  if (const auto* error = std::get_if<api::ErrorReply>(&reply)) {
    Trace("caller", call.name + " got error " +
                        std::to_string(static_cast<int>(error->code)) + " " +
                        error->reason + " " + error->message);
  } else if (const auto* job = std::get_if<api::JobReply>(&reply)) {
    Trace("caller", call.name + " is in state " +
                        std::to_string(static_cast<int>(job->state)) + " " +
                        job->reason);
  } else {
    Trace("caller", call.name + " got reply " + std::to_string(reply.index()));
  }
}

void World::HandleReply(const OpenCall& call, const api::Reply& reply) {
  TraceReply(call, reply);
  switch (call.kind) {
    case CallKind::kMint:
      if (const auto* mint = std::get_if<api::MintReply>(&reply)) {
        CallerRequest& request = requests_[call.name];
        if (!request.id) {
          request.id = mint->id;
        }
      }
      break;
    case CallKind::kRequest:
    case CallKind::kResolve:
      HandleRequestReply(call, reply);
      break;
    case CallKind::kSubmit:
    case CallKind::kPoll:
      HandleJobReply(call, reply);
      break;
    case CallKind::kChange:
      HandleChangeReply(call, reply);
      break;
    case CallKind::kOther:
      break;
  }
}

void World::HandleRequestReply(const OpenCall& call, const api::Reply& reply) {
  CallerRequest& request = requests_[call.name];
  const auto* answer = std::get_if<api::AnswerReply>(&reply);
  const auto* error = std::get_if<api::ErrorReply>(&reply);
  if (answer == nullptr && error == nullptr) {
    oracle_.Report(Promise::kP3, now_,
                   call.name + " got a reply of another kind");
    return;
  }
  RequestState state = RequestState::kAnswered;
  if (answer != nullptr) {
    oracle_.ToldAnswer(now_, call.name, answer->body);
    if (request.id && answer->id != *request.id) {
      oracle_.Report(Promise::kP3, now_,
                     call.name + " got the answer to another id");
    }
  } else {
    state = StateOf(error->code);
    if (state == RequestState::kNotRun) {
      oracle_.ToldNotRun(now_, call.name);
    }
  }
  if (call.must_answer && state != RequestState::kAnswered &&
      state != RequestState::kFailed) {
    oracle_.Report(Promise::kP7, now_,
                   call.name + " was running at a graceful shutdown and got " +
                       (error != nullptr ? error->reason : ""));
  }
  if (call.kind == CallKind::kRequest) {
    --request.open_calls;
  }
  if (request.state != RequestState::kAnswered) {
    request.state = state;
  }
}

void World::HandleJobReply(const OpenCall& call, const api::Reply& reply) {
  CallerJob& job = jobs_[call.name];
  if (call.kind == CallKind::kPoll) {
    job.poll_open = false;
  }
  if (const auto* error = std::get_if<api::ErrorReply>(&reply)) {
    if (call.kind == CallKind::kSubmit &&
        job.submit != SubmitState::kAccepted) {
      job.submit = SubmitStateOf(error->code);
      // Of several submissions, one whose answer was lost may have counted.
      if (job.submissions == 1 && (job.submit == SubmitState::kNotAccepted ||
                                   job.submit == SubmitState::kCanNeverRun)) {
        oracle_.ToldNotRun(now_, call.name);
      }
    }
    return;
  }
  const auto* got = std::get_if<api::JobReply>(&reply);
  if (got == nullptr) {
    oracle_.Report(Promise::kP3, now_,
                   call.name + " got a reply of another kind");
    return;
  }
  if (got->spec.body != job.call.spec.body) {
    oracle_.Report(Promise::kP3, now_, call.name + " got another job's state");
  }
  if (call.kind == CallKind::kSubmit) {
    job.submit = SubmitState::kAccepted;
    job.id = got->spec.id;
  }
  job.state = got->state;
  if (got->state == api::JobState::kQueued ||
      got->state == api::JobState::kRunning) {
    return;
  }
  if (job.final_state) {
    if (*job.final_state != got->state) {
      oracle_.Report(Promise::kP3, now_,
                     call.name + " is reported with two final states");
    }
    return;
  }
  job.final_state = got->state;
  if (got->state == api::JobState::kFinished) {
    oracle_.ToldJobFinished(now_, call.name, got->result);
  }
}

void World::HandleChangeReply(const OpenCall& call, const api::Reply& reply) {
  OperatorChange& change = changes_[call.name];
  if (const auto* error = std::get_if<api::ErrorReply>(&reply)) {
    change.state = ChangeStateOf(error->code);
    change.reason = error->reason + " " + error->message;
    return;
  }
  if (const auto* got = std::get_if<api::ChangeReply>(&reply)) {
    change.state =
        got->change.accepted ? ChangeState::kAccepted : ChangeState::kConflict;
    change.version = got->change.version;
    change.accepted_at = now_;
  }
}

void World::PollJobs() {
  if (now_ < next_poll_) {
    return;
  }
  next_poll_ = now_ + kPollInterval;
  std::vector<int> usable;
  for (const auto& entry : entries_) {
    if (entry->alive && entry->frozen_until <= now_ && !entry->shutdown_due) {
      usable.push_back(entry->ref.index);
    }
  }
  if (usable.empty()) {
    return;
  }
  std::size_t polls = 0;
  for (auto& [name, job] : jobs_) {
    if (job.submit != SubmitState::kAccepted || job.final_state ||
        job.poll_open || polls >= kPollsPerInterval) {
      continue;
    }
    ++polls;
    job.poll_open = true;
    Call(usable[static_cast<std::size_t>(
             random_.Below(static_cast<int>(usable.size())))],
         CallKind::kPoll, name, Millis(0), api::GetJobCall{job.id});
  }
}

std::uint64_t World::AcceptedVersion(const ClassName& name) const {
  std::uint64_t version = 0;
  for (const auto& [id, change] : changes_) {
    if (change.state == ChangeState::kAccepted && change.target.name == name) {
      version = std::max(version, change.version);
    }
  }
  return version;
}

bool World::AllCallsReplied() const {
  return std::all_of(
      open_calls_.begin(), open_calls_.end(),
      [](const auto& it) { return it.second.kind == CallKind::kPoll; });
}

std::string World::OpenCallNames() const {
  std::string names;
  for (const auto& [id, call] : open_calls_) {
    if (call.kind != CallKind::kPoll && names.size() < 200) {
      names += (names.empty() ? "" : ", ") + call.name;
    }
  }
  return names;
}

std::vector<std::string> World::UncertainJobs() const {
  std::vector<std::string> names;
  for (const auto& [name, job] : jobs_) {
    if (job.submit == SubmitState::kUnknown ||
        job.submit == SubmitState::kLost) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> World::UnfinishedJobs() const {
  std::vector<std::string> names;
  for (const auto& [name, job] : jobs_) {
    if (job.submit == SubmitState::kAccepted && !job.final_state) {
      names.push_back(name);
    }
  }
  return names;
}

bool World::AllJobsFinal() const {
  return std::none_of(jobs_.begin(), jobs_.end(), [](const auto& it) {
    return it.second.submit == SubmitState::kAccepted && !it.second.final_state;
  });
}

}  // namespace shallotlug::harness
