// Live requests of the event loop.
#include <algorithm>
#include <bit>
#include <utility>

#include "loop.h"
#include "shallotlug/decision/blocks.h"
#include "shallotlug/decision/live_route.h"

namespace shallotlug::bench::detail {

using decision::WorkerIndex;

namespace {

constexpr Millis kLiveFailure{20};

}  // namespace

int Loop::ThrottleRoom(std::size_t worker) const {
  AcceleratorMask mask = 0;
  for (const std::size_t n : running_) {
    const Job& job = jobs_[n];
    if (job.state == State::kRunning && job.tasks.size() == 1 &&
        job.tasks[0].worker == WorkerIndex(worker)) {
      mask |= job.tasks[0].mask;
    }
  }
  return std::popcount(mask & ~live_masks_[worker]);
}

bool Loop::IsUsable(std::size_t worker) const {
  return decision::StateOf(health_, in_.workers[worker].agent) ==
         decision::HealthState::kHealthy;
}

bool Loop::WaitsForever(std::size_t worker) const {
  return live_masks_[worker] == 0 && ThrottleRoom(worker) == 0 &&
         cluster_.Free(WorkerIndex(worker)) == 0;
}

void Loop::RouteRequest(std::size_t request) {
  std::vector<decision::LiveCandidate> candidates;
  for (std::size_t n = 0; n < in_.workers.size(); ++n) {
    decision::LiveCandidate it;
    it.usable = IsUsable(n);
    it.free = std::popcount(cluster_.Free(WorkerIndex(n)));
    it.live_capacity = it.free + ThrottleRoom(n);
    it.in_flight = std::popcount(live_masks_[n]);
    it.expected_wait = WaitsForever(n)
                           ? Millis(std::chrono::hours(1))
                           : Millis(100) * static_cast<int>(queues_[n].size());
    candidates.push_back(it);
  }
  const auto chosen =
      decision::RouteLive(candidates, in_.live_accelerators, random_);
  const std::size_t worker = chosen.value_or(0);
  if (!StartLive(request, worker)) {
    // One class and one target, so arrival order is deadline order.
    queues_[worker].push_back(request);
  }
}

AcceleratorMask Loop::PickFree(AcceleratorMask free, int count) {
  AcceleratorMask mask = 0;
  for (int n = 0; n < count; ++n) {
    AcceleratorMask best = 0;
    int best_loss = 100;
    for (int bit = 0; bit < decision::kLargestBlock; ++bit) {
      const AcceleratorMask one = AcceleratorMask{1} << bit;
      int loss = 0;
      for (int level = 1; level < decision::kLevels; ++level) {
        loss += decision::CountBlocks(free, level) -
                decision::CountBlocks(free & ~one, level);
      }
      if ((free & one) != 0 && loss < best_loss) {
        best = one;
        best_loss = loss;
      }
    }
    mask |= best;
    free &= ~best;
  }
  return mask;
}

bool Loop::StartLive(std::size_t request, std::size_t worker) {
  const AcceleratorMask free = cluster_.Free(WorkerIndex(worker));
  LiveRun run{request, worker, 0, {}};
  const int wanted = in_.live_accelerators;
  run.mask = PickFree(free, std::min(wanted, std::popcount(free)));
  int missing = wanted - std::popcount(run.mask);
  if (missing > 0 && (!planner_ || ThrottleRoom(worker) < missing)) {
    return false;
  }
  while (missing > 0) {
    Throttle(run, missing);
  }
  live_masks_[worker] |= run.mask;
  cluster_.SetLiveUse(WorkerIndex(worker), live_masks_[worker]);
  const Millis time =
      in_.faulty.contains(worker) ? kLiveFailure : requests_[request].service;
  Push(now_ + time, Kind::kLiveEnd, runs_.size(), 0);
  runs_.push_back(std::move(run));
  return true;
}

void Loop::Throttle(LiveRun& run, int& missing) {
  std::size_t chosen = 0;
  std::pair<bool, int> best(true, 100);
  AcceleratorMask room = 0;
  for (const std::size_t n : running_) {
    const Job& job = jobs_[n];
    if (job.state != State::kRunning || job.tasks.size() != 1 ||
        job.tasks[0].worker != WorkerIndex(run.worker)) {
      continue;
    }
    const AcceleratorMask mask =
        job.tasks[0].mask & ~live_masks_[run.worker] & ~run.mask;
    const std::pair key(job.throttled_by == 0,
                        std::popcount(job.tasks[0].mask));
    if (mask != 0 && key < best) {
      best = key;
      chosen = n;
      room = mask;
    }
  }
  Job& job = jobs_[chosen];
  Progress(job);
  ++job.throttled_by;
  ++job.version;
  run.throttled.emplace_back(chosen, job.attempt);
  while (room != 0 && missing > 0) {
    run.mask |= room & (~room + 1);
    room &= room - 1;
    --missing;
  }
}

void Loop::EndLive(std::size_t n) {
  const LiveRun run = runs_[n];
  live_masks_[run.worker] &= ~run.mask;
  cluster_.SetLiveUse(WorkerIndex(run.worker), live_masks_[run.worker]);
  for (const auto& [row, attempt] : run.throttled) {
    Job& job = jobs_[row];
    if (job.attempt == attempt && job.state == State::kRunning) {
      Progress(job);
      --job.throttled_by;
      Resume(row);
    }
  }
  const bool failed = in_.faulty.contains(run.worker);
  Record(run.worker, JobId(), !failed);
  if (failed) {
    requests_[run.request].avoid |= 1U << run.worker;
    planner_ ? RouteRequest(run.request) : QueueRequest(run.request);
  } else {
    const auto latency =
        static_cast<double>((now_ - requests_[run.request].arrived).count());
    out_.live_latency.push_back(latency);
    out_.live_in_target +=
        latency <= static_cast<double>(in_.live_target.count()) ? 1 : 0;
  }
  AfterChange();
}

void Loop::DrainQueues() {
  for (std::size_t n = 0; n < queues_.size(); ++n) {
    while (!queues_[n].empty() && StartLive(queues_[n].front(), n)) {
      queues_[n].pop_front();
    }
  }
  RerouteRefused();
}

void Loop::RerouteRefused() {
  std::vector<std::size_t> refused;
  for (std::size_t n = 0; n < queues_.size(); ++n) {
    if (WaitsForever(n)) {
      refused.insert(refused.end(), queues_[n].begin(), queues_[n].end());
      queues_[n].clear();
    }
  }
  for (const std::size_t it : refused) {
    RouteRequest(it);
  }
}

}  // namespace shallotlug::bench::detail
