#include "shallotlug/service/job_entry.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "clocks.h"
#include "follow_loop.h"
#include "job_api.h"
#include "listener.h"
#include "peer_relay.h"
#include "record_queue.h"
#include "scheduler_host.h"
#include "shallotlug/base/logging.h"
#include "shallotlug/joblog/registration.h"
#include "shallotlug/net/http_server.h"
#include "shallotlug/net/role_loop.h"
#include "shallotlug/platform/configuration.h"
#include "store_limits.h"

namespace shallotlug::service {

using net::ExchangeId;
using net::HttpRequest;
using net::HttpResponse;
using net::HttpServer;

namespace {

// The entry reports not ready, and forwards requests, once its last complete
// read of the log is older than this: other entries serve callers better then.
constexpr Millis kMaxReadyLogAge{1'500};
// Long-poll times of the reads. A dead connection is detected after this plus
// the client's timeout, well before configuration changes must be in force.
constexpr Millis kJobsWait{300};
constexpr Millis kConfigurationWait{500};
constexpr double kMillisPerCore = 1'000.0;
// Interval of reads of the job log. Each record wakes every entry, so that
// without an interval each append costs a read for each entry. The scheduler
// acts on records, others only show them to callers.
constexpr Millis kSchedulerReadInterval{15};
constexpr Millis kFollowerReadInterval{250};
// Time limit for answering open calls during a shutdown.
constexpr Millis kShutdownTimeout{3'500};
constexpr Millis kShutdownPoll{20};
// Keys of malformed records that are logged, each once.
constexpr std::size_t kMaxLoggedKeys = 100;

// Other entries hand over single requests; the balancer probes once a second.
constexpr std::size_t kPeerConnections = 256;
constexpr std::size_t kReadinessConnections = 64;

// The other half of the descriptors is for the agents, the store, the other
// listeners and files.
std::size_t MaxCallerConnections() {
  return std::max<std::size_t>(DescriptorLimit() / 2, 1);
}

HttpResponse ReadinessResponse(bool ready) {
  HttpResponse response;
  response.status = ready ? 200 : 503;
  response.content_type = "text/plain";
  response.body = ready ? "ready\n" : "not ready\n";
  return response;
}

class JobEntry {
 public:
  explicit JobEntry(const settings::JobEntrySettings& settings)
      : settings_(settings),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        shutdown_timer_(context_),
        registration_timer_(context_),
        records_(context_, settings.store, LimitsOf(settings.store_limits)),
        host_(context_, settings_, ledger_, policy_, histograms_),
        job_log_(
            context_,
            FollowOptions{settings.store, platform::kJobTopic, kJobsWait},
            [this](const joblog::StoredRecord& it) { OnJobRecord(it); },
            [this] { OnJobPage(); }),
        configuration_log_(
            context_,
            FollowOptions{settings.store, platform::kOperatorTopic,
                          kConfigurationWait},
            [this](const joblog::StoredRecord& it) { OnOperatorRecord(it); },
            [this] { OnOperatorPage(); }),
        peers_(context_, EntryName(settings.name), ledger_, policy_),
        api_({ledger_, policy_, records_, counters_, histograms_, peers_,
              [this] { return LogCaughtUpAt(); },
              [this](std::function<void()> handler) {
                job_log_.Refresh(std::move(handler));
              },
              [this](std::function<void(bool)> handler) {
                job_log_.ReadToEnd(std::move(handler));
              },
              [this] { return StoreAvailable(); },
              [this] { return job_log_.UnavailableFor(net::ReadClock()); }}) {}

  int Run() {
    if (!OpenServer(caller_server_, settings_.callers_listen,
                    MaxCallerConnections(),
                    [this](ExchangeId id, const HttpRequest& request) {
                      api_.Handle(request, [this, id](HttpResponse response) {
                        caller_server_->Reply(id, std::move(response));
                      });
                    }) ||
        !OpenServer(peer_server_, settings_.peers_listen, kPeerConnections,
                    [this](ExchangeId id, const HttpRequest& request) {
                      api_.HandleForPeer(
                          request, [this, id](HttpResponse response) {
                            peer_server_->Reply(id, std::move(response));
                          });
                    }) ||
        !OpenServer(readiness_server_, settings_.readiness_listen,
                    kReadinessConnections,
                    [this](ExchangeId id, const HttpRequest&) {
                      readiness_server_->Reply(id, ReadinessResponse(Ready()));
                    }) ||
        !OpenMetrics(
            context_, settings_.metrics_listen,
            {[this] { return MetricsText(); }, [this] { return Ready(); }},
            memory_, metrics_)) {
      return 1;
    }
    WriteLog({LogLevel::kInfo,
              "entry_started",
              {{"name", settings_.name}, {"store", settings_.store}}});
    WaitForSignal();
    job_log_.Start();
    configuration_log_.Start();
    Register();
    context_.run();
    WriteLog({LogLevel::kInfo, "entry_stopped", {{"name", settings_.name}}});
    return 0;
  }

 private:
  bool OpenServer(std::optional<HttpServer>& server,
                  const std::string& address,
                  std::size_t connections,
                  std::function<void(ExchangeId, const HttpRequest&)> handler) {
    net::HttpServerOptions options = OptionsOf(settings_.http, memory_);
    options.address = address;
    options.connections = std::min(options.connections, connections);
    return OpenListener(context_, options, counters_, std::move(handler),
                        server);
  }

  // Keeps this entry's peer address registered and removes expired
  // registrations of other entries.
  void Register() {
    const scheduler::Now now = ReadBothClocks();
    const Millis until_next = joblog::RegistrationCheckDelay(net::DrawNumber());
    const TimePoint deadline = now.local + until_next;
    const workload::EntryAddress own{
        EntryName(settings_.name), settings_.peers_listen, now.wall,
        static_cast<std::int64_t>(settings_.processor_cores * kMillisPerCore)};
    if (joblog::RegistrationIsDue(ledger_, own)) {
      records_.Append(workload::Encode(own), deadline, [](Stored it) {
        if (it != Stored::kYes) {
          WriteLog({LogLevel::kWarning,
                    "address_not_stated",
                    {{"outcome", Name(it)}}});
        }
      });
    }
    for (const auto& [name, entry] : ledger_.entries) {
      if (now.wall - entry.stated_at > joblog::kRegistrationLifetime) {
        WriteLog({LogLevel::kInfo, "entry_forgotten", {{"name", name.value}}});
        records_.Append(workload::DropEntry(name), deadline, [](Stored) {});
      }
    }
    registration_timer_.expires_after(until_next);
    registration_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        Register();
      }
    });
  }

