#include "shallotlug/workload/job.h"

#include "shallotlug/workload/worker.h"

namespace shallotlug::workload {

std::string ToString(const TaskRef& task) {
  return task.job.value + "/" + std::to_string(task.occurrence) + "/" +
         std::to_string(task.step) + "/" + std::to_string(task.index);
}

const char* Name(EndReason reason) {
  switch (reason) {
    case EndReason::kDone:
      return "done";
    case EndReason::kFailed:
      return "failed";
    case EndReason::kStopped:
      return "stopped";
    case EndReason::kLapsed:
      return "lapsed";
    case EndReason::kBroken:
      return "broken";
    case EndReason::kAlone:
      return "alone";
  }
  return "unknown";
}

}  // namespace shallotlug::workload
