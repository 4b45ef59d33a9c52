#include "burn.h"

#include <utility>

#include "shallotlug/decision/plan.h"

#include "job_table.h"
#include "peers.h"
#include "replies.h"

namespace shallotlug::entry {
namespace {

api::GuaranteeState ToApi(decision::GuaranteeStanding standing) {
  switch (standing) {
    case decision::GuaranteeStanding::kNone:
      return api::GuaranteeState::kNone;
    case decision::GuaranteeStanding::kHeld:
      return api::GuaranteeState::kHeld;
    case decision::GuaranteeStanding::kLent:
      return api::GuaranteeState::kLent;
    case decision::GuaranteeStanding::kReclaiming:
      return api::GuaranteeState::kReclaiming;
    case decision::GuaranteeStanding::kShort:
      break;
  }
  return api::GuaranteeState::kShort;
}

void AddWindows(const State& state,
                const ClassTarget& target,
                api::BurnRow& row) {
  const auto it = state.burn.find({target.name, target.customer});
  if (it == state.burn.end()) {
    return;
  }
  row.five_minutes = it->second.five_minutes.Sum(state.now);
  row.one_hour = it->second.one_hour.Sum(state.now);
  row.six_hours = it->second.six_hours.Sum(state.now);
}

}  // namespace

void RecordBurn(State& state,
                const ClassName& name,
                const CustomerName& customer,
                bool met) {
  BurnCounts& counts = state.burn[{name, customer}];
  counts.five_minutes.Add(state.now, met);
  counts.one_hour.Add(state.now, met);
  counts.six_hours.Add(state.now, met);
}

void RecordJobBurn(State& state,
                   const JobId& job,
                   const PendingRecord& pending) {
  const auto* end = std::get_if<stream::JobAttemptEnded>(&pending.record);
  const stream::JobRow* row = stream::FindJob(state.jobs.fold, job);
  const JobTrack* track = FindTrack(state, job);
  if (end == nullptr || row == nullptr || track == nullptr ||
      !stream::IsFinal(row->standing) ||
      row->standing == stream::JobStanding::kCancelled) {
    return;
  }
  const VersionedTarget* target =
      stream::FindTarget(stream::Current(state.config), row->spec.job_class);
  const bool met = row->standing == stream::JobStanding::kFinished &&
                   target != nullptr &&
                   state.now - track->submitted <= target->target.finish_within;
  RecordBurn(state, row->spec.job_class, row->spec.customer, met);
}

void OnBurn(State& state, CallId call) {
  const Targets& targets = stream::Current(state.config);
  api::BurnReply reply;
  reply.entry = state.options.self.name.value;
  reply.entries = OperatorAddresses(state);
  for (const VersionedTarget& it : targets.entries) {
    if (it.removed) {
      continue;
    }
    api::BurnRow row;
    row.name = it.target.name;
    row.customer = it.target.customer;
    row.finish_within = it.target.finish_within;
    row.objective = it.target.objective;
    AddWindows(state, it.target, row);
    reply.rows.push_back(std::move(row));
  }
  for (const decision::GuaranteeStatus& it :
       decision::GuaranteeStates(state.jobs.cluster, targets)) {
    for (api::BurnRow& row : reply.rows) {
      if (row.name == it.name && row.customer == it.customer) {
        row.guarantee = ToApi(it.standing);
      }
    }
  }
  Reply(state, call, std::move(reply));
}

}  // namespace shallotlug::entry
