#ifndef SHALLOTLUG_STANDIN_BACKEND_SERVER_H_
#define SHALLOTLUG_STANDIN_BACKEND_SERVER_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/outcome/std_result.hpp>

#include "shallotlug/standin/worker.h"

namespace shallotlug::standin {

struct BackendServerOptions {
  std::string listen;  ///< `ip:port`.
  std::size_t connections = 64;
  WorkerOptions worker;
};

/// @brief Stand-in for a backend server: a Worker behind the HTTP protocol of
/// docs/design.md.
///
/// `POST /control` takes any of `{"fail_all":b,"leaving":b,"speed":x,
/// "delay_ms":n,"checkpoint_ms":n,"usage_lag_ms":n}`; `delay_ms` delays every
/// answer. `GET /history` lists everything that happened to tasks.
class BackendServer {
 public:
  static boost::outcome_v2::std_result<BackendServer> Listen(
      boost::asio::io_context& context,
      const BackendServerOptions& options);

  BackendServer(BackendServer&&) noexcept;
  BackendServer& operator=(BackendServer&&) noexcept;
  ~BackendServer();

  std::string Address() const;

 private:
  struct Impl;
  explicit BackendServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace shallotlug::standin

#endif  // SHALLOTLUG_STANDIN_BACKEND_SERVER_H_
