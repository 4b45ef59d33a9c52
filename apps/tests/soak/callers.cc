#include "callers.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/json.hpp>

#include "shallotlug/net/role_loop.h"

namespace shallotlug::soak {

namespace json = boost::json;
using net::FetchError;
using net::FetchResult;
using net::ReadClock;

namespace {

constexpr Millis kCallTimeout{3'000};
constexpr Millis kRetry{400};
constexpr Millis kAskInterval{300};
constexpr int kMaxAttempts = 8;
constexpr int kUsualWork = 2'000;
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
                 Millis longest_work)
    : context_(context),
      oracle_(oracle),
      fleet_(fleet),
      random_(random),
      entries_(std::move(entries)),
      longest_work_(longest_work) {}

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
  // Some tasks outlast the leases of an agent that stands still.
  const auto longest = static_cast<int>(longest_work_.count());
  const int work = RandomInt(0, 9) == 0
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
  caller->cancels = RandomInt(0, 9) == 0;
  caller->next_call = now;
  caller->entry =
      static_cast<std::size_t>(RandomInt(0, 1'000)) % entries_.size();
  caller->client = std::make_unique<net::HttpClient>(context_);
  oracle_.OnSent(job);
  callers_.push_back(std::move(caller));
}

void Callers::Send(const CallerPtr& caller,
                   const char* method,
                   std::string body,
                   std::function<void(const FetchResult&)> done) {
  net::HttpFetchOptions fetch;
  fetch.address = entries_[caller->entry % entries_.size()];
  fetch.method = method;
  fetch.target = "/" + caller->job.queue + "/" + caller->job.id.value;
  fetch.headers = {{"Host", "jobs.example"}};
  fetch.body = std::move(body);
  fetch.timeout = kCallTimeout;
  caller->client->Send(fetch, net::ConnectionUse::kReuseAndRepeat,
                       [caller, done = std::move(done)](const FetchResult& it) {
                         if (!it || it.value().status >= 500) {
                           ++caller->entry;  // Retries reach other entries.
                         }
                         done(it);
                       });
}

void Callers::Submit(const CallerPtr& caller) {
  ++caller->attempts;
  Send(caller, "POST", EncodeJob(caller->job),
       [this, caller](const FetchResult& it) {
         const TimePoint now = ReadClock();
         caller->next_call = now + kRetry;
         if (it && it.value().status == 200) {
           caller->accepted = true;
           caller->accepted_at = now;
           oracle_.OnAccepted(caller->job);
         } else if (it ? it.value().status != 503
                       : it.error() != FetchError::kNeverSent) {
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

void Callers::Ask(const CallerPtr& caller) {
  const TimePoint asked = ReadClock();
  Send(caller, "GET", "", [this, caller, asked](const FetchResult& it) {
    const TimePoint now = ReadClock();
    caller->next_call = now + kAskInterval;
    if (!it) {
      return;
    }
    if (it.value().status == 410 &&
        asked - caller->accepted_at > kVisibleAfter) {
      findings_.push_back("LOST: accepted job " + caller->job.id.value +
                          " is unknown to an entry");
    }
    if (it.value().status == 200) {
      caller->state = std::string(
          json::parse(it.value().body).as_object().at("state").as_string());
      oracle_.OnShown(caller->job.id, caller->state, now);
    }
  });
}

void Callers::Cancel(const CallerPtr& caller) {
  Send(caller, "DELETE", "", [this, caller](const FetchResult& it) {
    caller->next_call = ReadClock() + kRetry;
    if (it && it.value().status == 200) {
      caller->cancel_confirmed = true;
      oracle_.OnCancelled(caller->job.id, ReadClock());
    }
  });
}

void Callers::Tick(TimePoint now) {
  if (submitting_ && now >= next_job_) {
    next_job_ = now + Millis(RandomInt(50, 500));
    Add(now);
  }
  for (const CallerPtr& it : callers_) {
    if (it->client->Busy() || now < it->next_call || it->refused ||
        IsFinal(it->state)) {
      continue;
    }
    if (!it->accepted) {
      Submit(it);
    } else if (it->cancels && !it->cancel_confirmed) {
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
