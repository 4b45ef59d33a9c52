#include "shallotlug/joblog/response_timer.h"

#include <algorithm>

namespace shallotlug::joblog {

namespace {

constexpr Millis kMinTimeout{300};
// A longer timeout would delay the recovery from an outage by as much.
constexpr Millis kMaxTimeout{1'200};
constexpr Millis kInitialTimeout{600};
// RFC 6298, section 2: gains of 1/8 and 1/4, and four times the variation.
constexpr int kSmoothingDivisor = 8;
constexpr int kVariationDivisor = 4;
constexpr int kVariationFactor = 4;
constexpr int kMaxDoublings = 2;

}  // namespace

Millis ResponseTimer::Timeout() const {
  const Millis base =
      has_sample_
          ? std::max(smoothed_ + kVariationFactor * variation_, kMinTimeout)
          : kInitialTimeout;
  return std::min(base * (1 << std::min(timeouts_, kMaxDoublings)),
                  kMaxTimeout);
}

void ResponseTimer::OnAnswer(Millis took) {
  if (!has_sample_) {
    has_sample_ = true;
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