  std::string MetricsText() {
    SetGauge("shallotlug_scheduler_epoch",
             static_cast<std::int64_t>(host_.Epoch()));
    SetGauge("shallotlug_policy_version", policy_.version);
    SetGauge("shallotlug_jobs_known",
             static_cast<std::int64_t>(ledger_.jobs.size()));
    SetGauge("shallotlug_unknown_jobs_cancelled",
             static_cast<std::int64_t>(ledger_.early_cancels.size()));
    const scheduler::Scheduler::Reach reach = host_.AgentsHeard();
    SetGauge("shallotlug_scheduler_agents", reach.known, {{"state", "known"}});
    SetGauge("shallotlug_scheduler_agents", reach.heard, {{"state", "heard"}});
    const scheduler::Scheduler::SpeedCounts speeds = host_.CountSpeeds();
    const auto set_workers = [&](const char* speed, int count) {
      SetGauge("shallotlug_scheduler_workers", count, {{"speed", speed}});
    };
    set_workers("unknown", speeds.unknown);
    set_workers("faster", speeds.faster);
    set_workers("usual", speeds.usual);
    set_workers("slower", speeds.slower);
    return counters_.ToPrometheusText() + histograms_.ToPrometheusText();
  }

  void SetGauge(std::string_view name,
                std::int64_t value,
                const std::vector<Label>& labels = {}) {
    counters_.Set(counters_.Define(name, labels, CounterKind::kGauge), value);
  }

  std::optional<TimePoint> LogCaughtUpAt() const {
    if (!job_log_.GetFollower().Loaded()) {
      return std::nullopt;
    }
    return job_log_.GetFollower().CurrentAt();
  }

  bool Ready() const {
    const auto at = LogCaughtUpAt();
    return !shutting_down_ && policy_.version > 0 && at &&
           net::ReadClock() - *at <= kMaxReadyLogAge;
  }

  bool StoreAvailable() const {
    const auto at = LogCaughtUpAt();
    return !job_log_.StoreUnavailable() &&
           !configuration_log_.StoreUnavailable() && at &&
           net::ReadClock() - *at <= kMaxReadyLogAge;
  }

  void OnJobRecord(const joblog::StoredRecord& stored) {
    const auto applied =
        Apply(ledger_, stored.record.key, stored.record.value, stored.offset);
    if (applied == workload::Applied::kMalformed) {
      counters_.AddTo("shallotlug_log_records_skipped_total");
      if (skipped_keys_.size() < kMaxLoggedKeys &&
          skipped_keys_.insert(stored.record.key).second) {
        WriteLog({LogLevel::kWarning,
                  "record_skipped",
                  {{"key", stored.record.key},
                   {"offset", std::to_string(stored.offset)},
                   {"reason", "malformed, or a number is out of range"}}});
      }
      return;
    }
    if (applied == workload::Applied::kYes) {
      records_.OnRecordRead(stored.record.key);
    }
    host_.OnRecord(stored);
  }

