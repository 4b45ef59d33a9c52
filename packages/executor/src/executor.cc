#include "shallotlug/executor/executor.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "impl.h"

namespace shallotlug::executor {

namespace {

// A start order that arrives later has expired, as no lease is as long.
constexpr Millis kLateOrderLimit{60'000};

}  // namespace

using protocol::RefusalReason;
using protocol::StartOrder;
using protocol::WorkerState;
using workload::RunRef;

Executor::Executor(const ExecutorOptions& options)
    : impl_(std::make_unique<Impl>()) {
  impl_->options = options;
}
Executor::Executor(Executor&&) noexcept = default;
Executor& Executor::operator=(Executor&&) noexcept = default;
Executor::~Executor() = default;

void Executor::Impl::Log(std::string event,
                         const RunRef& run,
                         std::vector<Label> fields) {
  std::vector<Label> all{{"job", run.task.job.value},
                         {"task", workload::ToString(run.task)},
                         {"run", std::to_string(run.run)},
                         {"epoch", std::to_string(epoch)}};
  all.insert(all.end(), std::make_move_iterator(fields.begin()),
             std::make_move_iterator(fields.end()));
  log.push_back({LogLevel::kInfo, std::move(event), std::move(all)});
}

std::optional<TimePoint> Executor::Impl::LeaseEnd(
    const protocol::SyncRequest& request) {
  if (request.lease <= Millis{0}) {
    return std::nullopt;
  }
  if (request.lease_from.incarnation != options.incarnation) {
    log.push_back({LogLevel::kInfo,
                   "lease_of_other_incarnation",
                   {{"entry", request.entry.value},
                    {"epoch", std::to_string(request.epoch)},
                    {"starts", std::to_string(request.starts.size())}}});
    return std::nullopt;
  }
  return AsLocalTime(request.lease_from.at) + request.lease;
}

bool Executor::OnSync(const protocol::SyncRequest& request, TimePoint now) {
  Impl& it = *impl_;
  if (request.epoch < it.epoch) {
    return false;
  }
  if (request.epoch > it.epoch) {
    it.log.push_back({LogLevel::kInfo,
                      "scheduler_changed",
                      {{"entry", request.entry.value},
                       {"epoch", std::to_string(request.epoch)},
                       {"former_epoch", std::to_string(it.epoch)}}});
    it.epoch = request.epoch;
    it.immediate_look = it.next_look;
  }
  const std::optional<TimePoint> lease_end = it.LeaseEnd(request);
  if (lease_end) {
    it.lease_until = std::max(it.lease_until, *lease_end);
  }
  std::erase_if(it.settled_refusals, [&](const auto& settled) {
    return settled.second.until <= now;
  });
  for (const RunRef& ref : request.settled) {
    if (const auto refusal = it.refusals.extract(ref)) {
      it.settled_refusals[ref] = {refusal.mapped(), now + kLateOrderLimit};
    }
    it.crashes.erase(ref);
    std::erase_if(it.former_ends,
                  [&](const workload::RunEnd& end) { return end.run == ref; });
  }
  // A new life may have answered before its first heartbeat.
  const bool same_life = it.facts && request.worker == it.facts->life &&
                         it.reported_born == it.facts->life.born;
  if (same_life && request.noted_ends > it.noted_ends) {
    it.noted_ends = request.noted_ends;
    std::erase_if(it.ends, [&](const workload::RunEnd& end) {
      return end.number <= it.noted_ends;
    });
    it.immediate_look = it.next_look;
  }
  if (same_life && request.speed.weight > 0) {
    it.speed = request.speed;
  }
  // The scheduler considers a run ended when the lease of its order has
  // expired; a request may have been delayed for longer than that.
  const bool orders_valid = lease_end && now < *lease_end;
  for (const StartOrder& order : request.starts) {
    if (orders_valid) {
      it.AcceptStart(order, request.worker, now);
    } else {
      it.Log("start_order_expired", order.run,
             {{"entry", request.entry.value}});
    }
  }
  for (const RunRef& ref : request.stops) {
    it.BeginStop(ref, RefusalReason::kStopped, now);
  }
  return true;
}

protocol::SyncReply Executor::MakeReply(bool accepted, TimePoint now) const {
  const Impl& it = *impl_;
  protocol::SyncReply reply;
  reply.agent = it.options.agent;
  reply.incarnation = it.options.incarnation;
  reply.clock = AsPeerTime(now);
  reply.epoch = it.epoch;
  reply.accepted = accepted;
  reply.version = it.version;
  if (it.facts) {
    reply.worker = *it.facts;
  }
  if (it.departed) {
    reply.worker_state = WorkerState::kGone;
  } else if (!it.facts || !it.lists_read) {
    reply.worker_state = WorkerState::kUnknown;
  } else {
    reply.worker_state =
        it.silent ? WorkerState::kSilent : WorkerState::kPresent;
  }
  for (const auto& [ref, run] : it.runs) {
    reply.runs.push_back(
        {run.active, run.phase,
         run.started_at ? AsPeerTime(*run.started_at) : PeerTime{}});
  }
  reply.ends = it.ends;
  reply.more_ends = it.more_ends;
  reply.former_ends = it.former_ends;
  for (const auto& [ref, reason] : it.refusals) {
    reply.refusals.push_back({ref, reason});
  }
  for (const auto& [ref, crash] : it.crashes) {
    reply.crashes.push_back(crash);
  }
  reply.read_at = AsPeerTime(it.read_at);
  reply.speed = it.speed;
  return reply;
}

std::uint64_t Executor::Version() const {
  return impl_->version;
}

bool Executor::IsKnown(const protocol::SyncRequest& request) const {
  return request.lease_from.incarnation == impl_->options.incarnation &&
         request.known_version == impl_->version;
}

std::vector<LogLine> Executor::TakeLog() {
  return std::exchange(impl_->log, {});
}

}  // namespace shallotlug::executor
