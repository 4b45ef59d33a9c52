// First fit in order of arrival, which the planner is compared with.
#include <utility>

#include "first_fit.h"
#include "loop.h"

namespace shallotlug::bench::detail {

void Loop::QueueRequest(std::size_t request) {
  fifo_.push_back(request);
  WantPlan();
}

bool Loop::StartFirstFitLive(std::size_t request) {
  for (std::size_t n = 0; n < in_.workers.size(); ++n) {
    if ((requests_[request].avoid >> n & 1U) == 0 && StartLive(request, n)) {
      return true;
    }
  }
  return false;
}

void Loop::StartLiveBefore(TimePoint time) {
  while (!fifo_.empty() && requests_[fifo_.front()].arrived <= time &&
         StartFirstFitLive(fifo_.front())) {
    fifo_.pop_front();
  }
}

void Loop::StartFirstFit() {
  std::uint64_t rows = 0;
  for (std::size_t n = 0; n < jobs_.size(); ++n) {
    Job& job = jobs_[n];
    if (job.state != State::kWaiting || job.waiting.not_before > now_) {
      continue;
    }
    StartLiveBefore(job.waiting.submitted);
    if (strict_ && !fifo_.empty() &&
        requests_[fifo_.front()].arrived <= job.waiting.submitted) {
      return;
    }
    std::vector<Allocation> tasks =
        FirstFit(cluster_, in_.workers.size(), job.waiting.shape,
                 job.waiting.failed_at, rows);
    if (!tasks.empty()) {
      Place(n, std::move(tasks), false);
    } else if (strict_) {
      return;
    }
  }
  StartLiveBefore(TimePoint::max());
}

}  // namespace shallotlug::bench::detail
