#include "status.h"

#include <algorithm>
#include <utility>

#include "job_table.h"
#include "log.h"
#include "peers.h"
#include "replies.h"

namespace shallotlug::entry {
namespace {

api::WorkerStatus MakeWorkerStatus(const State& state, const Agent& agent) {
  api::WorkerStatus status;
  status.agent = agent.ref.name.value;
  status.data_centre = agent.inventory.data_centre.value;
  status.rack = agent.inventory.rack.value;
  status.alive = agent.linked;
  status.leaving = agent.report.leaving;
  status.quarantined = decision::StateOf(state.health, agent.ref.name) !=
                       decision::HealthState::kHealthy;
  status.accelerators = agent.inventory.accelerators;
  status.free_accelerators = static_cast<int>(
      std::count(agent.report.accelerators.begin(),
                 agent.report.accelerators.end(), AcceleratorUse::kFree));
  status.live_running = agent.report.live_running;
  status.config_revision = agent.config_revision;
  return status;
}

}  // namespace

void OnStatus(State& state, CallId call) {
  api::StatusReply reply;
  reply.entry = state.options.self.name.value;
  reply.data_centre = state.options.data_centre.value;
  reply.planner = IsPlanner(state);
  reply.log_available = LogAvailable(state);
  reply.config_revision = stream::Current(state.config).revision;
  reply.entries = OperatorAddresses(state);
  for (const auto& [job, track] : state.jobs.tracks) {
    const stream::JobRow* row = FindProjectedJob(state, job);
    const bool running =
        row != nullptr && row->standing == stream::JobStanding::kClaimed;
    ++(running ? reply.jobs_running : reply.jobs_queued);
  }
  for (const auto& [name, agent] : state.agents) {
    reply.workers.push_back(MakeWorkerStatus(state, agent));
  }
  Reply(state, call, std::move(reply));
}

}  // namespace shallotlug::entry
