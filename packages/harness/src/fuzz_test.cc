#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <cstdlib>
#include <fstream>
#include <set>

#include "shallotlug/harness/runner.h"

namespace shallotlug::harness {
namespace {

constexpr int kEntries = 3;
constexpr int kAgents = 4;

// What the generated steps so far have made.
struct Model {
  std::set<std::string> requests;
  std::set<std::string> jobs;
  int changes = 0;
};

// The commands write a scenario, which then runs as a whole: a failure is
// printed in the form in which it can be run again.
struct Recorder {
  Scenario scenario;
};

using Command = rc::state::Command<Model, Recorder>;

class StepCommand : public Command {
 public:
  StepCommand(Step step, Millis pause)
      : step_(std::move(step)), pause_(pause) {}

  void checkPreconditions(  // NOLINT(readability-identifier-naming)
      const Model& model) const override {
    switch (step_.verb) {
      case Verb::kSend:
      case Verb::kAsk:
        RC_PRE(model.requests.count(step_.name) == 0);
        break;
      case Verb::kRepeat:
      case Verb::kResolve:
      case Verb::kCancelRequest:
        RC_PRE(model.requests.count(step_.name) != 0);
        break;
      case Verb::kCancelJob:
        RC_PRE(model.jobs.count(step_.name) != 0);
        break;
      default:
        break;
    }
  }

  void apply(Model& model)  // NOLINT(readability-identifier-naming)
      const override {
    if (step_.verb == Verb::kSend || step_.verb == Verb::kAsk) {
      model.requests.insert(step_.name);
    } else if (step_.verb == Verb::kSubmit) {
      model.jobs.insert(step_.name);
    } else if (step_.verb == Verb::kSetTarget) {
      ++model.changes;
    }
  }

  void run(const Model& /*model*/,  // NOLINT(readability-identifier-naming)
           Recorder& recorder) const override {
    if (step_.verb == Verb::kSend) {
      Step mint;
      mint.verb = Verb::kMint;
      mint.name = step_.name;
      mint.a = step_.a;
      recorder.scenario.steps.push_back(mint);
    }
    recorder.scenario.steps.push_back(step_);
    if (pause_ > Millis(0)) {
      Step wait;
      wait.duration = pause_;
      recorder.scenario.steps.push_back(wait);
    }
  }

  void show(std::ostream& out)  // NOLINT(readability-identifier-naming)
      const override {
    out << ToString(step_);
  }

