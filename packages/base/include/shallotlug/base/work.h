#ifndef SHALLOTLUG_BASE_WORK_H_
#define SHALLOTLUG_BASE_WORK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"

namespace shallotlug {

/// @brief How close together the accelerators of a shape must be.
enum class Adjacency { kWorker, kRack, kDataCentre, kAny };

/// @brief Whether a class serves waiting callers or long jobs.
enum class WorkKind { kLive, kBatch };

/// @brief The accelerators that a job needs at the same time.
struct JobShape {
  int tasks = 1;
  int accelerators_per_task = 1;  ///< On one worker; 0 to 8.
  Adjacency adjacency = Adjacency::kAny;

  bool operator==(const JobShape&) const = default;
};

/// @brief A long job as its caller declared it.
struct JobSpec {
  JobId id;
  CustomerName customer;
  ClassName job_class;
  JobShape shape;
  Millis declared_run_time{};
  std::int64_t declared_memory_mib = 0;
  bool repeatable = true;       ///< May be started again after a failure.
  bool checkpointable = false;  ///< May be stopped and continued elsewhere.
  std::string body;             ///< Passed to the backend servers as it is.

  bool operator==(const JobSpec&) const = default;
};

/// @brief A shape that a customer can always get back: `groups` sets of
/// `accelerators` within one `within`. No groups means no guarantee.
struct Guarantee {
  int groups = 0;
  int accelerators = 0;
  Adjacency within = Adjacency::kWorker;

  bool operator==(const Guarantee&) const = default;
};

/// @brief What an operator states for a class of work.
struct ClassTarget {
  ClassName name;
  CustomerName customer;
  WorkKind kind = WorkKind::kBatch;
  Millis finish_within{};    ///< From acceptance to the whole answer.
  double objective = 0.999;  ///< Share that must finish in time, in (0, 1).
  int accelerators = 1;      ///< Per live request.
  Guarantee guarantee;

  bool operator==(const ClassTarget&) const = default;
};

/// @brief A target with the stream offset of the change that set it.
struct VersionedTarget {
  ClassTarget target;
  std::uint64_t version = 0;
  bool removed = false;  ///< Kept, so that a removal is not undone.

  bool operator==(const VersionedTarget&) const = default;
};

/// @brief The configuration in force. `revision` is the offset of the last
/// accepted change plus one, and 0 when there has been none; it never goes
/// back.
struct Targets {
  std::uint64_t revision = 0;
  std::vector<VersionedTarget> entries;  ///< Sorted by class name.

  bool operator==(const Targets&) const = default;
};

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_WORK_H_
