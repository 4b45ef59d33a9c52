#include <csignal>
#include <cstdio>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "shallotlug/standin/backend_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address of the server.");
ABSL_FLAG(int, slots, 8, "Tasks that run at the same time.");
ABSL_FLAG(int, connections, 64, "Connections at the same time.");
ABSL_FLAG(int, accelerators, 8, "Accelerators, at most 32.");
ABSL_FLAG(int, checkpoint_ms, 200, "Time that a checkpoint takes.");
ABSL_FLAG(int, usage_lag_ms, 1'000, "Age of the usage in reports.");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Stand-in for a backend server.");
  absl::ParseCommandLine(argc, argv);
  shallotlug::standin::BackendServerOptions options;
  options.listen = absl::GetFlag(FLAGS_listen);
  options.connections = absl::GetFlag(FLAGS_connections);
  options.worker.slots = absl::GetFlag(FLAGS_slots);
  options.worker.accelerators = absl::GetFlag(FLAGS_accelerators);
  options.worker.checkpoint_time =
      shallotlug::Millis(absl::GetFlag(FLAGS_checkpoint_ms));
  options.worker.usage_lag =
      shallotlug::Millis(absl::GetFlag(FLAGS_usage_lag_ms));
  boost::asio::io_context context;
  const auto server =
      shallotlug::standin::BackendServer::Listen(context, options);
  if (!server) {
    std::fprintf(stderr, "cannot listen on %s: %s\n", options.listen.c_str(),
                 server.error().message().c_str());
    return 1;
  }
  std::printf("backend server on %s\n", server.value().Address().c_str());
  std::fflush(stdout);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, int) { context.stop(); });
  context.run();
  return 0;
}
