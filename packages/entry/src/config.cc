#include "config.h"

#include <algorithm>
#include <utility>

#include "shallotlug/decision/plan.h"

#include "replies.h"

namespace shallotlug::entry {
namespace {

constexpr std::size_t kMaxChangeIdLength = 128;

api::TargetChange ToApi(const stream::ConfigChange& change) {
  return {change.record.change_id,
          change.record.target,
          change.accepted ? change.version : 0,
          change.record.base_version,
          change.record.remove,
          change.accepted};
}

std::string DescribeWinner(const stream::ConfigFold& fold,
                           const stream::ConfigChange& change) {
  if (change.version == 0) {
    return "the class does not exist; set it with base_version 0";
  }
  std::string text = "the class is at version " +
                     std::to_string(change.version) + ", not " +
                     std::to_string(change.record.base_version);
  const auto it = fold.history.find(change.record.target.name);
  if (it == fold.history.end()) {
    return text;
  }
  for (const stream::ConfigChange& other : it->second) {
    if (other.accepted && other.version == change.version) {
      text += "; change " + other.record.change_id + " set finish_within to " +
              std::to_string(other.record.target.finish_within.count()) +
              " ms, guarantee " +
              std::to_string(other.record.target.guarantee.groups) + " x " +
              std::to_string(other.record.target.guarantee.accelerators);
    }
  }
  return text + "; read it again and repeat the change";
}

void AddIssue(Findings& findings, const char* path, const char* message) {
  Finding finding;
  finding.path = path;
  finding.message = message;
  findings.push_back(std::move(finding));
}

// The configuration as it would be after the change.
Targets WithTarget(const Targets& targets, const ClassTarget& target) {
  Targets changed = targets;
  std::erase_if(changed.entries, [&](const VersionedTarget& it) {
    return it.target.name == target.name;
  });
  changed.entries.push_back({target, targets.revision + 1, false});
  std::sort(changed.entries.begin(), changed.entries.end(),
            [](const VersionedTarget& a, const VersionedTarget& b) {
              return a.target.name < b.target.name;
            });
  return changed;
}

void ReplyExceedsCapacity(State& state,
                          CallId call,
                          const std::vector<std::string>& faults) {
  Count(state, "shallotlug_entry_error_replies_total", "exceeds_capacity");
  api::ErrorReply reply;
  reply.code = api::ErrorCode::kExceedsCapacity;
  reply.reason = "exceeds_capacity";
  reply.message = "all guarantees together exceed what exists";
  for (const std::string& it : faults) {
    AddIssue(reply.findings, "/guarantee", it.c_str());
  }
  Reply(state, call, std::move(reply));
}

// Another guarantee was accepted after this change was checked. Reports whether
// the change would still fit.
void ReplyGuaranteesChanged(State& state,
                            CallId call,
                            const stream::ConfigChange& change) {
  const std::vector<std::string> faults = decision::CheckGuarantees(
      state.jobs.cluster,
      WithTarget(stream::Current(state.config), change.record.target));
  if (!faults.empty()) {
    ReplyExceedsCapacity(state, call, faults);
    return;
  }
  ReplyError(state, call, api::ErrorCode::kConflict, "guarantees_changed",
             "another guarantee was accepted at the same time; repeat the "
             "change with a new change id");
}

void ReplyVerdict(State& state,
                  CallId call,
                  const stream::ConfigChange& change) {
  if (change.accepted) {
    Count(state, "shallotlug_entry_config_changes_total", "accepted");
    Reply(state, call, api::ChangeReply{ToApi(change)});
    return;
  }
  if (change.guarantees_changed) {
    ReplyGuaranteesChanged(state, call, change);
    return;
  }
  Count(state, "shallotlug_entry_config_changes_total", "lost_race");
  ReplyError(state, call, api::ErrorCode::kConflict, "version_conflict",
             DescribeWinner(state.config, change));
}

bool SameChange(const stream::TargetChangeRecord& record,
                const api::SetTargetCall& set) {
  return record.target == set.target && record.remove == set.remove &&
         record.base_version == set.base_version;
}

Findings Validate(const api::SetTargetCall& set) {
  Findings findings;
  const ClassTarget& target = set.target;
  if (set.change_id.empty() || set.change_id.size() > kMaxChangeIdLength) {
    AddIssue(findings, "/change_id", "must have 1 to 128 characters");
  }
  if (target.name.empty()) {
    AddIssue(findings, "/name", "must not be empty");
  }
  if (set.remove) {
    return findings;
  }
  if (target.customer.empty()) {
    AddIssue(findings, "/customer", "must not be empty");
  }
  if (target.finish_within <= Millis(0)) {
    AddIssue(findings, "/finish_within_ms", "must be positive");
  }
  if (!(target.objective > 0 && target.objective < 1)) {
    AddIssue(findings, "/objective", "must lie between 0 and 1");
  }
  if (target.accelerators < 0 || target.accelerators > 32) {
    AddIssue(findings, "/accelerators", "must lie between 0 and 32");
  }
  if (target.guarantee.groups < 0 || target.guarantee.accelerators < 0) {
    AddIssue(findings, "/guarantee", "must not be negative");
  }
  return findings;
}

bool RaisesGuarantee(const State& state, const api::SetTargetCall& set) {
  const Targets& targets = stream::Current(state.config);
  return !set.remove &&
         stream::RaisesGuarantee(stream::FindTarget(targets, set.target.name),
                                 set.target);
}

// Checks raised guarantees against capacity; answers and returns false when
// they do not fit. Lowering one is allowed even while workers are missing.
bool CheckGuarantee(State& state, CallId call, const api::SetTargetCall& set) {
  if (!RaisesGuarantee(state, set)) {
    return true;
  }
  if (state.now - state.started < state.options.warm_up) {
    ReplyError(state, call, api::ErrorCode::kNotAccepted, "starting",
               "the entry has not heard from all workers yet; nothing was "
               "recorded");
    return false;
  }
  const std::vector<std::string> faults = decision::CheckGuarantees(
      state.jobs.cluster,
      WithTarget(stream::Current(state.config), set.target));
  if (faults.empty()) {
    return true;
  }
  ReplyExceedsCapacity(state, call, faults);
  return false;
}

// Answers a change id that was seen before; returns whether it did.
bool AnswerKnownChange(State& state,
                       CallId call,
                       const api::SetTargetCall& set) {
  const auto it = state.config.changes.find(set.change_id);
  if (it != state.config.changes.end()) {
    if (SameChange(it->second.record, set)) {
      ReplyVerdict(state, call, it->second);
    } else {
      ReplyError(state, call, api::ErrorCode::kConflict, "change_id_reused",
                 "this change id names another change");
    }
    return true;
  }
  if (state.pending_changes.contains(set.change_id)) {
    ReplyError(state, call, api::ErrorCode::kOutcomeUnknown, "in_progress",
               "this change is being recorded; look it up by its id");
    return true;
  }
  return false;
}

}  // namespace

void OnConfigUpdate(State& state, const ConfigUpdate& update) {
  if (stream::Adopt(state.config, update)) {
    Count(state, "shallotlug_entry_config_adopted_total");
    Log(state, LogLevel::kInfo, "config_adopted_from_agent",
        {{"revision", std::to_string(update.revision)}});
  }
}

void OnSetTarget(State& state, CallId call, const api::SetTargetCall& set) {
  const Findings findings = Validate(set);
  if (!findings.empty()) {
    api::ErrorReply reply;
    reply.reason = "invalid_target";
    reply.message = "the target is not valid";
    reply.findings = findings;
    Reply(state, call, std::move(reply));
    return;
  }
  if (AnswerKnownChange(state, call, set)) {
    return;
  }
  const TimePoint give_up_at = state.now + state.options.log_timeout;
  stream::TargetChangeRecord record{
      set.change_id, set.target, set.base_version, set.remove,
      stream::GuaranteesRevision(stream::Current(state.config))};
  if (state.shutting_down) {
    ReplyError(state, call, api::ErrorCode::kNotAccepted, "shutting_down",
               "the entry is leaving; nothing was recorded");
    return;
  }
  if (!CheckGuarantee(state, call, set)) {
    return;
  }
  if (!state.config.complete || state.config_io.reader.failing ||
      !stream::Add(state.config_io.appends,
                   {{set.change_id, stream::Format(record)}, give_up_at})) {
    ReplyError(state, call, api::ErrorCode::kNotAccepted, "log_unavailable",
               "the configuration stream cannot be read; nothing was recorded");
    return;
  }
  state.pending_changes[set.change_id] = {call, set.change_id, give_up_at};
}

void OnGetTargets(State& state, CallId call, const api::GetTargetsCall& get) {
  const Targets& targets = stream::Current(state.config);
  api::TargetsReply reply;
  reply.targets.revision = targets.revision;
  for (const VersionedTarget& it : targets.entries) {
    if (!it.removed && (get.name.empty() || it.target.name == get.name)) {
      reply.targets.entries.push_back(it);
    }
  }
  if (!get.name.empty() && reply.targets.entries.empty()) {
    ReplyError(state, call, api::ErrorCode::kNotFound, "unknown_class",
               "no class " + get.name.value);
    return;
  }
  Reply(state, call, std::move(reply));
}

void OnHistory(State& state, CallId call, const api::HistoryCall& history) {
  const auto it = state.config.history.find(history.name);
  if (it == state.config.history.end()) {
    ReplyError(state, call, api::ErrorCode::kNotFound, "unknown_class",
               "no changes of class " + history.name.value + " are retained");
    return;
  }
  api::HistoryReply reply;
  for (const stream::ConfigChange& change : it->second) {
    reply.changes.push_back(ToApi(change));
  }
  Reply(state, call, std::move(reply));
}

void OnGetChange(State& state, CallId call, const api::GetChangeCall& get) {
  const auto it = state.config.changes.find(get.change_id);
  if (it == state.config.changes.end()) {
    ReplyError(state, call, api::ErrorCode::kNotFound, "unknown_change",
               "the stream holds no change " + get.change_id);
    return;
  }
  Reply(state, call, api::ChangeReply{ToApi(it->second)});
}

void AnswerPendingChanges(State& state) {
  for (auto it = state.pending_changes.begin();
       it != state.pending_changes.end();) {
    const auto change = state.config.changes.find(it->first);
    if (change != state.config.changes.end()) {
      ReplyVerdict(state, it->second.call, change->second);
      it = state.pending_changes.erase(it);
    } else if (it->second.give_up_at + state.options.log_timeout <= state.now) {
      ReplyError(state, it->second.call, api::ErrorCode::kOutcomeUnknown,
                 "log_unavailable",
                 "the change was sent to the log but not read back; look it "
                 "up by its id");
      it = state.pending_changes.erase(it);
    } else {
      ++it;
    }
  }
}

void OnChangeNotice(State& state, const stream::AppendNotice& notice) {
  const auto it = state.pending_changes.find(notice.record_id);
  if (it == state.pending_changes.end() ||
      notice.kind == stream::AppendNoticeKind::kAppended) {
    return;
  }
  const bool proven = notice.kind == stream::AppendNoticeKind::kNotAppended;
  ReplyError(
      state, it->second.call,
      proven ? api::ErrorCode::kNotAccepted : api::ErrorCode::kOutcomeUnknown,
      "log_unavailable",
      proven ? "the log service does not answer; nothing was recorded"
             : "the answer of the log service was lost; look the "
               "change up by its id");
  state.pending_changes.erase(it);
}

}  // namespace shallotlug::entry
