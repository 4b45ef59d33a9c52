#ifndef SHALLOTLUG_DECISION_GUARANTEED_H_
#define SHALLOTLUG_DECISION_GUARANTEED_H_

#include <array>
#include <optional>
#include <set>
#include <vector>

#include "guarantee_state.h"
#include "packer.h"
#include "reclaim_index.h"
#include "shallotlug/decision/plan.h"

namespace shallotlug::decision {

/// @brief Places requests that lie inside their customer's guarantee, by
/// stopping other work where needed.
///
/// Every step binds one block and keeps all unused groups placeable, so a
/// request inside its guarantee always finds a block: the one that the check
/// of the remaining groups reserved for it.
class GuaranteedPlacer {
 public:
  GuaranteedPlacer(const Cluster::Tables& tables,
                   GuaranteeState& state,
                   FreeIndexTransaction& transaction,
                   const MaskCosts& costs,
                   TimePoint now)
      : tables_(tables),
        state_(state),
        transaction_(transaction),
        costs_(costs),
        now_(now) {}

  /// @brief Nothing when the job does not fit into its customer's unused
  /// guarantee. Workers in `avoid` are left out.
  std::optional<Placement> Place(const WaitingJob& job,
                                 const std::set<std::uint32_t>& avoid);

  /// @brief Jobs that placements so far stop and that were not stopping yet.
  const std::set<JobId>& Stopped() const { return stopped_; }
  std::uint64_t Examined() const { return examined_; }

 private:
  struct Candidate {
    BlockRef block;
    bool bound = false;
    double cost = 0;
  };
  /// Blocks of a level by reclaim cost, read as far as needed.
  struct ReclaimOrder {
    explicit ReclaimOrder(ReclaimIndex::Cursor blocks)
        : cursor(std::move(blocks)) {}

    ReclaimIndex::Cursor cursor;
    std::vector<Candidate> rows;    ///< Read so far.
    std::optional<Candidate> next;  ///< Read from the cursor, not yet in rows.
    /// Workers whose costs this plan has changed, and their blocks.
    std::set<std::uint32_t> repriced;
    std::vector<Candidate> repriced_rows;
    std::size_t repriced_used = 0;
  };
  struct Request {
    const WaitingJob* job = nullptr;
    const std::set<std::uint32_t>* avoid = nullptr;
    std::size_t line = 0;
    int per_block = 1;  ///< Tasks that one block of the line holds.
    int blocks = 1;
  };

  std::optional<Request> Match(const WaitingJob& job, std::size_t line) const;
  std::optional<Placement> PlaceOnFree(const Request& request);
  std::optional<Placement> PlaceOnCheapest(const Request& request);
  ReclaimOrder& ReclaimOrderOf(int level);
  const Candidate* NthCheapest(ReclaimOrder& order, std::size_t n);
  static bool IsCheaper(const Candidate& a, const Candidate& b);
  bool IsOpen(const BlockRef& block) const {
    return (block.mask & ~state_.Open().Mask(block.worker)) == 0;
  }
  std::vector<Candidate> FreeCandidates(const Request& request);
  void AddFreeBlock(const Request& request,
                    std::uint32_t worker,
                    std::vector<Candidate>& rows);
  bool HasRoom(const Request& request) const;
  std::optional<Placement> PlaceOn(const Request& request);
  bool Fill(const Request& request,
            const std::vector<Candidate>& candidates,
            std::vector<Allocation>& tasks);
  std::vector<Candidate> Candidates(const Request& request, int domain);
  void AddCandidates(const Request& request,
                     std::uint32_t worker,
                     std::vector<Candidate>& rows);
  std::vector<Allocation> TasksIn(const Request& request,
                                  const BlockRef& block,
                                  int wanted) const;
  AcceleratorMask ReclaimableMask(std::uint32_t worker) const;
  double CostOf(const Request& request, const BlockRef& block) const;
  double StopCost(std::uint32_t worker, AcceleratorMask mask) const;
  int FreeSlots(std::uint32_t worker, AcceleratorMask mask) const;
  Placement Finish(const Request& request, std::vector<Allocation> tasks);
  std::vector<int> DomainsFor(const Request& request) const;

  const Cluster::Tables& tables_;
  GuaranteeState& state_;
  FreeIndexTransaction& transaction_;
  const MaskCosts& costs_;
  TimePoint now_;
  /// Created on first use.
  std::array<std::optional<ReclaimOrder>, kLevels> reclaim_order_;
  std::set<JobId> stopped_;
  std::uint64_t examined_ = 0;
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_GUARANTEED_H_
