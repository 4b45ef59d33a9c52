#ifndef SHALLOTLUG_DECISION_GUARANTEE_STATE_H_
#define SHALLOTLUG_DECISION_GUARANTEE_STATE_H_

#include <map>
#include <optional>
#include <set>
#include <tuple>
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

  bool operator==(const BlockRef&) const = default;
  bool operator<(const BlockRef& other) const {
    return std::tie(worker, mask) < std::tie(other.worker, other.mask);
  }
};

/// @brief One guarantee with the blocks that its customer's work occupies. A
/// bound block belongs to the customer as a whole.
struct LineState {
  GuaranteeLine line;
  std::set<BlockRef> bound;
  std::map<std::uint32_t, int> bound_by_domain;
  /// Cleared when failed workers leave no room for the rest of a group.
  bool keeps_group_whole = true;

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
  const Capacity& Open() const { return open_; }
  const std::vector<LineState>& Lines() const { return lines_; }
  /// @brief The line of a class, if it has a guarantee. Work of the customer's
  /// other classes does not use it: one small job would bind a whole group.
  std::optional<std::size_t> LineOfClass(const ClassName& name) const;

  bool IsHeld(const RunningJob& job) const { return held_.contains(&job); }
  /// @brief Accelerators that may not be reclaimed.
  AcceleratorMask ProtectedMask(std::uint32_t worker) const {
    return protected_[worker];
  }
  std::uint32_t DomainOf(const GuaranteeLine& line, std::uint32_t worker) const;

  /// @brief Binds the blocks that contain these tasks to a line and protects
  /// the tasks. Changes nothing and returns false if a block is not available
  /// or the line has no group left.
  bool TryBind(std::size_t line, const std::vector<Allocation>& tasks);
  /// @brief TryBind, undone unless the unused groups of all lines still fit.
  bool TryBindSafely(std::size_t line, const std::vector<Allocation>& tasks);
  /// @brief Protects tasks outside every guarantee.
  void Protect(const std::vector<Allocation>& tasks);
  /// @brief Undoes Protect.
  void Unprotect(const std::vector<Allocation>& tasks);

 private:
  /// Work of one class on one worker that cannot be stopped.
  struct PinnedGroup {
    std::vector<const RunningJob*> jobs;
    bool is_bound = true;
  };

  void BindPinned();
  void GiveUpShortGroups();
  std::vector<PinnedGroup> PinnedGroups() const;
  bool BindGroups(const std::vector<PinnedGroup>& groups);
  bool SearchBinding(std::vector<PinnedGroup>& groups,
                     std::size_t first,
                     int differences,
                     int& tries);
  bool HoldAll(bool safely);
  bool TryHold(const RunningJob& job, bool safely);
  bool BlockIsAvailable(const CustomerName& customer,
                        const BlockRef& block,
                        AcceleratorMask task) const;
  void SetOpen(std::uint32_t worker);
  bool CollectBlocks(std::size_t line,
                     const std::vector<Allocation>& tasks,
                     std::vector<BlockRef>& blocks) const;
  void AddBlocks(LineState& state, const std::vector<BlockRef>& blocks);
  void RemoveBlocks(LineState& state, const std::vector<BlockRef>& blocks);
  std::vector<const RunningJob*> HoldCandidates() const;

  const Cluster::Tables* tables_;
  std::vector<LineState> lines_;
  std::map<ClassName, std::size_t> by_class_;
  std::vector<AcceleratorMask> base_;
  std::vector<AcceleratorMask> protected_;
  std::vector<AcceleratorMask> bound_;
  std::unordered_set<const RunningJob*> held_;
  Capacity open_;
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_GUARANTEE_STATE_H_
