#ifndef SHALLOTLUG_APPS_TESTS_SOAK_PLATFORM_SERVERS_H_
#define SHALLOTLUG_APPS_TESTS_SOAK_PLATFORM_SERVERS_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include "shallotlug/jobharness/fake_fleet.h"
#include "shallotlug/jobharness/fake_store.h"
#include "shallotlug/net/http_client.h"
#include "shallotlug/net/http_server.h"

/// HTTP faces of the platform's stand-ins, for real processes.
namespace shallotlug::soak {

/// @brief How the store answers now.
struct StoreFaults {
  bool busy = false;        ///< 503, and nothing is done.
  bool silent = false;      ///< No answer, and nothing is done.
  double lost_answers = 0;  ///< Share of appends that are done unanswered.
  double late_appends = 0;  ///< Share that is done later and unanswered.
};

/// @brief The store as one process sees it.
class StoreServer {
 public:
  using Topics = std::map<std::string, jobharness::FakeStore>;

  StoreServer(boost::asio::io_context& context,
              Topics& topics,
              const StoreFaults& faults,
              std::mt19937_64& random);

  std::string Address() const { return server_->Address(); }

  /// @brief Refuses this process only.
  void Refuse(bool refuses) { refuses_ = refuses; }

  /// @brief Answers reads that waited for long enough, or have news.
  void Tick(TimePoint now);

 private:
  struct WaitingRead {
    net::ExchangeId id{};
    std::string topic;
    std::uint64_t from = 0;
    TimePoint until{};
  };
  struct LateAppend {
    TimePoint at{};
    std::string topic;
    std::vector<workload::RawRecord> records;
    joblog::AppendOptions options;
  };

  void Handle(net::ExchangeId id, const net::HttpRequest& request);
  void Append(net::ExchangeId id,
              const std::string& topic,
              const std::map<std::string, std::string>& query,
              const std::string& body);
  bool TryRead(const WaitingRead& read, bool last);

  boost::asio::io_context& context_;
  Topics& topics_;
  const StoreFaults& faults_;
  std::mt19937_64& random_;
  bool refuses_ = false;
  std::vector<WaitingRead> reads_;
  std::vector<LateAppend> late_;
  std::optional<net::HttpServer> server_;
};

/// @brief Clock of a worker. A new life of the worker begins at 0.
struct WorkerClock {
  Millis origin{0};        ///< Reading at the start of the first life.
  int slow_per_mille = 0;  ///< Loses so much of each second.
};

/// @brief The real time in which this clock advances by `time`.
Millis RealTime(const WorkerClock& clock, Millis time);

/// @brief One worker of the fleet, with its heartbeats.
class WorkerServer {
 public:
  WorkerServer(boost::asio::io_context& context,
               jobharness::FakeFleet& fleet,
               std::mt19937_64& random,
               std::string machine,
               const WorkerClock& clock);

  std::string Address() const { return server_->Address(); }
  /// @brief Where its heartbeats go.
  void SetAgent(const std::string& address) { agent_ = address; }
  /// @brief Loses the answers of orders and carries them out.
  void LoseAnswers(bool loses) { loses_answers_ = loses; }
  /// @brief Carries out this share of orders and holds seconds later, without
  /// an answer, whatever life the worker is in by then.
  void CarryOutLate(double share) { late_share_ = share; }

  void Tick(TimePoint now);

 private:
  struct WaitingLook {
    net::ExchangeId id{};
    executor::OrderContext context;
    std::uint64_t noted_ends = 0;
    TimePoint until{};
  };
  struct LateCall {
    TimePoint at{};
    net::HttpRequest request;
  };

  void Handle(net::ExchangeId id, const net::HttpRequest& request);
  executor::OrderContext DecodeContext(const boost::json::object& body) const;
  executor::OrderResult CarryOut(const net::HttpRequest& request);
  bool TryLook(const WaitingLook& look, bool last);
  void SendHeartbeat();
  Millis Origin() const;
  std::int64_t Shown(executor::WorkerTime time) const;

  jobharness::FakeFleet& fleet_;
  std::mt19937_64& random_;
  std::string machine_;
  WorkerClock clock_;
  std::int64_t first_born_ = 0;
  std::string agent_;
  net::HttpClient heartbeats_;
  TimePoint next_heartbeat_{};
  bool loses_answers_ = false;
  double late_share_ = 0;
  std::vector<WaitingLook> looks_;
  std::vector<LateCall> late_;
  std::optional<net::HttpServer> server_;
};

}  // namespace shallotlug::soak

#endif  // SHALLOTLUG_APPS_TESTS_SOAK_PLATFORM_SERVERS_H_
