#include <algorithm>
#include <fstream>
#include <iostream>
#include <istream>
#include <optional>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "command.h"
#include "shallotlug/cli/cli.h"

namespace shallotlug::cli {
namespace {

namespace json = boost::json;

/// @brief One line of a process's log that names the job.
struct Happening {
  std::int64_t time_ms = 0;
  std::string process;
  std::string event;
  std::string details;
};

std::string TextOf(const json::value& value) {
  return value.is_string() ? std::string(value.get_string())
                           : json::serialize(value);
}

std::string LastWord(std::string text) {
  while (!text.empty() && text.back() == ' ') {
    text.pop_back();
  }
  return text.substr(text.find_last_of(' ') + 1);
}

/// @brief Reads a line; what stands before the JSON object may name the
/// process, as log collectors write it.
std::optional<Happening> ReadHappening(const std::string& line,
                                       const std::string& job) {
  const std::size_t start = line.find('{');
  if (start == std::string::npos || line.find(job) == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const json::value parsed = json::parse(line.substr(start), ec);
  if (ec || !parsed.is_object()) {
    return std::nullopt;
  }
  Happening it;
  it.process = LastWord(line.substr(0, start));
  bool concerns = false;
  for (const auto& member : parsed.get_object()) {
    const std::string key(member.key());
    const std::string value = TextOf(member.value());
    concerns |= (key == "job" || key == "for_job") && value == job;
    if (key == "time_ms") {
      it.time_ms = member.value().is_int64() ? member.value().get_int64() : 0;
    } else if (key == "process") {
      it.process = value;
    } else if (key == "event") {
      it.event = value;
    } else if (key != "level" && !(key == "job" && value == job)) {
      it.details += " " + key + "=" + value;
    }
  }
  return concerns ? std::optional(it) : std::nullopt;
}

void ReadLog(std::istream& in,
             const std::string& job,
             std::vector<Happening>& to) {
  std::string line;
  while (std::getline(in, line)) {
    if (auto it = ReadHappening(line, job)) {
      to.push_back(std::move(*it));
    }
  }
}

}  // namespace

int RunExplain(Context& context) {
  if (context.arguments.empty()) {
    context.err << "shallotlug: explain takes the id of a job, and log files; "
                   "without files it reads standard input\n";
    return kExitUsage;
  }
  const std::string& job = context.arguments.front();
  std::vector<Happening> life;
  if (context.arguments.size() == 1) {
    ReadLog(std::cin, job, life);
  }
  for (std::size_t n = 1; n < context.arguments.size(); ++n) {
    std::ifstream in(context.arguments[n]);
    if (!in) {
      context.err << "shallotlug: " << context.arguments[n]
                  << " cannot be read\n";
      return kExitUsage;
    }
    ReadLog(in, job, life);
  }
  if (life.empty()) {
    context.err << "shallotlug: no line of these logs names the job " << job
                << "\n";
    return kExitRefused;
  }
  std::stable_sort(life.begin(), life.end(),
                   [](const Happening& a, const Happening& b) {
                     return a.time_ms < b.time_ms;
                   });
  for (const Happening& it : life) {
    context.out << "+" << it.time_ms - life.front().time_ms << " ms  "
                << it.process << "  " << it.event << it.details << "\n";
  }
  return kExitOk;
}

}  // namespace shallotlug::cli