  void OnJobPage() {
    host_.OnPage(job_log_.GetFollower());
    job_log_.SetInterval(host_.Epoch() != 0 ? kSchedulerReadInterval
                                            : kFollowerReadInterval);
  }

  void SetEvacuated(const std::string& data_centre, bool evacuated) {
    outdated_evacuations_.erase(data_centre);
    std::set<std::string>& all = policy_.evacuated_data_centres;
    if (all.contains(data_centre) == evacuated) {
      return;
    }
    if (evacuated) {
      all.insert(data_centre);
    } else {
      all.erase(data_centre);
    }
    WriteLog({LogLevel::kInfo,
              evacuated ? "data_centre_evacuated" : "data_centre_taken_back",
              {{"data_centre", data_centre}}});
    host_.ScheduleStep();
  }

  // After the topic's history was dropped, only the newest records are read:
  // what was taken back meanwhile is not among them.
  void OnOperatorPage() {
    const joblog::Follower& follower = configuration_log_.GetFollower();
    if (follower.Restarts() != operator_restarts_) {
      operator_restarts_ = follower.Restarts();
      outdated_evacuations_ = policy_.evacuated_data_centres;
    } else if (follower.Next().kind == joblog::FollowCall::Kind::kRead) {
      for (const std::string& it : std::exchange(outdated_evacuations_, {})) {
        SetEvacuated(it, false);
      }
    }
  }

  void OnOperatorRecord(const joblog::StoredRecord& stored) {
    if (const auto evacuated =
            platform::EvacuatedDataCentre(stored.record.key)) {
      SetEvacuated(*evacuated, !stored.record.value.empty());
      return;
    }
    if (stored.record.key != platform::kConfigurationKey) {
      return;
    }
    auto policy = platform::DecodeConfiguration(stored.record.value);
    if (!policy) {
      WriteLog({LogLevel::kWarning, "configuration_malformed", {}});
      return;
    }
    if (policy->version <= policy_.version) {
      return;
    }
    WriteLog({LogLevel::kInfo,
              "configuration_in_force",
              {{"version", std::to_string(policy->version)},
               {"former", std::to_string(policy_.version)},
               {"queues", std::to_string(policy->queues.size())}}});
    policy->evacuated_data_centres = std::move(policy_.evacuated_data_centres);
    policy_ = std::move(*policy);
    host_.ScheduleStep();
  }

  void WaitForSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& ec, int number) {
          if (ec) {
            return;
          }
          if (number == SIGHUP) {
            WriteLog({LogLevel::kInfo, "reload_requested", {}});
          } else {
            BeginShutdown(number);
          }
          WaitForSignal();
        });
  }

  void BeginShutdown(int number) {
    if (std::exchange(shutting_down_, true)) {
      context_.stop();
      return;
    }
    WriteLog({LogLevel::kInfo,
              "shutdown_requested",
              {{"signal", std::to_string(number)}}});
    shutdown_deadline_ = net::ReadClock() + kShutdownTimeout;
    caller_server_->Drain();
    host_.Retire();
    PollShutdown();
  }

  void PollShutdown() {
    if ((host_.Retired() && caller_server_->Connections() == 0) ||
        net::ReadClock() >= shutdown_deadline_) {
      context_.stop();
      return;
    }
    shutdown_timer_.expires_after(kShutdownPoll);
    shutdown_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        PollShutdown();
      }
    });
  }

  const settings::JobEntrySettings& settings_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer shutdown_timer_;
  boost::asio::steady_timer registration_timer_;
  CounterTable counters_;
  std::shared_ptr<net::RequestMemory> memory_ =
      std::make_shared<net::RequestMemory>(settings_.http.memory_bytes);
  HistogramTable histograms_;
  workload::Ledger ledger_;
  workload::Policy policy_;
  std::uint64_t operator_restarts_ = 0;  ///< Of the operator topic's follower.
  std::set<std::string> skipped_keys_;   ///< Of malformed job records.
  /// Evacuations that were not read again since the last restart.
  std::set<std::string> outdated_evacuations_;
  RecordQueue records_;
  SchedulerHost host_;
  FollowLoop job_log_;
  FollowLoop configuration_log_;
  PeerRelay peers_;
  JobApi api_;
  std::optional<HttpServer> caller_server_;
  std::optional<HttpServer> peer_server_;
  std::optional<HttpServer> readiness_server_;
  net::MetricsServer metrics_;
  bool shutting_down_ = false;
  TimePoint shutdown_deadline_{};
};

}  // namespace

int RunJobEntry(const settings::JobEntrySettings& settings) {
  net::SetUpLogging(settings.log, settings.name);
  JobEntry entry(settings);
  const int status = entry.Run();
  FlushLogging();
  return status;
}

}  // namespace shallotlug::service
