#include "step_work.h"

#include "shallotlug/harness/workload.h"
#include "step_options.h"

namespace shallotlug::harness {
namespace {

Adjacency AdjacencyOf(const Step& step, const char* fallback) {
  const std::string text = TextOption(step, "within", fallback);
  return text == "worker" ? Adjacency::kWorker
         : text == "rack" ? Adjacency::kRack
         : text == "any"  ? Adjacency::kAny
                          : Adjacency::kDataCentre;
}

}  // namespace

CallerRequest RequestOf(const Step& step) {
  CallerRequest request;
  request.name = step.name;
  request.customer = CustomerName(TextOption(step, "customer", "salon"));
  request.request_class = ClassName(TextOption(step, "class", "live"));
  request.repeatable = FlagOption(step, "repeatable", false);
  request.body = ToBody({step.name, DurationOption(step, "run", Millis(100)),
                         FlagOption(step, "fails", false)});
  return request;
}

CallerJob JobOf(const Step& step, const std::string& name) {
  CallerJob job;
  job.name = name;
  job.call.key = name;
  JobSpec& spec = job.call.spec;
  spec.customer = CustomerName(TextOption(step, "customer", "archive"));
  spec.job_class = ClassName(TextOption(step, "class", "batch"));
  spec.shape.tasks = NumberOption(step, "tasks", 1);
  spec.shape.accelerators_per_task = NumberOption(step, "accelerators", 1);
  spec.shape.adjacency = AdjacencyOf(step, "any");
  const Millis run = DurationOption(step, "run", Millis(2000));
  spec.declared_run_time = DurationOption(step, "declared", run);
  spec.repeatable = FlagOption(step, "repeatable", true);
  spec.checkpointable = FlagOption(step, "checkpointable", false);
  spec.body = ToBody({name, run, FlagOption(step, "fails", false)});
  return job;
}

ClassTarget TargetOf(const Step& step) {
  ClassTarget target;
  target.name = ClassName(step.word);
  target.kind = TextOption(step, "kind", "batch") == "live" ? WorkKind::kLive
                                                            : WorkKind::kBatch;
  const bool live = target.kind == WorkKind::kLive;
  target.customer =
      CustomerName(TextOption(step, "customer", live ? "salon" : "archive"));
  target.finish_within =
      DurationOption(step, "finish_within", Millis(live ? 2000 : 3'600'000));
  target.accelerators = NumberOption(step, "accelerators", 1);
  target.guarantee.groups = NumberOption(step, "groups", 0);
  target.guarantee.accelerators = NumberOption(step, "per_group", 0);
  target.guarantee.within = AdjacencyOf(step, "worker");
  return target;
}

}  // namespace shallotlug::harness
