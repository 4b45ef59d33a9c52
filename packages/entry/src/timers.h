#ifndef SHALLOTLUG_ENTRY_SRC_TIMERS_H_
#define SHALLOTLUG_ENTRY_SRC_TIMERS_H_

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "shallotlug/base/clock.h"

namespace shallotlug::entry {

/// @brief Priority queue of keys by due time. Keys cannot be cancelled; the
/// caller of `TakeDue` must check whether the key still applies.
template <class Key>
class Timers {
 public:
  void Add(TimePoint at, Key key) { heap_.push({at, std::move(key)}); }

  std::optional<Key> TakeDue(TimePoint now) {
    if (heap_.empty() || heap_.top().first > now) {
      return std::nullopt;
    }
    Key key = heap_.top().second;
    heap_.pop();
    return key;
  }

 private:
  using Item = std::pair<TimePoint, Key>;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> heap_;
};

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_TIMERS_H_
