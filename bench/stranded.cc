// Measures the free accelerators that waiting work cannot use.
#include <algorithm>
#include <bit>
#include <map>
#include <string>

#include "loop.h"
#include "shallotlug/decision/blocks.h"

namespace shallotlug::bench::detail {

using decision::WorkerIndex;

int Loop::UsableBy(const JobShape& shape) const {
  std::map<std::string, int> blocks;
  const int level = decision::LevelFor(shape.accelerators_per_task);
  for (std::size_t n = 0; n < in_.workers.size(); ++n) {
    const decision::WorkerInfo& info = in_.workers[n];
    const std::string key =
        shape.adjacency == Adjacency::kRack     ? info.rack.value
        : shape.adjacency == Adjacency::kWorker ? info.agent.value
                                                : "";
    blocks[key] += decision::CountBlocks(FreeAt(n), level);
  }
  int usable = 0;
  for (const auto& [key, count] : blocks) {
    usable += count >= shape.tasks ? count * decision::BlockSize(level) : 0;
  }
  return usable;
}

AcceleratorMask Loop::FreeAt(std::size_t worker) const {
  return in_.faulty.contains(worker) ? 0 : cluster_.Free(WorkerIndex(worker));
}

void Loop::Sample() {
  int free = 0;
  for (std::size_t n = 0; n < in_.workers.size(); ++n) {
    free += std::popcount(FreeAt(n));
  }
  std::vector<JobShape> shapes;
  for (const WaitingJob& it : Waiting()) {
    shapes.push_back(it.shape);
  }
  for (const VersionedTarget& it : in_.targets.entries) {
    const Guarantee& guarantee = it.target.guarantee;
    for (int n = 0; n < guarantee.groups; ++n) {
      shapes.push_back({1, guarantee.accelerators, guarantee.within});
    }
  }
  double asked = 0;
  double stranded = 0;
  for (const JobShape& it : shapes) {
    const double weight = it.tasks * it.accelerators_per_task;
    asked += weight;
    stranded += weight * (free - UsableBy(it));
  }
  if (free > 0 && asked > 0) {
    stranded_ += stranded / asked / free;
    out_.stranded_accelerators += stranded / asked;
    ++samples_;
  }
  if (open_jobs_ > 0) {
    Push(now_ + kSampleInterval, Kind::kSample, 0, 0);
    WantPlan();
  }
}

void Loop::Finish() {
  out_.stranded_share = samples_ > 0 ? stranded_ / samples_ : 0;
  out_.stranded_accelerators /= std::max(1, samples_);
  out_.mean_completion =
      out_.finished > 0 ? completion_ / static_cast<double>(out_.finished) : 0;
}

}  // namespace shallotlug::bench::detail
