#include "test_state.h"

#include <algorithm>
#include <bit>
#include <map>
#include <set>

#include "shallotlug/decision/blocks.h"

namespace shallotlug::decision {
namespace {

const WaitingJob* Find(const std::vector<WaitingJob>& jobs, const JobId& id) {
  const auto it = std::find_if(jobs.begin(), jobs.end(),
                               [&](const WaitingJob& j) { return j.id == id; });
  return it == jobs.end() ? nullptr : &*it;
}

bool IsAligned(AcceleratorMask mask, int accelerators) {
  const int size = BlockSize(LevelFor(accelerators));
  return std::popcount(mask) == accelerators &&
         std::countr_zero(mask) % size == 0 &&
         (mask >> std::countr_zero(mask)) == LowMask(accelerators);
}

std::string DomainName(const WorkerInfo& info, Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return info.agent.value;
    case Adjacency::kRack:
      return info.data_centre.value + "/" + info.rack.value;
    case Adjacency::kDataCentre:
      return info.data_centre.value;
    case Adjacency::kAny:
      return "";
  }
  return "";
}

/// Checks the shape of one placement.
std::string ShapeFault(const Cluster& cluster,
                       const Placement& placement,
                       const JobShape& shape) {
  std::set<std::string> domains;
  for (const Allocation& it : placement.tasks) {
    if (!IsAligned(it.mask, shape.accelerators_per_task)) {
      return "mask is not an aligned block";
    }
    domains.insert(DomainName(cluster.Info(it.worker), shape.adjacency));
  }
  if (static_cast<int>(placement.tasks.size()) != shape.tasks) {
    return "placed only in part";
  }
  return domains.size() == 1 ? "" : "not adjacent";
}

}  // namespace

TestState::TestState(std::uint64_t seed) : random_(seed) {
  workers_ = 4 + Below(9);
  for (int n = 0; n < workers_; ++n) {
    cluster_.AddWorker({AgentName("w" + std::to_string(n)),
                        DataCentreName("d" + std::to_string(n / 6)),
                        RackName("r" + std::to_string(n / 3))});
  }
  AddTargets();
  marks_stopping = Below(2) == 0;
}

void TestState::AddTargets() {
  for (int n = 0; n < 6; ++n) {
    ClassTarget target;
    target.name = ClassName("c" + std::to_string(n));
    target.customer = CustomerName("t" + std::to_string(n % 4));
    target.finish_within = Millis(1000 * (1 + Below(1000)));
    const int size = Below(5);
    target.guarantee = {1 + Below(3), size == 4 ? 16 : 1 << size,
                        size == 4 ? Adjacency::kRack : Adjacency::kWorker};
    targets_.entries.push_back({target, 1, false});
    if (!CheckGuarantees(cluster_, targets_).empty()) {
      targets_.entries.back().target.guarantee = {};
    }
  }
}

WaitingJob TestState::RandomJob() {
  const ClassTarget& target =
      targets_.entries[static_cast<std::size_t>(Below(6))].target;
  WaitingJob job;
  job.id = NewId();
  job.customer = target.customer;
  job.job_class = target.name;
  job.shape = {1 + Below(4) * Below(2), 1 + Below(8),
               static_cast<Adjacency>(Below(4))};
  job.repeatable = Below(3) != 0;
  job.checkpointable = job.repeatable && Below(2) == 0;
  job.submitted = now_;
  job.declared_run_time = Millis(1000 * (1 + Below(100)));
  return job;
}

std::vector<WaitingJob> TestState::GuaranteeRequests(
    const CustomerName& customer) {
  std::vector<WaitingJob> jobs;
  for (const VersionedTarget& it : targets_.entries) {
    const Guarantee& guarantee = it.target.guarantee;
    for (int n = 0; it.target.customer == customer && n < guarantee.groups;
         ++n) {
      WaitingJob job = RandomJob();
      job.customer = customer;
      job.job_class = it.target.name;
      const auto levels = static_cast<int>(
          std::bit_width(static_cast<unsigned>(guarantee.accelerators)));
      const int tasks = 1 << Below(levels);
      job.shape = {std::max(tasks, guarantee.accelerators / kLargestBlock), 0,
                   guarantee.within};
      job.shape.accelerators_per_task =
          guarantee.accelerators / job.shape.tasks;
      jobs.push_back(job);
    }
  }
  return jobs;
}

