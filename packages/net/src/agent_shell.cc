#include "shallotlug/net/agent_shell.h"

#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "backend_client.h"
#include "role_listeners.h"
#include "shallotlug/agent/agent.h"
#include "shallotlug/base/logging.h"

namespace shallotlug::net {
namespace {

agent::Options OptionsOf(const settings::AgentSettings& settings) {
  agent::Options options;
  options.self = {AgentName(settings.name), DrawIncarnation()};
  options.inventory.data_centre = DataCentreName(settings.data_centre);
  options.inventory.rack = RackName(settings.rack);
  options.inventory.region = settings.region;
  options.inventory.accelerators = settings.accelerators;
  options.inventory.slots = settings.slots;
  options.inventory.connections = settings.connections;
  options.peer_address = settings.peers_listen;
  options.entry_seeds = settings.entry_seeds;
  options.random_seed = DrawNumber();
  return options;
}

class AgentShell {
 public:
  explicit AgentShell(const settings::AgentSettings& settings)
      : settings_(settings),
        loop_(context_),
        state_(agent::MakeState(OptionsOf(settings), ReadClock())),
        backend_(context_,
                 BackendOptions(settings),
                 Counters(),
                 BackendHandlers()) {}

  int Run() {
    links_ = OpenPeerLinks(context_, loop_, settings_.peers_listen,
                           settings_.shared_key, Counters(), inbox_);
    if (!links_ || !OpenMetrics()) {
      return 1;
    }
    WriteLog({LogLevel::kInfo,
              "agent_started",
              {{"agent", settings_.name},
               {"peers", settings_.peers_listen},
               {"backend_server", settings_.backend_server}}});
    backend_.Start();
    loop_.Run([this] { Step(); });
    WriteLog({LogLevel::kInfo, "agent_stopped", {{"agent", settings_.name}}});
    return 0;
  }

 private:
  static BackendClientOptions BackendOptions(
      const settings::AgentSettings& settings) {
    BackendClientOptions options;
    options.address = settings.backend_server;
    return options;
  }

  BackendClientHandlers BackendHandlers() {
    return {[this](agent::BackendReport report) {
              inbox_.backend_unreachable = false;
              inbox_.backend_reports.push_back(std::move(report));
              loop_.Wake();
            },
            [this] {
              inbox_.backend_unreachable = true;
              loop_.Wake();
            }};
  }

  bool OpenMetrics() {
    const auto opened =
        metrics_.Listen(context_, settings_.metrics_listen,
                        {[this] { return Counters().ToPrometheusText(); },
                         [this] { return !loop_.ShutdownRequested(); }});
    if (!opened) {
      LogListenFailure("metrics", settings_.metrics_listen, opened.error());
    }
    return opened.has_value();
  }

  void Step() {
    agent::Inbox inbox = std::exchange(inbox_, {});
    inbox.shutdown_requested = loop_.ShutdownRequested();
    agent::Outbox out = agent::Step(*state_, inbox, ReadClock());
    WriteLogLines(out.log_lines);
    for (const Send& it : out.sends) {
      links_->Send(it.link, it.message);
    }
    for (const CloseLink& it : out.closes) {
      links_->Close(it.link, it.reason);
    }
    for (const Dial& it : out.dials) {
      links_->Dial(it);
    }
    for (agent::AddressedCommand& it : out.backend_commands) {
      backend_.Command(std::move(it));
    }
    if (out.may_exit) {
      loop_.StopWhen([this] { return links_->Flushed(); });
    }
  }

  CounterTable& Counters() { return agent::Counters(*state_); }

  const settings::AgentSettings& settings_;
  boost::asio::io_context context_;
  RoleLoop loop_;
  agent::StatePtr state_;
  agent::Inbox inbox_;
  BackendClient backend_;
  std::optional<PeerLinks> links_;
  MetricsServer metrics_;
};

}  // namespace

int RunAgent(const settings::AgentSettings& settings) {
  SetUpLogging(settings.log, settings.name);
  AgentShell shell(settings);
  const int status = shell.Run();
  FlushLogging();
  return status;
}

}  // namespace shallotlug::net
