#include "shallotlug/decision/live_route.h"

#include <algorithm>

#include "random.h"

namespace shallotlug::decision {
namespace {

/// Random draws before all candidates are looked at. With half of them usable,
/// both draws fail to hit in fewer than one of 1,000 calls.
constexpr int kMaxDraws = 12;

bool CanServe(const LiveCandidate& it, int accelerators) {
  return it.usable && !it.probing && it.live_capacity >= accelerators;
}

/// Requests sent since the last report are not part of the reported wait, so
/// they break ties by their load on the worker's capacity.
bool ShorterWait(const LiveCandidate& a, const LiveCandidate& b) {
  if (a.expected_wait != b.expected_wait) {
    return a.expected_wait < b.expected_wait;
  }
  return a.in_flight * std::max(1, b.live_capacity) <
         b.in_flight * std::max(1, a.live_capacity);
}

std::size_t RandomBelow(std::size_t count, std::uint64_t& random) {
  return static_cast<std::size_t>(NextRandom(random) % count);
}

/// The better of two distinct random candidates that match; the only one when
/// the draws found no other.
template <class Match>
std::optional<std::size_t> DrawTwo(const std::vector<LiveCandidate>& candidates,
                                   std::uint64_t& random,
                                   const Match& match) {
  std::optional<std::size_t> first;
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    const std::size_t n = RandomBelow(candidates.size(), random);
    if (!match(candidates[n]) || first == n) {
      continue;
    }
    if (!first) {
      first = n;
      continue;
    }
    return ShorterWait(candidates[n], candidates[*first]) ? n : *first;
  }
  return first;
}

/// Fallback when random draws found too few: the best of all that match.
template <class Match>
std::optional<std::size_t> BestOf(const std::vector<LiveCandidate>& candidates,
                                  const Match& match) {
  std::optional<std::size_t> best;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (match(candidates[n]) &&
        (!best || ShorterWait(candidates[n], candidates[*best]))) {
      best = n;
    }
  }
  return best;
}

}  // namespace

std::optional<std::size_t> RouteLive(
    const std::vector<LiveCandidate>& candidates,
    int accelerators,
    std::uint64_t& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto is_idle = [&](const LiveCandidate& it) {
    return CanServe(it, accelerators) && it.free >= accelerators &&
           it.expected_wait.count() == 0;
  };
  if (const auto chosen = DrawTwo(candidates, random, is_idle)) {
    return chosen;
  }
  const auto can_serve = [&](const LiveCandidate& it) {
    return CanServe(it, accelerators);
  };
  if (const auto chosen = DrawTwo(candidates, random, can_serve)) {
    return chosen;
  }
  if (const auto best = BestOf(candidates, can_serve)) {
    return best;
  }
  // A worker without capacity now may still queue the request; a worker under
  // probe is the last resort.
  if (const auto best = BestOf(candidates, [](const LiveCandidate& it) {
        return it.usable && !it.probing;
      })) {
    return best;
  }
  return BestOf(candidates, [](const LiveCandidate& it) {
    return it.usable && it.in_flight == 0;
  });
}

}  // namespace shallotlug::decision
