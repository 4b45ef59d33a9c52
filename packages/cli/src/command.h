#ifndef SHALLOTLUG_CLI_SRC_COMMAND_H_
#define SHALLOTLUG_CLI_SRC_COMMAND_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/workload/policy_check.h"

namespace shallotlug::cli {

enum class Output { kTable, kJson, kHtml };

/// @brief Values of the command line flags.
struct Options {
  std::vector<std::string> operators;  ///< Operator listeners, `ip:port`.
  std::string token;
  Output output = Output::kTable;
  Millis timeout{5000};

  std::string customer;
  std::string kind;
  Millis finish_within{};
  double objective = 0.999;
  int accelerators = 1;
  /// That all workers have; empty: not stated.
  std::optional<std::int64_t> fleet_accelerators;
  std::string guarantee;
  std::int64_t base_version = -1;  ///< -1: the current version is looked up.
  std::string change_id;           ///< Empty: one is drawn.
  bool remove = false;
  std::string in_force;  ///< File; empty: nothing is compared.
};

enum class FetchStatus { kOk, kNotSent, kUnknown };

struct FetchReply {
  FetchStatus status = FetchStatus::kNotSent;
  int http_status = 0;
  std::string body;
  std::string error;  ///< When `status` is not kOk.
};

struct FetchRequest {
  std::string address;
  std::string method;
  std::string target;
  std::string body;
  std::string token;
  Millis timeout{};
};

/// @brief Sends one HTTP request; replaced in tests.
using Fetch = std::function<FetchReply(const FetchRequest&)>;

/// @brief What a command works with.
struct Context {
  Options options;
  std::vector<std::string> arguments;  ///< After the command's own words.
  Fetch fetch;
  std::ostream& out;
  std::ostream& err;
  /// Reads configurations of the platform; replaced in tests.
  workload::ReadPolicyDocument read_policy = {};
};

/// @brief One command of the program.
struct Command {
  std::string_view words;      ///< Such as `target set`.
  std::string_view arguments;  ///< Such as `CLASS`.
  std::string_view summary;
  std::string_view help;
  int (*run)(Context&);
};

const std::vector<Command>& AllCommands();

/// @brief Sends a request to the first operator listener that is reached. The
/// next one is tried only when nothing was sent.
FetchReply FetchFromAny(Context& context,
                        const std::string& method,
                        const std::string& target,
                        const std::string& body = "");

/// @brief Prints a reply that is not a success and returns the exit code.
int ReportFailure(Context& context, const FetchReply& reply);

int RunTargetSet(Context& context);
int RunTargetGet(Context& context);
int RunTargetList(Context& context);
int RunTargetHistory(Context& context);
int RunStatus(Context& context);
int RunReportBurn(Context& context);
int RunCheck(Context& context);
int RunCheckConfig(Context& context);
int RunExplain(Context& context);

}  // namespace shallotlug::cli

#endif  // SHALLOTLUG_CLI_SRC_COMMAND_H_
