#include "expectations.h"

#include <algorithm>
#include <map>
#include <vector>

namespace shallotlug::harness {
namespace {

bool RequestHolds(World& world, const Step& step) {
  const CallerRequest& request = world.Request(step.name);
  const std::string& word = step.word;
  if (word == "started") {
    return world.oracle().Starts(step.name) > 0;
  }
  static const std::map<std::string, RequestState> states = {
      {"answered", RequestState::kAnswered},
      {"not_run", RequestState::kNotRun},
      {"unknown", RequestState::kUnknown},
      {"failed", RequestState::kFailed},
      {"conflict", RequestState::kConflict},
      {"invalid", RequestState::kInvalid},
      {"not_found", RequestState::kNotFound},
      {"lost", RequestState::kLost},
  };
  return word == "replied" ? request.open_calls == 0
                           : request.state == states.at(word);
}

bool JobHolds(World& world, const Step& step) {
  const CallerJob& job = world.Job(step.name);
  const std::string& word = step.word;
  if (word == "started") {
    return world.oracle().Starts(step.name) >= job.call.spec.shape.tasks;
  }
  if (word == "running") {
    return world.oracle().Running(step.name) == job.call.spec.shape.tasks;
  }
  static const std::map<std::string, SubmitState> submits = {
      {"accepted", SubmitState::kAccepted},
      {"not_accepted", SubmitState::kNotAccepted},
      {"can_never_run", SubmitState::kCanNeverRun},
      {"unknown", SubmitState::kUnknown},
  };
  const auto submit = submits.find(word);
  if (submit != submits.end()) {
    return job.submit == submit->second;
  }
  static const std::map<std::string, api::JobState> states = {
      {"finished", api::JobState::kFinished},
      {"failed", api::JobState::kFailed},
      {"cancelled", api::JobState::kCancelled},
      {"outcome_unknown", api::JobState::kOutcomeUnknown},
  };
  return job.final_state &&
         (word == "final" || *job.final_state == states.at(word));
}

bool ChangeHolds(World& world, const Step& step) {
  const OperatorChange& change = world.Change(step.name);
  static const std::map<std::string, ChangeState> states = {
      {"accepted", ChangeState::kAccepted},
      {"conflict", ChangeState::kConflict},
      {"exceeds_capacity", ChangeState::kExceedsCapacity},
      {"not_accepted", ChangeState::kNotAccepted},
      {"unknown", ChangeState::kUnknown},
  };
  if (step.word == "in_force") {
    return change.state == ChangeState::kAccepted &&
           world.InForceEverywhere(change);
  }
  return step.word == "replied" ? change.state != ChangeState::kPending
                                : change.state == states.at(step.word);
}

}  // namespace

bool Holds(World& world, const Step& step) {
  switch (step.verb) {
    case Verb::kExpectRequest:
      return RequestHolds(world, step);
    case Verb::kExpectJob:
      return JobHolds(world, step);
    case Verb::kExpectChange:
      return ChangeHolds(world, step);
    case Verb::kExpectStarts:
      return world.oracle().Starts(step.name) <= step.number;
    case Verb::kExpectReclaimed:
      return world.oracle().Running(step.name) ==
             world.Job(step.name).call.spec.shape.tasks;
    default: {
      const std::vector<std::string> open = world.UnfinishedJobs();
      return std::none_of(open.begin(), open.end(), [&](const std::string& it) {
        return it.starts_with(step.name + "-");
      });
    }
  }
}

std::string Describe(World& world, const Step& step) {
  if (step.verb == Verb::kExpectRequest) {
    return "request state " +
           std::to_string(static_cast<int>(world.Request(step.name).state)) +
           ", starts " + std::to_string(world.oracle().Starts(step.name));
  }
  if (step.verb == Verb::kExpectChange) {
    const OperatorChange& change = world.Change(step.name);
    return "change state " + std::to_string(static_cast<int>(change.state)) +
           " " + change.reason;
  }
  if (step.verb == Verb::kExpectJob) {
    const CallerJob& job = world.Job(step.name);
    return "submission " + std::to_string(static_cast<int>(job.submit)) +
           ", state " +
           (job.state ? std::to_string(static_cast<int>(*job.state))
                      : std::string("none")) +
           ", tasks running " +
           std::to_string(world.oracle().Running(step.name)) + ", starts " +
           std::to_string(world.oracle().Starts(step.name));
  }
  return "starts " + std::to_string(world.oracle().Starts(step.name));
}

}  // namespace shallotlug::harness
