#ifndef SHALLOTLUG_HARNESS_RANDOM_H_
#define SHALLOTLUG_HARNESS_RANDOM_H_

#include <cstdint>

namespace shallotlug::harness {

/// @brief SplitMix64 (Steele, Lea, Flood 2014): the same sequence on every
/// platform, unlike the distributions of the standard library.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
  }

  /// @brief A number in [0, bound); 0 when `bound` is not positive.
  int Below(int bound) {
    return bound <= 0
               ? 0
               : static_cast<int>(Next() % static_cast<std::uint64_t>(bound));
  }

  bool Chance(int percent) { return Below(100) < percent; }

 private:
  std::uint64_t state_;
};

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_RANDOM_H_
