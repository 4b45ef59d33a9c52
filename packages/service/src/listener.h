#ifndef SHALLOTLUG_SERVICE_SRC_LISTENER_H_
#define SHALLOTLUG_SERVICE_SRC_LISTENER_H_

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "shallotlug/base/counters.h"
#include "shallotlug/base/histograms.h"
#include "shallotlug/net/http_server.h"
#include "shallotlug/net/role_loop.h"
#include "shallotlug/settings/settings.h"

namespace shallotlug::service {

/// @brief Options of a listener with these limits.
net::HttpServerOptions OptionsOf(const settings::HttpLimits& limits,
                                 std::shared_ptr<net::RequestMemory> memory);

/// @brief Descriptors that this process may open.
std::size_t DescriptorLimit();

/// @brief Opens an HTTP listener; logs the reason on failure. Refused requests
/// and closed connections are counted, and logged at most once a second.
bool OpenListener(
    boost::asio::io_context& context,
    const net::HttpServerOptions& options,
    CounterTable& counters,
    std::function<void(net::ExchangeId, const net::HttpRequest&)> handler,
    std::optional<net::HttpServer>& server);

/// @brief Opens the metrics listener; logs the reason on failure.
bool OpenMetrics(boost::asio::io_context& context,
                 const std::string& address,
                 net::MetricsSources sources,
                 std::shared_ptr<net::RequestMemory> memory,
                 net::MetricsServer& server);

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_LISTENER_H_