Plan TestState::MakeCheckedPlan(const std::vector<WaitingJob>& waiting,
                                std::string& fault) const {
  Plan plan = MakePlan(cluster_, waiting, targets_, {}, options, now_);
  std::map<WorkerIndex, AcceleratorMask> taken;
  for (const Preemption& it : plan.preemptions) {
    const RunningJob* job = cluster_.FindJob(it.job);
    if (job == nullptr || !job->repeatable || job->stopping) {
      fault = "stops " + it.job.value + ", which may not be stopped";
    }
  }
  for (const Placement& it : plan.placements) {
    const std::string shape_fault =
        ShapeFault(cluster_, it, Find(waiting, it.job)->shape);
    fault = shape_fault.empty() ? fault : it.job.value + ": " + shape_fault;
    for (const Allocation& task : it.tasks) {
      AcceleratorMask free = cluster_.Free(task.worker);
      for (const JobId& id : it.victims) {
        for (const Allocation& other : cluster_.FindJob(id)->tasks) {
          free |= other.worker == task.worker ? other.mask : 0;
        }
      }
      for (const JobId& id : running_) {
        const RunningJob* job = cluster_.FindJob(id);
        const bool is_victim =
            std::count(it.victims.begin(), it.victims.end(), id) > 0;
        for (const Allocation& other : job->tasks) {
          free &= !is_victim && other.worker == task.worker ? ~other.mask : ~0U;
        }
      }
      if ((task.mask & ~free) != 0 || (task.mask & taken[task.worker]) != 0) {
        fault = it.job.value + " overlaps other work";
      }
      taken[task.worker] |= task.mask;
    }
  }
  return plan;
}

void TestState::ApplyPlan(const Plan& plan,
                          const std::vector<WaitingJob>& waiting) {
  for (const Preemption& it : plan.preemptions) {
    RunningJob job = *cluster_.FindJob(it.job);
    job.stopping = true;
    if (marks_stopping) {
      cluster_.AddJob(job);
    } else {
      cluster_.RemoveJob(it.job);
      std::erase(running_, it.job);
    }
  }
  for (const Placement& it : plan.placements) {
    const WaitingJob& job = *Find(waiting, it.job);
    cluster_.AddJob({{it.job, 1},
                     job.customer,
                     job.job_class,
                     job.shape,
                     job.repeatable,
                     job.checkpointable,
                     false,
                     now_,
                     job.declared_run_time,
                     0,
                     it.tasks});
    running_.push_back(it.job);
  }
}

void TestState::EndRandomJobs() {
  std::vector<JobId> kept;
  for (const JobId& it : running_) {
    const bool stops = cluster_.FindJob(it)->stopping && Below(2) == 0;
    if (stops || Below(8) == 0) {
      cluster_.RemoveJob(it);
    } else {
      kept.push_back(it);
    }
  }
  running_ = std::move(kept);
}

std::string TestState::Advance() {
  now_ += Millis(1 + Below(60'000));
  std::vector<WaitingJob> waiting;
  for (int n = Below(6); n >= 0; --n) {
    waiting.push_back(RandomJob());
  }
  std::string fault;
  ApplyPlan(MakeCheckedPlan(waiting, fault), waiting);
  EndRandomJobs();
  return fault;
}

std::vector<JobId> TestState::RequestWholeGuarantee() {
  const CustomerName customer("t" + std::to_string(Below(4)));
  std::vector<JobId> kept;
  for (const JobId& it : running_) {
    if (cluster_.FindJob(it)->customer == customer) {
      cluster_.RemoveJob(it);
    } else {
      kept.push_back(it);
    }
  }
  running_ = std::move(kept);
  now_ += Millis(1);
  const std::vector<WaitingJob> requests = GuaranteeRequests(customer);
  std::vector<WaitingJob> waiting = requests;
  // Another customer's burst; the customer's own would use up its guarantee.
  for (int n = Below(4); n > 0; --n) {
    const WaitingJob job = RandomJob();
    if (job.customer != customer) {
      waiting.push_back(job);
    }
  }
  std::string fault;
  const Plan plan = MakeCheckedPlan(waiting, fault);
  std::vector<JobId> missing;
  for (const WaitingJob& it : requests) {
    const bool placed = std::any_of(
        plan.placements.begin(), plan.placements.end(),
        [&](const Placement& placement) { return placement.job == it.id; });
    if (!placed) {
      missing.push_back(it.id);
    }
  }
  if (!fault.empty()) {
    missing.push_back(JobId(fault));
  }
  ApplyPlan(plan, waiting);
  return missing;
}

}  // namespace shallotlug::decision
