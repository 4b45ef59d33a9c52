#include "shallotlug/service/job_agent.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "agent_link.h"
#include "clocks.h"
#include "listener.h"
#include "record_queue.h"
#include "shallotlug/base/histograms.h"
#include "shallotlug/base/logging.h"
#include "shallotlug/executor/executor.h"
#include "shallotlug/joblog/registration.h"
#include "shallotlug/net/http_server.h"
#include "shallotlug/net/role_loop.h"
#include "shallotlug/platform/heartbeat.h"
#include "shallotlug/platform/worker_client.h"

namespace shallotlug::service {

using executor::OrderResult;
using executor::OrderStatus;
using executor::WorkerQuery;
using net::ExchangeId;
using net::HttpRequest;
using net::HttpResponse;
using net::HttpServer;
using net::ReadClock;
using platform::WorkerClient;

namespace {

// Limit of concurrent orders to the worker.
constexpr std::size_t kOrderClients = 12;
constexpr Millis kPollRetryDelay{250};
// The worker answers a poll at once while it lists ends that have not been
// acknowledged; the delay keeps the agent from polling in a busy loop.
constexpr Millis kUnacknowledgedEndsDelay{100};
constexpr Millis kTickInterval{100};
constexpr Millis kRegistrationDeadline{60'000};
constexpr Millis kMaxSyncWait{5'000};
constexpr std::size_t kMaxHeartbeatBytes = 64 << 10;
// Of one worker, or of the entries that schedule in turn.
constexpr std::size_t kConnections = 256;

/// @brief A long poll of the scheduler that waits for a state change.
struct PendingSync {
  ExchangeId exchange{};
  std::uint64_t known_version = 0;
  TimePoint until{};
};

class JobAgent {
 public:
  explicit JobAgent(const settings::JobAgentSettings& settings)
      : settings_(settings),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        tick_timer_(context_),
        poll_timer_(context_),
        records_(context_, settings.store, {}),
        incarnation_(net::DrawIncarnation()),
        executor_(
            {AgentName(settings.name), incarnation_, settings.longest_lease}),
        poll_client_(context_, settings.worker),
        quick_client_(context_, settings.worker) {
    for (std::size_t n = 0; n < kOrderClients; ++n) {
      order_clients_.push_back(
          std::make_unique<WorkerClient>(context_, settings.worker));
    }
  }

  int Run() {
    if (!OpenServer(heartbeat_server_, settings_.heartbeats_listen,
                    kMaxHeartbeatBytes,
                    [this](ExchangeId id, const HttpRequest& request) {
                      OnHeartbeatCall(id, request);
                    }) ||
        !OpenServer(sync_server_, settings_.scheduler_listen,
                    protocol::kMaxSyncRequestBytes,
                    [this](ExchangeId id, const HttpRequest& request) {
                      OnSyncCall(id, request);
                    }) ||
        !OpenMetrics(context_, settings_.metrics_listen,
                     {[this] {
                        return counters_.ToPrometheusText() +
                               histograms_.ToPrometheusText();
                      },
                      [] { return true; }},
                     memory_, metrics_)) {
      return 1;
    }
    WriteLog({LogLevel::kInfo,
              "agent_started",
              {{"name", settings_.name}, {"worker", settings_.worker}}});
    WaitForSignal();
    last_sync_at_ = ReadClock();
    Register();
    PollWorker();
    StartTick();
    context_.run();
    WriteLog({LogLevel::kInfo, "agent_stopped", {{"name", settings_.name}}});
    return 0;
  }

 private:
  bool OpenServer(std::optional<HttpServer>& server,
                  const std::string& address,
                  std::size_t body_bytes,
                  std::function<void(ExchangeId, const HttpRequest&)> handler) {
    net::HttpServerOptions options = OptionsOf(settings_.http, memory_);
    options.address = address;
    options.body_bytes = body_bytes;
    options.connections = std::min(options.connections, kConnections);
    return OpenListener(context_, options, counters_, std::move(handler),
                        server);
  }

  void Register() {
    registered_at_ = ReadClock();
    registration_delay_ =
        joblog::AgentRegistrationDelay(registrations_++, net::DrawNumber());
    workload::AgentAddress address;
    address.agent = AgentName(settings_.name);
    address.address = settings_.scheduler_listen;
    address.incarnation = incarnation_;
    records_.Append(
        workload::Encode(address), ReadClock() + kRegistrationDeadline,
        [this](Stored stored) {
          WriteLog({LogLevel::kInfo,
                    "agent_registered",
                    {{"name", settings_.name},
                     {"stored", stored == Stored::kYes ? "true" : "false"}}});
        });
  }

  void OnHeartbeatCall(ExchangeId exchange, const HttpRequest& request) {
    platform::HeartbeatCall call = platform::DecodeHeartbeat(request);
    if (const auto* fault = std::get_if<platform::HeartbeatFault>(&call)) {
      counters_.AddTo("shallotlug_heartbeats_malformed_total");
      if (std::exchange(heartbeat_fault_, fault->message) != fault->message) {
        WriteLog({LogLevel::kWarning,
                  "heartbeat_rejected",
                  {{"target", request.target}, {"reason", fault->message}}});
      }
      heartbeat_server_->Reply(exchange, platform::HeartbeatReply(*fault));
      return;
    }
    if (const auto* beat = std::get_if<platform::Heartbeat>(&call)) {
      executor_.OnHeartbeat(beat->facts, beat->sequence, ReadClock());
      heartbeat_server_->Reply(exchange, platform::HeartbeatReply());
      Step();
    } else {
      HandleDeparture(exchange, std::get<platform::Departure>(call).worker);
    }
  }

  // The worker does not exit before its departure is answered. The runs that
  // have ended since the last poll are read first.
  void HandleDeparture(ExchangeId exchange, const std::string& worker) {
    std::erase_if(departure_clients_,
                  [](const auto& it) { return !it->Busy(); });
    departure_clients_.push_back(
        std::make_unique<WorkerClient>(context_, settings_.worker));
    Look(*departure_clients_.back(), executor_.LastCall(),
         [this, exchange, worker](const auto&) {
           executor_.OnDeparture(worker, ReadClock());
           heartbeat_server_->Reply(exchange, platform::HeartbeatReply());
         });
  }

  void OnSyncCall(ExchangeId exchange, const HttpRequest& request) {
    const auto sync = protocol::DecodeSyncRequest(request.body);
    if (request.target != kSyncPath || !sync) {
      sync_server_->Reply(exchange,
                          net::ErrorResponse(400, "invalid", "malformed",
                                             "the call cannot be read"));
      return;
    }
    const TimePoint now = ReadClock();
    last_sync_at_ = now;
    if (registrations_ != 0) {
      registrations_ = 0;
      registration_delay_ =
          joblog::AgentRegistrationDelay(0, net::DrawNumber());
    }
    const bool accepted = executor_.OnSync(*sync, now);
    if (!accepted || sync->wait <= Millis{0} || !executor_.IsKnown(*sync)) {
      Reply(exchange, accepted);
    } else {
      pending_syncs_.push_back({exchange, sync->known_version,
                                now + std::min(sync->wait, kMaxSyncWait)});
    }
    Step();
  }

  void Reply(ExchangeId exchange, bool accepted) {
    HttpResponse response;
    response.content_type = "application/octet-stream";
    response.body =
        protocol::Encode(executor_.MakeReply(accepted, ReadClock()));
    sync_server_->Reply(exchange, std::move(response));
  }

  // Called after every event that may change the executor's state.
  void Step() {
    const TimePoint now = ReadClock();
    for (executor::Action& it : executor_.TakeActions(now)) {
      actions_.push_back(std::move(it));
    }
    SendActions();
    if (!quick_client_.Busy()) {
      if (auto look = executor_.QuickCall(now)) {
        Look(quick_client_, *look, [](const auto&) {});
      }
    }
    for (const LogLine& it : executor_.TakeLog()) {
      WriteLog(it);
    }
    AnswerPendingSyncs(now);
  }

  void AnswerPendingSyncs(TimePoint now) {
    std::vector<PendingSync> due;
    std::erase_if(pending_syncs_, [&](const PendingSync& it) {
      const bool is_due =
          now >= it.until || executor_.Version() != it.known_version;
      if (is_due) {
        due.push_back(it);
      }
      return is_due;
    });
    for (const PendingSync& it : due) {
      Reply(it.exchange, true);
    }
  }

  void SendActions() {
    for (const auto& client : order_clients_) {
      if (actions_.empty()) {
        return;
      }
      if (!client->Busy()) {
        executor::Action action = std::move(actions_.front());
        actions_.erase(actions_.begin());
        SendAction(*client, action);
      }
    }
  }

  void SendAction(WorkerClient& client, const executor::Action& action) {
    const executor::OrderContext context = executor_.Context();
    if (const auto* start = std::get_if<executor::StartAction>(&action)) {
      client.Start(context, start->order,
                   [this, run = start->order.run,
                    began = ReadClock()](const OrderResult& result) {
                     histograms_.Observe("shallotlug_worker_start_seconds", {},
                                         ReadClock() - began);
                     executor_.OnStartResult(run, result, ReadClock());
                     Step();
                   });
    } else {
      const workload::RunRef run = std::get<executor::StopAction>(action).run;
      client.Stop(context, run, [this, run](const OrderResult& result) {
        executor_.OnStopResult(run, result, ReadClock());
        Step();
      });
    }
  }

  void Look(WorkerClient& client,
            const WorkerQuery& look,
            std::function<void(const executor::WorkerView&)> done) {
    client.Look(look.context, look.noted_ends, look.wait,
                [this, number = look.number,
                 done = std::move(done)](const executor::WorkerView& view) {
                  executor_.OnView(number, view, ReadClock());
                  done(view);
                  Step();
                });
  }

  void PollWorker() {
    Look(poll_client_, executor_.WatchCall(ReadClock()),
         [this](const auto& view) {
           const bool answered = view.status == OrderStatus::kDone;
           poll_timer_.expires_after(!answered ? kPollRetryDelay
                                     : view.ends.empty()
                                         ? Millis{0}
                                         : kUnacknowledgedEndsDelay);
           poll_timer_.async_wait([this](const boost::system::error_code& ec) {
             if (!ec) {
               PollWorker();
             }
           });
         });
  }

  void StartTick() {
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (ec) {
        return;
      }
      const TimePoint now = ReadClock();
      if (now - std::max(last_sync_at_, registered_at_) > registration_delay_) {
        Register();
      }
      Step();
      StartTick();
    });
  }

  void WaitForSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& ec, int number) {
          if (ec) {
            return;
          }
          if (number == SIGHUP) {
            WriteLog({LogLevel::kInfo, "reload_requested", {}});
            WaitForSignal();
            return;
          }
          WriteLog({LogLevel::kInfo,
                    "shutdown_requested",
                    {{"signal", std::to_string(number)}}});
          // Runs continue under their lease, and the next agent process adopts
          // them.
          context_.stop();
        });
  }

  const settings::JobAgentSettings& settings_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer poll_timer_;
  CounterTable counters_;
  std::shared_ptr<net::RequestMemory> memory_ =
      std::make_shared<net::RequestMemory>(settings_.http.memory_bytes);
  HistogramTable histograms_;
  RecordQueue records_;
  Incarnation incarnation_;
  executor::Executor executor_;
  WorkerClient poll_client_;
  WorkerClient quick_client_;
  std::vector<std::unique_ptr<WorkerClient>> order_clients_;
  std::vector<std::unique_ptr<WorkerClient>> departure_clients_;
  std::vector<executor::Action> actions_;
  std::vector<PendingSync> pending_syncs_;
  std::optional<HttpServer> heartbeat_server_;
  std::optional<HttpServer> sync_server_;
  net::MetricsServer metrics_;
  TimePoint last_sync_at_{};
  TimePoint registered_at_{};
  int registrations_ = 0;        ///< Since the last call of a scheduler.
  std::string heartbeat_fault_;  ///< Reason of the newest rejection.
  Millis registration_delay_{0};
};

}  // namespace

int RunJobAgent(const settings::JobAgentSettings& settings) {
  net::SetUpLogging(settings.log, settings.name);
  JobAgent agent(settings);
  const int status = agent.Run();
  FlushLogging();
  return status;
}

}  // namespace shallotlug::service
