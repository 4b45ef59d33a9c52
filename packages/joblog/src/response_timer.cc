#include "shallotlug/joblog/response_timer.h"

#include <algorithm>

namespace shallotlug::joblog {

namespace {

constexpr Millis kShortest{300};
// A call that fails after a longer silence would delay the recovery from an
// outage by as much.
constexpr Millis kLongest{1'200};
constexpr Millis kInitial{600};
// Gains of RFC 6298, section 2: 1/8 and 1/4, and four times the variation.
constexpr int kSmoothingDivisor = 8;
constexpr int kVariationDivisor = 4;
constexpr int kVariations = 4;
constexpr int kMostDoublings = 2;

}  // namespace

Millis ResponseTimer::Timeout() const {
  const Millis base =
      sampled_ ? std::max(smoothed_ + kVariations * variation_, kShortest)
               : kInitial;
  return std::min(base * (1 << std::min(timeouts_, kMostDoublings)), kLongest);
}

void ResponseTimer::OnAnswer(Millis took) {
  if (!sampled_) {
    sampled_ = true;
    smoothed_ = took;
    variation_ = took / 2;
  } else {
    const Millis difference =
        took > smoothed_ ? took - smoothed_ : smoothed_ - took;
    variation_ += (difference - variation_) / kVariationDivisor;
    smoothed_ += (took - smoothed_) / kSmoothingDivisor;
  }
  timeouts_ = 0;
}

void ResponseTimer::OnTimeout() {
  ++timeouts_;
}

void ResponseTimer::OnAppend(AppendStatus status, Millis took) {
  if (status == AppendStatus::kDone) {
    OnAnswer(took);
  } else if (status == AppendStatus::kOutcomeUnknown && took >= Timeout()) {
    OnTimeout();
  }
}

}  // namespace shallotlug::joblog
