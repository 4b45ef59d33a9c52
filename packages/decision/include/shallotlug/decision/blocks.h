#ifndef SHALLOTLUG_DECISION_BLOCKS_H_
#define SHALLOTLUG_DECISION_BLOCKS_H_

#include <bit>

#include "shallotlug/base/ids.h"

/// Aligned blocks of accelerators within one worker (buddy allocation).
namespace shallotlug::decision {

/// @brief Accelerators of the largest block; a worker has at most this many.
constexpr int kLargestBlock = 8;
/// @brief Block sizes are 1, 2, 4 and 8: levels 0 to 3.
constexpr int kLevels = 4;

/// @brief The smallest level whose block holds `accelerators`.
constexpr int LevelFor(int accelerators) {
  return accelerators <= 1 ? 0
                           : static_cast<int>(std::bit_width(
                                 static_cast<unsigned>(accelerators - 1)));
}

constexpr int BlockSize(int level) {
  return 1 << level;
}

/// @brief The lowest `count` bits.
constexpr AcceleratorMask LowMask(int count) {
  return count >= 32 ? ~AcceleratorMask{0} : (AcceleratorMask{1} << count) - 1;
}

/// @brief The aligned block of this level at block number `n`.
constexpr AcceleratorMask BlockAt(int level, int n) {
  return LowMask(BlockSize(level)) << (n * BlockSize(level));
}

/// @brief Number of aligned blocks of this level that `mask` contains whole.
constexpr int CountBlocks(AcceleratorMask mask, int level) {
  int count = 0;
  for (int n = 0; n < kLargestBlock / BlockSize(level); ++n) {
    const AcceleratorMask block = BlockAt(level, n);
    count += (mask & block) == block ? 1 : 0;
  }
  return count;
}

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_BLOCKS_H_
