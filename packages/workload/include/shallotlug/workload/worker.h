#ifndef SHALLOTLUG_WORKLOAD_WORKER_H_
#define SHALLOTLUG_WORKLOAD_WORKER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/workload/job.h"
#include "shallotlug/workload/resources.h"

namespace shallotlug::workload {

/// @brief One life of a worker, from its start to its end. A worker that
/// restarts with the same id keeps no state of its former life.
struct WorkerLife {
  std::string id;
  std::int64_t born = 0;  ///< Start of this life, in ms since 1970.

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const WorkerLife&) const = default;
};

/// @brief A worker's description of itself.
struct WorkerFacts {
  WorkerLife life;
  std::string service;  ///< Pool of the worker.
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  Millis remaining{0};  ///< While draining: the minimum time left.

  bool operator==(const WorkerFacts&) const = default;
};

/// @brief Why a run has ended on its worker.
enum class EndReason {
  kDone,
  kFailed,
  kStopped,
  kLapsed,  ///< The lease expired.
  kBroken,  ///< Another member of the gang ended.
  kAlone,   ///< The other members of the gang did not start.
};

/// @brief The end of a run, which a worker lists until it is acknowledged.
struct RunEnd {
  std::uint64_t number = 0;  ///< Counts from 1 in each life of the worker.
  RunRef run;
  EndReason reason = EndReason::kDone;
  std::string checkpoint;

  bool operator==(const RunEnd&) const = default;
};

/// @brief Current state of a run, as reported by its worker or agent.
struct ActiveRun {
  RunRef run;
  std::string checkpoint;  ///< Newest; empty: none.
  int percent = 0;         ///< Completed share of its work.
  /// Tail latency in ms of a serving task, or thousandths of a core in use.
  std::int64_t usage = 0;

  bool operator==(const ActiveRun&) const = default;
};

const char* Name(EndReason reason);

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_WORKER_H_
