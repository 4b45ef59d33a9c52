#include "shallotlug/service/job_entry.h"

#include <csignal>
#include <memory>
#include <optional>

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
#include "shallotlug/net/http_server.h"
#include "shallotlug/net/role_loop.h"
#include "shallotlug/platform/configuration.h"

namespace shallotlug::service {

using net::ExchangeId;
using net::HttpRequest;
using net::HttpResponse;
using net::HttpServer;

namespace {

// Without the store for this long callers are better served elsewhere.
constexpr Millis kReadyAge{1'500};
// One read waits so long for news. A connection that went silent is found after
// this and the client's timeout, well before changes must be in force.
constexpr Millis kJobsWait{300};
constexpr Millis kConfigurationWait{500};
// Entries state their address this often, and are forgotten after the lifetime.
constexpr Millis kStatementInterval{30'000};
constexpr Millis kStatementLifetime{600'000};
// Open calls are answered within this time of a shutdown.
constexpr Millis kShutdownTimeout{3'500};
constexpr Millis kShutdownPoll{20};

HttpResponse Probe(bool ready) {
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
        statement_timer_(context_),
        records_(context_, settings.store),
        host_(context_, settings_, ledger_, policy_, histograms_),
        jobs_(
            context_,
            FollowOptions{settings.store, platform::kJobTopic, kJobsWait},
            [this](const joblog::StoredRecord& it) { OnJobRecord(it); },
            [this] { host_.OnPage(jobs_.State()); }),
        configuration_(
            context_,
            FollowOptions{settings.store, platform::kOperatorTopic,
                          kConfigurationWait},
            [this](const joblog::StoredRecord& it) { OnOperatorRecord(it); },
            [] {}),
        peers_(context_, EntryName(settings.name), ledger_, policy_),
        api_({ledger_, policy_, records_, counters_, histograms_, peers_,
              [this] { return LogCurrentAt(); },
              [this] { return StoreAnswers(); }}) {}

  int Run() {
    if (!Open(callers_, settings_.callers_listen,
              [this](ExchangeId id, const HttpRequest& request) {
                api_.Handle(request, [this, id](HttpResponse response) {
                  callers_->Reply(id, std::move(response));
                });
              }) ||
        !Open(for_peers_, settings_.peers_listen,
              [this](ExchangeId id, const HttpRequest& request) {
                api_.HandleForPeer(request, [this, id](HttpResponse response) {
                  for_peers_->Reply(id, std::move(response));
                });
              }) ||
        !Open(readiness_, settings_.readiness_listen,
              [this](ExchangeId id, const HttpRequest&) {
                readiness_->Reply(id, Probe(Ready()));
              }) ||
        !OpenMetrics(
            context_, settings_.metrics_listen,
            {[this] { return MetricsText(); }, [this] { return Ready(); }},
            metrics_)) {
      return 1;
    }
    WriteLog({LogLevel::kInfo,
              "entry_started",
              {{"name", settings_.name}, {"store", settings_.store}}});
    WaitForSignal();
    jobs_.Start();
    configuration_.Start();
    Register();
    context_.run();
    WriteLog({LogLevel::kInfo, "entry_stopped", {{"name", settings_.name}}});
    return 0;
  }

 private:
  bool Open(std::optional<HttpServer>& server,
            const std::string& address,
            std::function<void(ExchangeId, const HttpRequest&)> handler) {
    net::HttpServerOptions options;
    options.address = address;
    options.body_bytes = settings_.http.body_bytes;
    options.connections = settings_.http.connections;
    options.read_timeout = settings_.http.read_timeout;
    options.idle_timeout = settings_.http.idle_timeout;
    return OpenListener(context_, options, counters_, std::move(handler),
                        server);
  }

  // States where this entry listens, again and again, and drops the statements
  // of entries that have gone.
  void Register() {
    const scheduler::Now now = ReadBothClocks();
    const TimePoint deadline = now.local + kStatementInterval;
    records_.Append(
        workload::Encode(workload::EntryAddress{
            EntryName(settings_.name), settings_.peers_listen, now.wall}),
        deadline, [](Stored it) {
          if (it != Stored::kYes) {
            WriteLog({LogLevel::kWarning,
                      "address_not_stated",
                      {{"outcome", Name(it)}}});
          }
        });
    for (const auto& [name, entry] : ledger_.entries) {
      if (now.wall - entry.stated_at > kStatementLifetime) {
        WriteLog({LogLevel::kInfo, "entry_forgotten", {{"name", name.value}}});
        records_.Append(workload::DropEntry(name), deadline, [](Stored) {});
      }
    }
    statement_timer_.expires_after(kStatementInterval);
    statement_timer_.async_wait([this](const boost::system::error_code& ec) {
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
    return counters_.ToPrometheusText() + histograms_.ToPrometheusText();
  }

  void SetGauge(std::string_view name, std::int64_t value) {
    counters_.Set(counters_.Define(name, {}, CounterKind::kGauge), value);
  }

  std::optional<TimePoint> LogCurrentAt() const {
    if (!jobs_.State().Loaded()) {
      return std::nullopt;
    }
    return jobs_.State().CurrentAt();
  }

  bool Ready() const {
    const auto at = LogCurrentAt();
    return !stopping_ && policy_.version > 0 && at &&
           net::ReadClock() - *at <= kReadyAge;
  }

  bool StoreAnswers() const {
    const auto at = LogCurrentAt();
    return !jobs_.Lost() && !configuration_.Lost() && at &&
           net::ReadClock() - *at <= kReadyAge;
  }

  void OnJobRecord(const joblog::StoredRecord& stored) {
    const auto applied =
        Apply(ledger_, stored.record.key, stored.record.value, stored.offset);
    if (applied == workload::Applied::kMalformed) {
      counters_.AddTo("shallotlug_log_records_skipped_total");
      return;
    }
    if (applied == workload::Applied::kYes) {
      records_.OnSeen(stored.record.key);
    }
    host_.OnRecord(stored);
  }

  void OnOperatorRecord(const joblog::StoredRecord& stored) {
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
    policy_ = std::move(*policy);
    host_.Wake();
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
            Stop(number);
          }
          WaitForSignal();
        });
  }

  void Stop(int number) {
    if (std::exchange(stopping_, true)) {
      context_.stop();
      return;
    }
    WriteLog({LogLevel::kInfo,
              "shutdown_requested",
              {{"signal", std::to_string(number)}}});
    stop_at_ = net::ReadClock() + kShutdownTimeout;
    callers_->Drain();
    host_.Retire();
    PollShutdown();
  }

  void PollShutdown() {
    if ((host_.Retired() && callers_->Connections() == 0) ||
        net::ReadClock() >= stop_at_) {
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
  boost::asio::steady_timer statement_timer_;
  CounterTable counters_;
  HistogramTable histograms_;
  workload::Ledger ledger_;
  workload::Policy policy_;
  RecordQueue records_;
  SchedulerHost host_;
  FollowLoop jobs_;
  FollowLoop configuration_;
  PeerRelay peers_;
  JobApi api_;
  std::optional<HttpServer> callers_;
  std::optional<HttpServer> for_peers_;
  std::optional<HttpServer> readiness_;
  net::MetricsServer metrics_;
  bool stopping_ = false;
  TimePoint stop_at_{};
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
