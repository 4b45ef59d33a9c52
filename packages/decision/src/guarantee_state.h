#ifndef SHALLOTLUG_DECISION_GUARANTEE_STATE_H_
#define SHALLOTLUG_DECISION_GUARANTEE_STATE_H_

#include <map>
#include <set>
#include <unordered_set>
#include <vector>

#include "capacity.h"
#include "guarantee_lines.h"
#include "tables.h"

namespace shallotlug::decision {

/// @brief An aligned block of one worker.
struct BlockRef {
  std::uint32_t worker = 0;
  AcceleratorMask mask = 0;

  auto operator<=>(const BlockRef&) const = default;
};

/// @brief One guarantee with the blocks that its customer's work occupies. A
/// bound block belongs to the customer as a whole.
struct LineState {
  GuaranteeLine line;
  std::set<BlockRef> bound;
  std::map<std::uint32_t, int> bound_by_domain;

  int GroupsUsed() const;
};

/// @brief Which work runs inside a guarantee, and what must stay reclaimable.
///
/// Work inside a guarantee and work that cannot be stopped is protected. The
/// rest of the capacity, minus bound blocks, is open; the invariant is that all
/// unused groups of all lines fit into the open capacity at once.
class GuaranteeState {
 public:
  GuaranteeState(const Cluster::Tables& tables,
                 std::vector<GuaranteeLine> lines);

  /// @brief Binds running work: first what cannot be stopped, then the rest in
  /// order of start, as far as the unused groups of all lines still fit.
  void Derive();

  bool Feasible() const { return open_.Holds(Unused()); }
  Needs Unused() const;
  const Capacity& open() const { return open_; }
  const std::vector<LineState>& lines() const { return lines_; }
  const std::vector<std::size_t>& LinesOfCustomer(
      const CustomerName& customer) const;

  bool IsHeld(const RunningJob& job) const { return held_.contains(&job); }
  /// @brief Accelerators that may not be reclaimed.
  AcceleratorMask protected_mask(std::uint32_t worker) const {
    return protected_[worker];
  }
  std::uint32_t DomainOf(const GuaranteeLine& line, std::uint32_t worker) const;

  /// @brief Binds the blocks that contain these tasks to a line and protects
  /// the tasks. Changes nothing and returns false if a block is not available
  /// or the line has no group left.
  bool TryBind(std::size_t line, const std::vector<Allocation>& tasks);
  /// @brief Protects tasks outside every guarantee.
  void Protect(const std::vector<Allocation>& tasks);
  /// @brief Undoes Protect.
  void Unprotect(const std::vector<Allocation>& tasks);

 private:
  void BindPinned();
  bool HoldAll();
  void HoldEach();
  bool TryHold(const RunningJob& job);
  bool BlockIsAvailable(const CustomerName& customer,
                        const BlockRef& block,
                        AcceleratorMask task) const;
  void SetOpen(std::uint32_t worker);
  std::vector<const RunningJob*> HoldCandidates() const;

  const Cluster::Tables* tables_;
  std::vector<LineState> lines_;
  std::map<CustomerName, std::vector<std::size_t>> by_customer_;
  std::vector<AcceleratorMask> base_;
  std::vector<AcceleratorMask> protected_;
  std::vector<AcceleratorMask> bound_;
  std::unordered_set<const RunningJob*> held_;
  Capacity open_;
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_GUARANTEE_STATE_H_
