#ifndef SHALLOTLUG_NET_SRC_BACKEND_CLIENT_H_
#define SHALLOTLUG_NET_SRC_BACKEND_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "shallotlug/agent/backend.h"
#include "shallotlug/base/clock.h"
#include "shallotlug/base/counters.h"
#include "shallotlug/net/http_client.h"

namespace shallotlug::net {

struct BackendClientOptions {
  std::string address;
  /// The backend server holds a report without news for this long; its clock
  /// is then read often enough for leases of seconds.
  Millis status_wait{500};
  Millis timeout{2'000};
  Millis retry_after{200};
  /// Commands that wait for an unreachable backend server.
  std::size_t queued_commands = 4'096;
};

struct BackendClientHandlers {
  std::function<void(agent::BackendReport)> on_report;
  std::function<void()> on_unreachable;
};

/// @brief Client of the backend server beside an agent.
///
/// Commands are sent one after the other, in order. A command whose answer was
/// lost is sent again; it carries the incarnation of the backend server that it
/// was meant for, so that a restarted one refuses it.
class BackendClient {
 public:
  BackendClient(boost::asio::io_context& context,
                BackendClientOptions options,
                CounterTable& counters,
                BackendClientHandlers handlers);

  /// @brief Starts to poll reports.
  void Start();

  void Command(agent::AddressedCommand command);

 private:
  struct Queued {
    agent::BackendCommand command;
    std::uint64_t incarnation = 0;
    bool sent = false;
  };

  /// @brief A start whose answer a report may still lack.
  struct Starting {
    AcceleratorMask accelerators = 0;
    bool reported = false;  ///< kStarted was delivered.
    /// Polls with a higher number were sent after the answer.
    std::uint64_t answered_at_poll = 0;
  };

  void Poll();
  void OnStatus(const FetchResult& result, std::uint64_t poll);
  void CompleteReport(agent::BackendReport& report, std::uint64_t poll);
  void Fail();
  void SendNext();
  void SendLeases();
  void SendStart(const agent::StartTask& start);
  void SendControl(const agent::ControlTask& control);
  void SendCommand(const std::string& method,
                   const std::string& target,
                   const std::string& body,
                   std::size_t count);
  void OnAnswered(const FetchResult& result, std::size_t count);
  void OnStartAnswered(const agent::StartTask& start,
                       const HttpResponse& response);

  BackendClientOptions options_;
  CounterTable& counters_;
  BackendClientHandlers handlers_;
  HttpClient status_;
  HttpClient commands_;
  boost::asio::steady_timer poll_timer_;
  boost::asio::steady_timer command_timer_;
  std::uint64_t poll_ = 0;
  std::uint64_t since_ = 0;
  agent::BackendReport last_;  ///< Without events.
  std::deque<Queued> queue_;
  bool sending_ = false;
  std::map<TaskId, Starting> starting_;
};

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_SRC_BACKEND_CLIENT_H_
