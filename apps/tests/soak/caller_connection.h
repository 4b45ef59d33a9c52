#ifndef SHALLOTLUG_APPS_TESTS_SOAK_CALLER_CONNECTION_H_
#define SHALLOTLUG_APPS_TESTS_SOAK_CALLER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "shallotlug/base/clock.h"

namespace shallotlug::soak {

struct CallerRequest {
  std::string address;  ///< Numeric `ip:port`.
  std::string method;
  std::string host;
  std::string target;
  std::string body;
  Millis timeout{0};
};

/// @brief What a caller has seen of one request.
struct CallerOutcome {
  /// No connection was made, so that no server can have read the request.
  bool not_sent = false;
  int status = 0;  ///< 0: no complete response.
  std::string body;
};

/// @brief A caller's connection. It sends each request once and never repeats
/// one, and shares no code with the client of the product, whose faults the
/// judge has to see.
class CallerConnection {
 public:
  using Handler = std::function<void(const CallerOutcome&)>;

  explicit CallerConnection(boost::asio::io_context& context);
  /// @brief Drops a running request; its handler is not called.
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// @brief Sends a request over the open connection if it goes to the same
  /// address, else over a new one. No request may be running.
  void Send(const CallerRequest& request, Handler handler);
  bool Busy() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shallotlug::soak

#endif  // SHALLOTLUG_APPS_TESTS_SOAK_CALLER_CONNECTION_H_
