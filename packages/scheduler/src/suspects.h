#ifndef SHALLOTLUG_SCHEDULER_SRC_SUSPECTS_H_
#define SHALLOTLUG_SCHEDULER_SRC_SUSPECTS_H_

#include <vector>

#include "fleet.h"
#include "placement.h"
#include "units.h"

/// Tasks under which workers have crashed. Such a task is tried again on a
/// worker without other jobs, and given up when it has crashed several workers
/// on its own.
namespace shallotlug::scheduler {

/// @brief Whether the task may be the cause of a crash.
bool IsSuspect(const workload::TaskProgress& task);

/// @brief Whether so many workers have crashed under the task that it is not
/// started again.
bool IsGivenUp(const workload::TaskProgress& task);

/// @brief Whether the unit may not use the worker because a suspect of another
/// job is tried there.
bool IsClosedTo(const State& state, const AgentName& worker, const Unit& unit);

/// @brief Of the candidates for a suspect, the workers without runs of other
/// jobs; if there are any, only those that have not started recently.
std::vector<Candidate> WorkersWithoutOthers(
    const State& state,
    const Fleet& fleet,
    const Unit& unit,
    const std::vector<Candidate>& candidates,
    Now now);

/// @brief Whether a suspect that does not fit on workers without other jobs
/// waits on. Closes a worker to other jobs for it.
/// @param candidates All workers that it may use.
bool WaitsToBeAlone(State& state,
                    const Fleet& fleet,
                    const Unit& unit,
                    const std::vector<Candidate>& candidates,
                    const Demand& demand,
                    TimePoint now);

/// @brief Closes the workers of a suspect that has been placed to other jobs,
/// until it has run long enough.
void CloseWorkers(State& state,
                  const Fleet& fleet,
                  const Unit& unit,
                  const std::vector<int>& workers,
                  TimePoint now);

/// @brief Opens workers whose time is over, and forgets waits of ended jobs.
void DropOldIsolations(State& state, TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_SUSPECTS_H_
