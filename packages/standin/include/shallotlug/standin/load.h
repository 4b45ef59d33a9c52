#ifndef SHALLOTLUG_STANDIN_LOAD_H_
#define SHALLOTLUG_STANDIN_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"

/// Open-loop load of live requests and a summary of what came back.
namespace shallotlug::standin {

struct LoadOptions {
  std::vector<std::string> entries;  ///< Callers' listeners, `ip:port`.
  std::string customer;
  std::string request_class;
  double rate = 50;  ///< Arrivals a second, exponentially spaced.
  Millis duration{10'000};
  Millis run_time{40};     ///< Asked of the backend server.
  Millis target{2'000};    ///< For the summary only.
  Millis timeout{10'000};  ///< For each call.
  int threads = 64;        ///< Bound on requests under way.
  std::uint64_t seed = 1;
};

/// @brief One request as its caller saw it.
struct LoadSample {
  Millis arrival{};    ///< Since the start of the run.
  Millis latency{};    ///< From the scheduled arrival to the last reply.
  std::string result;  ///< `answered`, `mixed_up`, or the error word.
  int sends = 0;       ///< Sends of the same id, through any entry.
};

/// @brief Arrival times of a Poisson process; the same for the same seed.
std::vector<Millis> ArrivalTimes(const LoadOptions& options);

/// @brief Sends every request at its time. Each caller mints an id and repeats
/// it through another entry until it gets a final reply, three times at most.
/// Blocks until all have ended.
std::vector<LoadSample> RunLoad(const LoadOptions& options);

struct LoadSummary {
  std::map<std::string, std::int64_t> results;
  std::int64_t in_target = 0;
  Millis median{};
  Millis p99{};
  Millis slowest{};
};

LoadSummary Summarize(const std::vector<LoadSample>& samples, Millis target);

std::string ToJsonText(const LoadSummary& summary);

/// @brief A page without outside references that plots latency over time.
std::string ToHtml(const std::vector<LoadSample>& samples, Millis target);

}  // namespace shallotlug::standin

#endif  // SHALLOTLUG_STANDIN_LOAD_H_
