#include "shallotlug/harness/runner.h"

#include <algorithm>
#include <functional>
#include <memory>

#include "expectations.h"
#include "guard_switches.h"
#include "shallotlug/harness/world.h"
#include "step_options.h"
#include "step_work.h"

namespace shallotlug::harness {
namespace {

constexpr Millis kReadyLimit{20'000};
constexpr Millis kResubmitInterval{5000};
constexpr Millis kDiscoveryTime{5000};
constexpr Millis kMintLimit{2000};
// Longer than abandoning an attempt (15 s), a lease and several attempts.
constexpr Millis kSettleLimit{180'000};

class Runner {
 public:
  Runner(const Scenario& scenario, std::ostream* trace) : scenario_(scenario) {
    options_.trace = trace;
  }

  RunReport Run() {
    MakeWorld();
    if (Prepare()) {
      for (const Step& step : scenario_.steps) {
        RunStep(step);
      }
      Settle(kSettleLimit, "end of the scenario");
    }
    RunReport report;
    report.violations = world_->oracle().violations();
    report.simulated = world_->now();
    report.appends = world_->log().Appends();
    return report;
  }

 private:
  void MakeWorld() {
    const Step& cluster = scenario_.steps.front();
    options_.entries = std::max(1, NumberOption(cluster, "entries", 2));
    options_.agents = std::max(1, NumberOption(cluster, "agents", 4));
    options_.racks = std::max(1, NumberOption(cluster, "racks", 2));
    options_.seed =
        static_cast<std::uint64_t>(NumberOption(cluster, "seed", 1));
    options_.log_retention =
        DurationOption(cluster, "retention", options_.log_retention);
    for (const Step& step : scenario_.steps) {
      if (step.verb == Verb::kWithout) {
        DisableGuard(step.word, options_);
      }
    }
    world_ = std::make_unique<World>(options_);
  }

  // Sets the classes that steps use by default and waits until they are in
  // force, so that every scenario starts from a working cluster.
  bool Prepare() {
    bool ready = true;
    if (FlagOption(scenario_.steps.front(), "targets", true)) {
      ClassTarget live;
      live.name = ClassName("live");
      live.customer = CustomerName("salon");
      live.kind = WorkKind::kLive;
      live.finish_within = Millis(2000);
      ClassTarget batch;
      batch.name = ClassName("batch");
      batch.customer = CustomerName("archive");
      batch.finish_within = Millis(3'600'000);
      ready =
          Establish("default-live", live) && Establish("default-batch", batch);
    } else {
      world_->Advance(Millis(5000));
    }
    if (!ready) {
      world_->oracle().Report(Promise::kLiveness, world_->now(),
                              "the cluster did not become ready");
    }
    // Agents find the other entries meanwhile.
    world_->Advance(kDiscoveryTime);
    start_ = world_->now();
    return ready;
  }

  bool Establish(const std::string& name, const ClassTarget& target) {
    const Millis end = world_->now() + kReadyLimit;
    int attempt = 0;
    while (world_->now() < end) {
      const std::string id = name + "-" + std::to_string(++attempt);
      world_->SetTarget(id, target, 0, false, 1);
      world_->AdvanceUntil(Millis(5000), [&] {
        return world_->Change(id).state != ChangeState::kPending;
      });
      if (world_->Change(id).state == ChangeState::kAccepted) {
        return world_->AdvanceUntil(Millis(10'000), [&] {
          return world_->InForceEverywhere(world_->Change(id));
        });
      }
      world_->Advance(Millis(500));
    }
    return false;
  }

  void Fail(const Step& step, const std::string& why) {
    world_->oracle().Report(Promise::kExpectation, world_->now(),
                            scenario_.file + ":" + std::to_string(step.line) +
                                ": " + ToString(step) + ": " + why);
  }

  int Count(Role role) const {
    return role == Role::kEntry ? world_->entries() : world_->agents();
  }

  void ForEach(const Step& step,
               const ProcessRef& pattern,
               const std::function<void(const ProcessRef&)>& visit) {
    if (pattern.index > Count(pattern.role)) {
      Fail(step, "there is no " + ToString(pattern));
      return;
    }
    for (int index = 1; index <= Count(pattern.role); ++index) {
      if (pattern.index == 0 || pattern.index == index) {
        visit({pattern.role, index});
      }
    }
  }

  // The entry that a caller uses.
  int Through(const Step& step) {
    if (step.a.role != Role::kEntry || step.a.index < 1 ||
        step.a.index > world_->entries()) {
      Fail(step, "callers reach the system through one existing entry");
      return 1;
    }
    return step.a.index;
  }

  std::uint64_t BaseOf(const Step& step, const ClassName& name) {
    const std::string base = TextOption(step, "base", "current");
    return base == "current" ? world_->AcceptedVersion(name)
                             : std::stoull(base);
  }

  void RunStep(const Step& step) {
    if (step.at) {
      const Millis target = start_ + *step.at;
      if (target > world_->now()) {
        world_->Advance(target - world_->now());
      }
    }
    if (options_.trace != nullptr) {
      *options_.trace << world_->now().count() << " ms step: " << ToString(step)
                      << "\n";
    }
    if (step.verb >= Verb::kKill && step.verb <= Verb::kFreeze) {
      world_->ExcuseInFlight(world_->now() + step.duration);
      RunProcessFault(step);
    } else if (step.verb == Verb::kShutdown) {
      ForEach(step, step.a,
              [&](const ProcessRef& it) { world_->Shutdown(it); });
    } else if (step.verb >= Verb::kCut && step.verb <= Verb::kDamageAnswers) {
      world_->ExcuseInFlight(world_->now() + step.duration);
      RunLinkFault(step);
    } else if (step.verb >= Verb::kLogOutage &&
               step.verb <= Verb::kLogLosesAnswers) {
      RunLogFault(step);
    } else if (step.verb >= Verb::kLeave &&
               step.verb <= Verb::kCheckpointTime) {
      if (step.verb >= Verb::kFail && step.verb <= Verb::kRestartWorker) {
        world_->ExcuseInFlight(world_->now());
      }
      RunWorkerStep(step);
    } else if (step.verb >= Verb::kMint && step.verb <= Verb::kSubmitMany) {
      RunCallerStep(step);
    } else if (step.verb >= Verb::kExpectRequest) {
      RunExpectation(step);
    } else {
      RunOtherStep(step);
    }
  }

  void RunProcessFault(const Step& step) {
    ForEach(step, step.a, [&](const ProcessRef& process) {
      switch (step.verb) {
        case Verb::kKill:
          world_->Kill(process, false);
          break;
        case Verb::kDestroy:
          world_->Kill(process, true);
          break;
        case Verb::kRestart:
          world_->Restart(process);
          break;
        default:
          world_->Freeze(process, step.duration);
          break;
      }
    });
  }

  void RunLinkFault(const Step& step) {
    FakeNetwork& network = world_->network();
    const Millis now = world_->now();
    const Millis until = now + step.duration;
    switch (step.verb) {
      case Verb::kCut:
        network.AddFault(now, step.a, step.b, LinkFault::kCut, 1, until);
        break;
      case Verb::kSilence:
        network.Silence(step.a, step.b);
        break;
      case Verb::kBreak:
        network.Break(now, step.a, step.b);
        break;
      case Verb::kDelay:
        network.AddFault(now, step.a, step.b, LinkFault::kDelay,
                         static_cast<int>(step.within.count()), until);
        break;
      case Verb::kLose:
        network.AddFault(now, step.a, step.b, LinkFault::kLose, step.number,
                         until);
        break;
      case Verb::kDamageAnswers:
        world_->DamageAnswers(step.number, until);
        break;
      default:
        network.AddFault(now, step.a, step.b, LinkFault::kReplay, step.number,
                         until);
        break;
    }
  }

  void RunLogFault(const Step& step) {
    FakeLog& log = world_->log();
    const Millis until = world_->now() + step.duration;
    if (step.verb == Verb::kLogOutage) {
      log.SetOutage(until);
    } else if (step.verb == Verb::kLogSlow) {
      log.SetSlow(std::max(Millis(1), step.within), until);
    } else {
      log.SetLosesAnswers(until);
    }
  }

  void RunWorkerStep(const Step& step) {
    if (step.verb == Verb::kCheckpointTime) {
      for (int index = 1; index <= world_->agents(); ++index) {
        world_->worker(index).SetCheckpointTime(step.duration);
      }
      return;
    }
    ForEach(step, step.a, [&](const ProcessRef& process) {
      FakeWorker& worker = world_->worker(process.index);
      switch (step.verb) {
        case Verb::kLeave:
          worker.SetLeaving(world_->now(), true);
          break;
        case Verb::kStay:
          worker.SetLeaving(world_->now(), false);
          break;
        case Verb::kFail:
          worker.SetFailsAll(true);
          break;
        case Verb::kMend:
          worker.SetFailsAll(false);
          break;
        case Verb::kCutAnswers:
          worker.SetCutsAnswers(true);
          break;
        default:
          worker.Restart(world_->now());
          break;
      }
    });
  }

  void RunCallerStep(const Step& step) {
    const int entry = Through(step);
    const Millis timeout = DurationOption(step, "timeout", Millis(2000));
    switch (step.verb) {
      case Verb::kMint: {
        CallerRequest request = RequestOf(step);
        request.body.clear();
        world_->Request(step.name) = request;
        world_->Mint(step.name, entry);
        world_->AdvanceUntil(kMintLimit, [&] {
          return world_->Request(step.name).id.has_value();
        });
        break;
      }
      case Verb::kSend: {
        CallerRequest request = RequestOf(step);
        request.id = world_->Request(step.name).id;
        world_->DeclareRequest(request);
        world_->Send(step.name, entry, timeout);
        break;
      }
      case Verb::kRepeat:
        if (world_->HasRequest(step.name)) {
          world_->Send(step.name, entry, timeout);
        }
        break;
      case Verb::kAsk:
        world_->DeclareRequest(RequestOf(step));
        world_->Ask(step.name, entry, timeout);
        break;
      case Verb::kResolve:
      case Verb::kCancelRequest:
        if (world_->HasRequest(step.name)) {
          world_->Resolve(step.name, entry, step.verb == Verb::kCancelRequest);
        }
        break;
      case Verb::kSubmit:
        world_->Submit(JobOf(step, step.name), entry);
        break;
      case Verb::kSubmitMany:
        for (int index = 1; index <= step.number; ++index) {
          world_->Submit(JobOf(step, step.name + "-" + std::to_string(index)),
                         entry);
        }
        break;
      case Verb::kCancelJob:
        if (world_->HasJob(step.name)) {
          api::CancelJobsCall call;
          call.customer = world_->Job(step.name).call.spec.customer;
          call.ids = {world_->Job(step.name).id};
          world_->CancelJobs(call, entry);
        }
        break;
      default: {
        api::CancelJobsCall call;
        call.customer = CustomerName(TextOption(step, "customer", "archive"));
        call.job_class = ClassName(TextOption(step, "class", ""));
        world_->CancelJobs(call, entry);
        break;
      }
    }
  }

  void RunOtherStep(const Step& step) {
    switch (step.verb) {
      case Verb::kSetTarget:
      case Verb::kRemoveTarget: {
        const ClassTarget target = TargetOf(step);
        world_->SetTarget(step.name, target, BaseOf(step, target.name),
                          step.verb == Verb::kRemoveTarget, Through(step));
        break;
      }
      case Verb::kWait:
        world_->Advance(step.duration);
        break;
      case Verb::kCalm:
        world_->Calm();
        break;
      case Verb::kSettle:
        Settle(step.within, "settle");
        break;
      default:
        break;
    }
  }

  void RunExpectation(const Step& step) {
    if (step.verb == Verb::kExpectRequest && !world_->HasRequest(step.name)) {
      Fail(step, "there is no such request");
      return;
    }
    if ((step.verb == Verb::kExpectJob ||
         step.verb == Verb::kExpectReclaimed) &&
        !world_->HasJob(step.name)) {
      Fail(step, "there is no such job");
      return;
    }
    if (step.verb == Verb::kExpectChange && !world_->HasChange(step.name)) {
      Fail(step, "there is no such change");
      return;
    }
    if (world_->AdvanceUntil(step.within,
                             [&] { return Holds(*world_, step); })) {
      return;
    }
    if (step.verb == Verb::kExpectReclaimed) {
      world_->oracle().Report(
          Promise::kP1, world_->now(),
          "guaranteed shape of " + step.name + " was not reclaimed within " +
              std::to_string(step.within.count()) + " ms; " +
              std::to_string(world_->oracle().Running(step.name)) +
              " tasks run");
    } else {
      Fail(step, "does not hold; " + Describe(*world_, step));
    }
  }

  void Settle(Millis limit, const char* where) {
    world_->Calm();
    Millis next_try = world_->now() + kResubmitInterval;
    const bool done = world_->AdvanceUntil(limit, [&] {
      // A caller that does not know whether its job was accepted asks again
      // with the same key.
      if (world_->now() >= next_try) {
        next_try = world_->now() + kResubmitInterval;
        // A graceful shutdown may have ended meanwhile.
        world_->StartAll();
        for (const std::string& name : world_->UncertainJobs()) {
          world_->Submit(world_->Job(name), 1);
        }
      }
      return world_->AllCallsReplied() && world_->AllJobsFinal() &&
             world_->UncertainJobs().empty();
    });
    if (done) {
      return;
    }
    std::string what = std::string(where) + ": ";
    if (!world_->AllCallsReplied()) {
      what += "callers without a reply: " + world_->OpenCallNames() + "; ";
    }
    const std::vector<std::string> open = world_->UnfinishedJobs();
    for (const std::string& name : world_->UncertainJobs()) {
      what += name + " was never accepted or refused; ";
    }
    what += std::to_string(open.size()) + " jobs without a final state";
    for (std::size_t index = 0; index < std::min<std::size_t>(5, open.size());
         ++index) {
      what += (index == 0 ? ": " : ", ") + open[index];
    }
    world_->oracle().Report(Promise::kLiveness, world_->now(), what);
  }

  const Scenario& scenario_;
  WorldOptions options_;
  std::unique_ptr<World> world_;
  Millis start_{};
};

}  // namespace

bool RunReport::Broke(Promise promise) const {
  return std::any_of(
      violations.begin(), violations.end(),
      [&](const Violation& it) { return it.promise == promise; });
}

std::string RunReport::ToString() const {
  std::string text;
  for (const Violation& violation : violations) {
    text += harness::ToString(violation) + "\n";
  }
  return text;
}

RunReport RunScenario(const Scenario& scenario, std::ostream* trace) {
  return Runner(scenario, trace).Run();
}

}  // namespace shallotlug::harness
