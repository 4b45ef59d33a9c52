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

/// @brief Blocks bound by one customer's work inside guarantees.
struct CustomerBinding {
  std::set<std::pair<std::size_t, BlockRef>> blocks;  ///< By line.
  std::set<const RunningJob*> held;
};

/// @brief Changes of a customer's work that are not yet applied to a
/// GuaranteeState.
struct CustomerChange {
  bool rebind = false;              ///< All its work has to be bound again.
  std::vector<JobId> appended;      ///< New work that comes after all other.
  std::set<std::uint32_t> workers;  ///< Those of held jobs that ended.
  /// The binding before it was undone.
  std::optional<CustomerBinding> before;
};
/// In the order in which customers are bound.
using CustomerChanges = std::map<CustomerName, CustomerChange>;

/// @brief Which work runs inside a guarantee, and what must stay reclaimable.
///
/// Work inside a guarantee and non-preemptible work is protected. The rest of
/// the capacity, minus bound blocks, is open; the invariant is that all unused
/// groups of all lines fit into the open capacity at once.
class GuaranteeState {
 public:
  GuaranteeState(const Cluster::Tables& tables,
                 std::vector<GuaranteeLine> lines);

  /// @brief Binds running work: non-preemptible work first, then the rest in
  /// order of start, as far as the unused groups of all lines still fit.
  void Derive();

  /// @brief Whether Update gives the same result as Derive: all work was bound
  /// in the preferred order.
  bool IsIncremental() const { return is_incremental_; }
  /// @brief Removes a held preemptible job that is about to end.
  void RemoveHeldJob(const RunningJob& job, CustomerChange& change);
  /// @brief Applies a change of a worker on which all work is preemptible.
  void RefreshCapacity(std::uint32_t worker, CustomerChanges& changes);
  /// @brief Whether all unused groups fit beside the non-preemptible work. If
  /// not, Derive binds it in another way.
  bool PinnedFeasible() const { return pinned_open_.Holds(pinned_unused_); }
  /// @brief Applies changes of preemptible work and clears them. If the state
  /// is not feasible afterwards, it has to be derived from scratch.
  void Update(CustomerChanges& changes, std::uint64_t& examined);

  /// @brief Undoes TryBind, TryBindSafely, Protect and Unprotect back to a
  /// savepoint. They are recorded after the first call of Savepoint.
  std::size_t Savepoint();
  void RollBackTo(std::size_t savepoint);

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
  /// Non-preemptible work of one class on one worker.
  struct PinnedGroup {
    std::vector<const RunningJob*> jobs;
    bool is_bound = true;
  };

  bool BindPinned();
  void DropInfeasibleGroups();
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

  void Rebind(const CustomerName& customer,
              CustomerChanges& changes,
              std::set<std::uint32_t>& touched,
              std::uint64_t& examined);
  void BindCustomer(const CustomerName& customer,
                    CustomerChanges& changes,
                    std::uint64_t& examined);
  const std::vector<std::size_t>& LinesOfCustomer(
      const CustomerName& customer) const;
  bool IsFull(const CustomerName& customer) const;
  std::set<JobOrder> JobsInBoundBlocks(const CustomerName& customer,
                                       std::uint64_t& examined) const;
  void Unbind(const CustomerName& customer, CustomerChange& change);
  CustomerBinding BindingOf(const CustomerName& customer) const;
  void Append(const RunningJob& job,
              CustomerChanges& changes,
              std::set<std::uint32_t>& touched);
  void UnbindLaterCustomers(const RunningJob& job, CustomerChanges& changes);
  std::size_t IndexOf(const LineState& state) const {
    return static_cast<std::size_t>(&state - lines_.data());
  }
  bool IsCandidate(const RunningJob& job) const;
  void RefreshProtected(std::uint32_t worker);
  void SetProtected(std::uint32_t worker, AcceleratorMask mask);

  /// A block that was bound or unbound, or a mask that was protected before.
  struct Undo {
    std::optional<std::size_t> line;
    bool added = false;
    BlockRef block;
  };

  const Cluster::Tables* tables_;
  std::vector<LineState> lines_;
  std::map<ClassName, std::size_t> by_class_;
  std::map<CustomerName, std::vector<std::size_t>> by_owner_;
  std::vector<AcceleratorMask> base_;
  std::vector<AcceleratorMask> protected_;
  std::vector<AcceleratorMask> bound_;
  std::unordered_set<const RunningJob*> held_;
  /// Held preemptible jobs.
  std::map<CustomerName, std::set<const RunningJob*>> held_by_customer_;
  /// Blocks of each line that are bound by non-preemptible work.
  std::vector<std::set<BlockRef>> pinned_blocks_;
  /// The open capacity and the unused groups when only that work was bound.
  Capacity pinned_open_;
  Needs pinned_unused_;
  bool is_incremental_ = false;
  bool is_recording_ = false;
  std::vector<Undo> undo_log_;
  Capacity open_;
};

namespace detail {

/// @brief The aligned block of this level that contains the mask, or an empty
/// one.
AcceleratorMask BlockAround(AcceleratorMask mask, int level);

}  // namespace detail

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_GUARANTEE_STATE_H_