 private:
  Step step_;
  Millis pause_;  ///< After the step.
};

// Verbs that a property draws from, each as often as it is listed.
using Mix = std::vector<Verb>;

int Pick(int low, int high) {
  return *rc::gen::inRange(low, high + 1);
}

ProcessRef AnyEntry() {
  return {Role::kEntry, Pick(1, kEntries)};
}

ProcessRef AnyAgent() {
  return {Role::kAgent, Pick(1, kAgents)};
}

ProcessRef AnyProcess() {
  return Pick(0, 2) == 0 ? AnyEntry() : AnyAgent();
}

std::string Numbered(const char* prefix, std::size_t number) {
  return prefix + std::to_string(number);
}

std::string Existing(const char* prefix, std::size_t count) {
  return Numbered(prefix,
                  static_cast<std::size_t>(Pick(1, static_cast<int>(count))));
}

void AddRequestOptions(Step& step) {
  step.options["run"] = ToString(Millis(Pick(1, 20) * 100));
  step.options["timeout"] = ToString(Millis(Pick(2, 8) * 500));
  if (Pick(0, 3) == 0) {
    step.options["repeatable"] = "yes";
  }
  if (Pick(0, 9) == 0) {
    step.options["fails"] = "yes";
  }
}

void AddJobOptions(Step& step) {
  step.options["run"] = ToString(Millis(Pick(1, 10) * 1000));
  step.options["tasks"] = std::to_string(Pick(1, kAgents));
  step.options["accelerators"] = std::to_string(Pick(1, 8));
  if (Pick(0, 2) == 0) {
    step.options["repeatable"] = "no";
  }
  if (Pick(0, 1) == 0) {
    step.options["checkpointable"] = "yes";
  }
}

// Half of the steps follow one another at once.
Millis RandomPause() {
  constexpr int kPauses[] = {0, 0, 0, 0, 10, 100, 400, 1500};
  return Millis(kPauses[Pick(0, 7)]);
}

Step RandomStep(Verb verb, const Model& model) {
  Step step;
  step.verb = verb;
  step.a = AnyEntry();
  step.duration = Millis(Pick(1, 100) * 100);
  switch (verb) {
    case Verb::kKill:
    case Verb::kRestart:
    case Verb::kFreeze:
    case Verb::kShutdown:
      step.a = AnyProcess();
      break;
    case Verb::kDestroy:
    case Verb::kLeave:
    case Verb::kStay:
    case Verb::kFail:
    case Verb::kMend:
    case Verb::kCutAnswers:
    case Verb::kRestartWorker:
      step.a = AnyAgent();
      break;
    case Verb::kCut:
    case Verb::kSilence:
    case Verb::kBreak:
    case Verb::kDelay:
    case Verb::kLose:
    case Verb::kReplay:
      step.a = AnyProcess();
      step.b = AnyAgent();
      RC_PRE(step.a != step.b);
      step.within = Millis(Pick(1, 30) * 100);
      step.number = Pick(1, 50);
      break;
    case Verb::kLogSlow:
      step.within = Millis(Pick(1, 60) * 100);
      break;
    case Verb::kSend:
    case Verb::kAsk:
      step.name = Numbered("r", model.requests.size() + 1);
      AddRequestOptions(step);
      break;
    case Verb::kRepeat:
    case Verb::kResolve:
    case Verb::kCancelRequest:
      RC_PRE(!model.requests.empty());
      step.name = Existing("r", model.requests.size());
      break;
    case Verb::kSubmit:
      step.name = Numbered("j", model.jobs.size() + 1);
      AddJobOptions(step);
      break;
    case Verb::kCancelJob:
      RC_PRE(!model.jobs.empty());
      step.name = Existing("j", model.jobs.size());
      break;
    case Verb::kSetTarget:
      step.word = "live";
      step.name = Numbered("c", static_cast<std::size_t>(model.changes) + 1);
      step.options["kind"] = "live";
      step.options["finish_within"] = ToString(Millis(Pick(20, 60) * 100));
      break;
    default:
      break;
  }
  return step;
}

// Runs generated steps; a failure is printed as a scenario and also written to
// SHALLOTLUG_FUZZ_OUT, where the last one is the shrunk one.
void CheckSteps(const Mix& mix) {
  // By value: shrinking draws again after this function has returned.
  const auto next = [mix](const Model& model) {
    return rc::gen::exec([mix, model] {
      const Verb verb = mix[static_cast<std::size_t>(
          Pick(0, static_cast<int>(mix.size()) - 1))];
      return std::shared_ptr<const Command>(std::make_shared<StepCommand>(
          RandomStep(verb, model), RandomPause()));
    });
  };
  Step cluster;
  cluster.verb = Verb::kCluster;
  cluster.options = {{"entries", std::to_string(kEntries)},
                     {"agents", std::to_string(kAgents)},
                     {"seed", std::to_string(Pick(1, 100'000))}};
  Recorder recorder;
  recorder.scenario.steps.push_back(cluster);
  // Fuzzes a mutation: the run must then fail.
  if (const char* guard = std::getenv("SHALLOTLUG_WITHOUT")) {
    Step without;
    without.verb = Verb::kWithout;
    without.word = guard;
    recorder.scenario.steps.push_back(without);
  }
  const auto commands = *rc::state::gen::commands(Model{}, next);
  rc::state::runAll(commands, Model{}, recorder);
  const RunReport report = RunScenario(recorder.scenario);
  if (report.violations.empty()) {
    return;
  }
  const std::string text = "# " + ToString(report.violations.front()) + "\n" +
                           ToString(recorder.scenario);
  if (const char* path = std::getenv("SHALLOTLUG_FUZZ_OUT")) {
    std::ofstream(path) << text;
  }
  RC_FAIL(report.ToString() + "scenario:\n" + text);
}

// Guards against an unlucky interleaving on the live path: P3, P4, P5, P7.
RC_GTEST_PROP(FuzzTest, LiveRequests, ()) {
  CheckSteps({Verb::kSend,          Verb::kSend,      Verb::kSend,
              Verb::kAsk,           Verb::kAsk,       Verb::kRepeat,
              Verb::kRepeat,        Verb::kResolve,   Verb::kCancelRequest,
              Verb::kKill,          Verb::kRestart,   Verb::kFreeze,
              Verb::kShutdown,      Verb::kCut,       Verb::kSilence,
              Verb::kBreak,         Verb::kDelay,     Verb::kLose,
              Verb::kReplay,        Verb::kLeave,     Verb::kStay,
              Verb::kFail,          Verb::kMend,      Verb::kCutAnswers,
              Verb::kRestartWorker, Verb::kLogOutage, Verb::kWait,
              Verb::kWait,          Verb::kWait});
}

// Guards against a planned restart that costs a request its answer: P7. Faults
// would excuse the loss, so there are none besides an outage of the log.
RC_GTEST_PROP(FuzzTest, GracefulShutdowns, ()) {
  CheckSteps({Verb::kSend, Verb::kAsk, Verb::kAsk, Verb::kAsk, Verb::kRepeat,
              Verb::kSubmit, Verb::kShutdown, Verb::kShutdown, Verb::kLeave,
              Verb::kStay, Verb::kSetTarget, Verb::kLogOutage, Verb::kWait});
}

// Guards against gangs that run in part and jobs that are lost or run twice:
// P2, P5, P6.
RC_GTEST_PROP(FuzzTest, Jobs, ()) {
  CheckSteps({Verb::kSubmit,    Verb::kSubmit,    Verb::kSubmit,
              Verb::kSubmit,    Verb::kCancelJob, Verb::kKill,
              Verb::kDestroy,   Verb::kRestart,   Verb::kFreeze,
              Verb::kShutdown,  Verb::kCut,       Verb::kSilence,
              Verb::kBreak,     Verb::kDelay,     Verb::kLose,
              Verb::kReplay,    Verb::kLeave,     Verb::kStay,
              Verb::kFail,      Verb::kMend,      Verb::kRestartWorker,
              Verb::kLogOutage, Verb::kLogSlow,   Verb::kLogLosesAnswers,
              Verb::kWait,      Verb::kWait,      Verb::kWait});
}

// Guards against a configuration that is late, lost or goes back: P8.
RC_GTEST_PROP(FuzzTest, Configuration, ()) {
  CheckSteps({Verb::kSetTarget,
              Verb::kSetTarget,
              Verb::kSetTarget,
              Verb::kSetTarget,
              Verb::kKill,
              Verb::kRestart,
              Verb::kFreeze,
              Verb::kShutdown,
              Verb::kCut,
              Verb::kSilence,
              Verb::kBreak,
              Verb::kDelay,
              Verb::kLose,
              Verb::kReplay,
              Verb::kLogOutage,
              Verb::kLogSlow,
              Verb::kLogLosesAnswers,
              Verb::kWait,
              Verb::kWait,
              Verb::kWait});
}

// Guards against faults between the three: live work, jobs and configuration.
RC_GTEST_PROP(FuzzTest, Everything, ()) {
  CheckSteps({Verb::kSend,
              Verb::kAsk,
              Verb::kAsk,
              Verb::kRepeat,
              Verb::kSubmit,
              Verb::kSubmit,
              Verb::kCancelJob,
              Verb::kSetTarget,
              Verb::kKill,
              Verb::kDestroy,
              Verb::kRestart,
              Verb::kFreeze,
              Verb::kShutdown,
              Verb::kCut,
              Verb::kSilence,
              Verb::kBreak,
              Verb::kDelay,
              Verb::kLose,
              Verb::kReplay,
              Verb::kLeave,
              Verb::kFail,
              Verb::kRestartWorker,
              Verb::kLogOutage,
              Verb::kLogSlow,
              Verb::kLogLosesAnswers,
              Verb::kWait,
              Verb::kWait,
              Verb::kWait});
}

}  // namespace
}  // namespace shallotlug::harness
