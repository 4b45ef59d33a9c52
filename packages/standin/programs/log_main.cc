#include <csignal>
#include <cstdio>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "shallotlug/standin/log_service.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address of the log service.");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "Address of POST /control.");
ABSL_FLAG(int, retain_records, 1'000'000, "Records kept in each stream.");
ABSL_FLAG(int, retain_ms, 3'600'000, "Time for which records are kept.");
ABSL_FLAG(int, appends_per_second, 500, "Appends that are done each second.");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Stand-in for the platform's log service.");
  absl::ParseCommandLine(argc, argv);
  shallotlug::standin::LogServiceOptions options;
  options.listen = absl::GetFlag(FLAGS_listen);
  options.control = absl::GetFlag(FLAGS_control);
  options.retain_records = absl::GetFlag(FLAGS_retain_records);
  options.retain_for = shallotlug::Millis(absl::GetFlag(FLAGS_retain_ms));
  options.appends_per_second = absl::GetFlag(FLAGS_appends_per_second);
  boost::asio::io_context context;
  const auto service =
      shallotlug::standin::LogService::Listen(context, options);
  if (!service) {
    std::fprintf(stderr, "cannot listen on %s and %s: %s\n",
                 options.listen.c_str(), options.control.c_str(),
                 service.error().message().c_str());
    return 1;
  }
  std::printf("log service on %s, control on %s\n",
              service.value().Address().c_str(),
              service.value().ControlAddress().c_str());
  std::fflush(stdout);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, int) { context.stop(); });
  context.run();
  return 0;
}
