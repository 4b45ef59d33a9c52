#ifndef SHALLOTLUG_DECISION_RANDOM_H_
#define SHALLOTLUG_DECISION_RANDOM_H_

#include <cstdint>

namespace shallotlug::decision {

/// @brief Advances the state and returns the next number. Source: S. Vigna,
/// SplitMix64, public domain reference, 2015.
inline std::uint64_t NextRandom(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t z = state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_RANDOM_H_
