#ifndef SHALLOTLUG_ENTRY_SRC_BURN_RING_H_
#define SHALLOTLUG_ENTRY_SRC_BURN_RING_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "shallotlug/api/calls.h"
#include "shallotlug/base/clock.h"

namespace shallotlug::entry {

/// @brief Ring buffer that counts results in a sliding window of `Count`
/// buckets of `width` each.
template <std::size_t Count>
class BurnRing {
 public:
  explicit BurnRing(Millis width) : width_(width) {}

  void Add(TimePoint now, bool met) {
    const std::int64_t epoch = EpochOf(now);
    Bucket& it = buckets_[static_cast<std::size_t>(epoch) % Count];
    if (it.epoch != epoch) {
      it = {epoch, {}};
    }
    ++it.sum.total;
    it.sum.met += met ? 1 : 0;
  }

  api::BurnWindow Sum(TimePoint now) const {
    const std::int64_t epoch = EpochOf(now);
    api::BurnWindow sum;
    for (const Bucket& it : buckets_) {
      if (it.epoch > epoch - static_cast<std::int64_t>(Count)) {
        sum.total += it.sum.total;
        sum.met += it.sum.met;
      }
    }
    return sum;
  }

 private:
  struct Bucket {
    std::int64_t epoch = -1;
    api::BurnWindow sum;
  };

  // Offset by `Count`, so that an unused bucket (epoch -1) is older than every
  // window.
  std::int64_t EpochOf(TimePoint now) const {
    return now.time_since_epoch() / width_ + static_cast<std::int64_t>(Count);
  }

  Millis width_;
  std::array<Bucket, Count> buckets_{};
};

/// @brief Burn report windows of one class of a customer.
struct BurnCounts {
  BurnRing<30> five_minutes{Millis(10'000)};
  BurnRing<60> one_hour{Millis(60'000)};
  BurnRing<72> six_hours{Millis(300'000)};
};

/// @brief Identifies a class of a customer.
struct BurnKey {
  ClassName name;
  CustomerName customer;

  bool operator<(const BurnKey& other) const {
    return name == other.name ? customer < other.customer : name < other.name;
  }
};

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_BURN_RING_H_
