#ifndef SHALLOTLUG_ENTRY_SRC_RANDOM_H_
#define SHALLOTLUG_ENTRY_SRC_RANDOM_H_

#include <cstdint>

namespace shallotlug::entry {

/// @brief Returns the next SplitMix64 value and advances `state`. Source: S.
/// Vigna, "An experimental exploration of Marsaglia's xorshift generators,
/// scrambled", ACM TOMS 42(4), 2016.
inline std::uint64_t NextRandom(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15;
  std::uint64_t z = state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_RANDOM_H_
