#include "scheduler_host.h"

#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include "clocks.h"
#include "shallotlug/base/logging.h"
#include "store_limits.h"

namespace shallotlug::service {

namespace {

constexpr Millis kStepInterval{100};
// A step that begins this late shows that the machine is too slow, or that one
// step takes too long.
constexpr Millis kLoggedStepDelay{200};
// An agent that has not answered for longer counts as lost in the metrics.
constexpr Millis kAgentHeardWithin{2'500};
// Leases are shorter than the workers' limit to allow for clock drift.
constexpr int kLeasePercentOfMax = 75;

// Job states are kept this much longer than callers may query them.
constexpr Millis kRetentionMargin{30'000};

scheduler::SchedulerOptions OptionsFrom(
    const settings::JobEntrySettings& settings) {
  const settings::JobTiming& timing = settings.timing;
  scheduler::SchedulerOptions options;
  options.entry = EntryName(settings.name);
  options.lease = timing.longest_lease * kLeasePercentOfMax / 100;
  options.reclaim = timing.reclaim;
  options.stop_timeout = timing.stop_timeout;
  options.learn_speeds = settings.scheduling.learn_speeds;
  options.weigh_lateness = settings.scheduling.weigh_lateness;
  options.store = LimitsOf(settings.store_limits);
  options.remote_factor = settings.scheduling.remote_factor;
  options.state_retention =
      kRetentionMargin +
      Millis(static_cast<std::int64_t>(timing.state_retention_s * 1'000));
  return options;
}

}  // namespace

SchedulerHost::SchedulerHost(boost::asio::io_context& context,
                             const settings::JobEntrySettings& settings,
                             workload::Ledger& ledger,
                             const workload::Policy& policy,
                             HistogramTable& histograms)
    : context_(context),
      histograms_(histograms),
      role_(OptionsFrom(settings), ledger, policy),
      producer_(context, settings.store),
      timer_(context) {}

void SchedulerHost::OnRecord(const joblog::StoredRecord& stored) {
  role_.OnRecord(stored, ReadBothClocks());
}

void SchedulerHost::OnPage(const joblog::Follower& follower) {
  role_.OnPage(follower, ReadBothClocks());
  ScheduleStep();
}

void SchedulerHost::ScheduleStep() {
  if (step_posted_) {
    return;
  }
  step_posted_ = true;
  boost::asio::post(context_, [this] {
    step_posted_ = false;
    Step();
  });
}

void SchedulerHost::Step() {
  if (!producer_.Busy()) {
    const TimePoint planned_at = net::ReadClock();
    auto append = role_.NextAppend(net::DrawNumber(), ReadBothClocks());
    if (role_.Active() != nullptr) {
      histograms_.Observe("shallotlug_plan_seconds", {},
                          net::ReadClock() - planned_at);
    }
    if (append) {
      producer_.Append(
          platform::kJobTopic, append->records, append->options,
          [this, began = net::ReadClock()](const joblog::AppendResult& result) {
            histograms_.Observe("shallotlug_batch_append_seconds", {},
                                net::ReadClock() - began);
            role_.OnAppended(result, ReadBothClocks());
            Step();
          });
    }
  }
  net::WriteLogLines(role_.TakeLog());
  UpdateLinks();
}

void SchedulerHost::StartTimer() {
  timer_.expires_after(kStepInterval);
  timer_.async_wait([this, due = net::ReadClock() + kStepInterval](
                        const boost::system::error_code& ec) {
    if (!ec && role_.Active() != nullptr) {
      RecordStepDelay(net::ReadClock() - due);
      Step();
      StartTimer();
    }
  });
}

void SchedulerHost::RecordStepDelay(Millis delay) {
  histograms_.Observe("shallotlug_scheduler_delay_seconds", {}, delay);
  if (delay >= kLoggedStepDelay) {
    WriteLog({LogLevel::kWarning,
              "scheduler_delayed",
              {{"epoch", std::to_string(role_.Epoch())},
               {"late_ms", std::to_string(delay.count())}}});
  }
}

void SchedulerHost::UpdateLinks() {
  const std::uint64_t epoch = role_.Epoch();
  if (epoch != links_epoch_) {
    // This may run inside a link's callback, so the links are destroyed only
    // after it has returned.
    boost::asio::post(context_, [old = std::move(links_)] {});
    links_.clear();
    links_epoch_ = epoch;
    links_version_ = 0;
    if (epoch != 0) {
      StartTimer();
    }
  }
  scheduler::Scheduler* scheduler = role_.Active();
  if (scheduler == nullptr) {
    return;
  }
  if (scheduler->AgentsVersion() != links_version_) {
    links_version_ = scheduler->AgentsVersion();
    ReplaceLinks(scheduler->Agents());
  }
  for (const AgentName& it : scheduler->TakeNews(ReadBothClocks())) {
    const auto link = links_.find(it);
    if (link != links_.end()) {
      link->second->SendPending();
    }
  }
}

void SchedulerHost::ReplaceLinks(
    const std::vector<workload::AgentAddress>& agents) {
  RemoveStaleLinks(agents);
  for (const workload::AgentAddress& it : agents) {
    std::unique_ptr<AgentLink>& link = links_[it.agent];
    if (!link || link->Address() != it.address) {
      link = std::make_unique<AgentLink>(context_, it.agent, it.address, role_,
                                         [this] { ScheduleStep(); });
      link->Start();
    }
  }
}

void SchedulerHost::RemoveStaleLinks(
    const std::vector<workload::AgentAddress>& agents) {
  if (links_.size() <= agents.size()) {
    return;
  }
  std::set<AgentName> known;
  for (const workload::AgentAddress& it : agents) {
    known.insert(it.agent);
  }
  for (auto it = links_.begin(); it != links_.end();) {
    if (known.contains(it->first)) {
      ++it;
    } else {
      boost::asio::post(context_, [old = std::move(it->second)] {});
      it = links_.erase(it);
    }
  }
}

scheduler::Scheduler::SpeedCounts SchedulerHost::CountSpeeds() {
  const scheduler::Scheduler* scheduler = role_.Active();
  return scheduler == nullptr ? scheduler::Scheduler::SpeedCounts{}
                              : scheduler->CountSpeeds(ReadBothClocks());
}

scheduler::Scheduler::Reach SchedulerHost::AgentsHeard() {
  scheduler::Scheduler* scheduler = role_.Active();
  return scheduler == nullptr
             ? scheduler::Scheduler::Reach{}
             : scheduler->AgentsHeard(kAgentHeardWithin, ReadBothClocks());
}

void SchedulerHost::Retire() {
  role_.Retire();
  ScheduleStep();
}

}  // namespace shallotlug::service
