#include "callers.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/json.hpp>

#include "shallotlug/net/role_loop.h"

namespace shallotlug::soak {

namespace json = boost::json;
using net::ReadClock;

namespace {

constexpr Millis kCallTimeout{3'000};
constexpr Millis kRetry{400};
constexpr Millis kAskInterval{300};
constexpr int kMaxAttempts = 8;
constexpr int kUsualWork = 2'000;
constexpr int kHundredPercent = 100;
// Time between two waves of cancels.
constexpr int kShortestWaveInterval = 1'500;
constexpr int kLongestWaveInterval = 6'000;
// An accepted job is known everywhere after this.
constexpr Millis kVisibleAfter{3'000};
// One task; the fleet's stand-in gives each task this much.
constexpr workload::Resources kNeed{1'000, 1'000, 1};

bool IsFinal(const std::string& state) {
  return state == "completed" || state == "failed" || state == "cancelled";
}

json::object EncodeStep(const workload::Step& it) {
  return {{"count", it.count},
          {"cpu", it.need.cpu_millis},
          {"mem_mb", it.need.memory_mib},
          {"gpu", it.need.accelerators},
          {"estimate_ms", it.estimate.count()},
          {"gang", it.gang},
          {"checkpointing", it.saves_checkpoints},
          {"depends_on", json::value_from(it.depends_on)}};
}

std::string EncodeJob(const workload::Job& job) {
  json::array steps;
  for (const workload::Step& it : job.steps) {
    steps.push_back(EncodeStep(it));
  }
  return json::serialize(
      json::object{{"spec", job.payload}, {"steps", std::move(steps)}});
}

}  // namespace

Callers::Callers(boost::asio::io_context& context,
                 jobharness::JobOracle& oracle,
                 jobharness::FakeFleet& fleet,
                 std::mt19937_64& random,
                 std::vector<std::string> entries,
                 const CallerOptions& options)
    : context_(context),
      oracle_(oracle),
      fleet_(fleet),
      random_(random),
      entries_(std::move(entries)),
      options_(options) {}

int Callers::RandomInt(int low, int high) {
  return std::uniform_int_distribution<>(low, high)(random_);
}

void Callers::Add(TimePoint now) {
  auto caller = std::make_shared<Caller>();
  workload::Job& job = caller->job;
  std::array<char, 17> id{};
  std::snprintf(id.data(), id.size(), "%016llx",
                static_cast<unsigned long long>(random_()));
  job.id = JobId(id.data());
  job.queue = RandomInt(0, 2) == 0 ? "live" : "batch";
  job.terms.max_attempts = 3;
  if (RandomInt(1, kHundredPercent) <= options_.cancel_percent) {
    caller->cancels =
        static_cast<CancelTime>(RandomInt(static_cast<int>(CancelTime::kLater),
                                          static_cast<int>(CancelTime::kWave)));
  }
  // Some tasks outlast the leases of an agent that stands still. Those of a
  // cancelled job do not end by themselves before they are judged.
  const auto longest = static_cast<int>(options_.longest_work.count());
  const int work = caller->cancels != CancelTime::kNever || RandomInt(0, 9) == 0
                       ? RandomInt(longest / 2, longest)
                       : RandomInt(100, std::min(kUsualWork, longest));
  job.payload = std::to_string(work);
  if (RandomInt(0, 9) == 0) {
    job.payload += "!1";  // Fails in its first run.
  }
  const int steps = RandomInt(1, 2);
  for (int n = 0; n < steps; ++n) {
    workload::Step step;
    step.count = RandomInt(1, 3);
    step.need = kNeed;
    step.estimate = Millis(work);
    step.gang = step.count > 1 && RandomInt(0, 2) == 0;
    step.saves_checkpoints = RandomInt(0, 1) == 0;
    if (n > 0) {
      step.depends_on = {0};
    }
    if (step.gang) {
      fleet_.AddGang(job.id, n, step.count);
    }
    job.steps.push_back(step);
  }
  caller->next_call = now;
  caller->entry =
      static_cast<std::size_t>(RandomInt(0, 1'000)) % entries_.size();
  caller->connection = std::make_unique<CallerConnection>(context_);
  caller->keeps_connection = RandomInt(0, 2) != 0;
  oracle_.OnSent(job);
  callers_.push_back(std::move(caller));
}

void Callers::Send(const CallerPtr& caller,
                   const char* method,
                   std::string body,
                   CallerConnection::Handler done) {
  CallerRequest request;
  request.address = entries_[caller->entry % entries_.size()];
  request.method = method;
  request.host = "jobs.example";
  request.target = "/" + caller->job.queue + "/" + caller->job.id.value;
  request.body = std::move(body);
  request.timeout = kCallTimeout;
  if (!caller->keeps_connection) {
    caller->connection = std::make_unique<CallerConnection>(context_);
  }
  caller->connection->Send(
      request, [caller, done = std::move(done)](const CallerOutcome& it) {
        if (it.status == 0 || it.status >= 500) {
          ++caller->entry;  // Retries reach other entries.
        }
        done(it);
      });
}

void Callers::Submit(const CallerPtr& caller) {
  ++caller->attempts;
  Send(caller, "POST", EncodeJob(caller->job),
       [this, caller](const CallerOutcome& it) {
         const TimePoint now = ReadClock();
         caller->next_call = now + kRetry;
         if (it.status == 200) {
           OnAccepted(caller, now);
         } else if (it.status != 503 && !it.not_sent) {
           caller->ambiguous = true;
         }
         if (!caller->accepted && caller->attempts >= kMaxAttempts) {
           caller->refused = true;
           ++refused_;
           if (!caller->ambiguous) {
             oracle_.OnRefused(caller->job.id);
           }
         }
       });
}

void Callers::OnAccepted(const CallerPtr& caller, TimePoint now) {
  caller->accepted = true;
  caller->accepted_at = now;
  oracle_.OnAccepted(caller->job);
  switch (caller->cancels) {
    case CancelTime::kNever:
    case CancelTime::kWave:
      return;
    case CancelTime::kLater:
      caller->cancel_due = true;
      return;
    case CancelTime::kElsewhere:
      ++caller->entry;
      [[fallthrough]];
    case CancelTime::kAtOnce:
      caller->cancel_due = true;
      caller->next_call = now;
      return;
  }
}

void Callers::Ask(const CallerPtr& caller) {
  const TimePoint asked = ReadClock();
  Send(caller, "GET", "", [this, caller, asked](const CallerOutcome& it) {
    const TimePoint now = ReadClock();
    caller->next_call = now + kAskInterval;
    if (it.status == 410 && asked - caller->accepted_at > kVisibleAfter) {
      findings_.push_back("LOST: accepted job " + caller->job.id.value +
                          " is unknown to an entry");
    }
    if (it.status == 200) {
      caller->state =
          std::string(json::parse(it.body).as_object().at("state").as_string());
      oracle_.OnShown(caller->job.id, caller->state, now);
    }
  });
}

// 410 says that there is nothing to cancel, so that the job may not run either.
void Callers::Cancel(const CallerPtr& caller) {
  Send(caller, "DELETE", "", [this, caller](const CallerOutcome& it) {
    const TimePoint now = ReadClock();
    caller->next_call = now + kRetry;
    if (it.status == 200 || it.status == 410) {
      caller->cancel_confirmed = true;
      ++cancelled_;
      oracle_.OnCancelled(caller->job.id, now);
      std::printf("cancel of %s answered %d\n", caller->job.id.value.c_str(),
                  it.status);
    }
  });
}

void Callers::StartWave(TimePoint now) {
  next_wave_ =
      now + Millis(RandomInt(kShortestWaveInterval, kLongestWaveInterval));
  for (const CallerPtr& it : callers_) {
    if (it->cancels == CancelTime::kWave && it->accepted &&
        !it->cancel_confirmed) {
      it->cancel_due = true;
      it->next_call = now;
    }
  }
}

void Callers::Tick(TimePoint now) {
  if (submitting_ && now >= next_job_) {
    const auto longest = static_cast<int>(options_.job_interval.count());
    next_job_ = now + Millis(RandomInt(longest / 10, longest));
    Add(now);
  }
  if (now >= next_wave_) {
    StartWave(now);
  }
  for (const CallerPtr& it : callers_) {
    if (it->connection->Busy() || now < it->next_call || it->refused ||
        IsFinal(it->state)) {
      continue;
    }
    if (!it->accepted) {
      Submit(it);
    } else if (it->cancel_due && !it->cancel_confirmed) {
      Cancel(it);
    } else {
      Ask(it);
    }
  }
}

bool Callers::AllFinal() const {
  return std::all_of(callers_.begin(), callers_.end(), [](const auto& it) {
    return it->refused || (it->accepted && IsFinal(it->state));
  });
}

std::vector<std::string> Callers::Findings() const {
  std::vector<std::string> findings = findings_;
  for (const CallerPtr& it : callers_) {
    if (it->accepted && !IsFinal(it->state)) {
      findings.push_back("LOST: accepted job " + it->job.id.value + " is " +
                         (it->state.empty() ? "not shown" : it->state) +
                         " at the end");
    }
  }
  return findings;
}

int Callers::Accepted() const {
  return static_cast<int>(
      std::count_if(callers_.begin(), callers_.end(),
                    [](const auto& it) { return it->accepted; }));
}

}  // namespace shallotlug::soak
