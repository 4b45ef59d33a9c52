#include <algorithm>
#include <string>

#include "guarantee_state.h"
#include "shallotlug/decision/plan.h"

namespace shallotlug::decision {
namespace {

std::string NameOf(Adjacency within) {
  switch (within) {
    case Adjacency::kWorker:
      return "worker";
    case Adjacency::kRack:
      return "rack";
    case Adjacency::kDataCentre:
      return "data centre";
    case Adjacency::kAny:
      return "cluster";
  }
  return "cluster";
}

/// Returns `lines` followed by `line` with this many groups.
std::vector<GuaranteeLine> WithLine(std::vector<GuaranteeLine> lines,
                                    GuaranteeLine line,
                                    int groups) {
  line.groups = groups;
  lines.push_back(std::move(line));
  return lines;
}

/// The most groups of `line` that fit beside `others` on the empty cluster.
int GroupsThatFit(const Cluster::Tables& tables,
                  const std::vector<GuaranteeLine>& others,
                  const GuaranteeLine& line) {
  int low = 0;
  int high = line.groups;
  while (low < high) {
    const int middle = (low + high + 1) / 2;
    const GuaranteeState state(tables, WithLine(others, line, middle));
    if (state.Feasible()) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}

int AcceleratorsOf(const GuaranteeLine& line) {
  return line.groups * line.units * BlockSize(line.level);
}

int AcceleratorsOf(const std::vector<GuaranteeLine>& lines) {
  int sum = 0;
  for (const GuaranteeLine& it : lines) {
    sum += AcceleratorsOf(it);
  }
  return sum;
}

std::string Shortfall(const GuaranteeLine& line, int fit, int before, int all) {
  const int group = line.units * BlockSize(line.level);
  return "class " + line.name.value + " of customer " + line.customer.value +
         ": " + std::to_string(line.groups) + " groups of " +
         std::to_string(group) + " accelerators within one " +
         NameOf(line.within) + " need " + std::to_string(AcceleratorsOf(line)) +
         "; the guarantees before it take " + std::to_string(before) + " of " +
         std::to_string(all) + ", and " + std::to_string(fit) +
         " of the groups fit beside them";
}

/// Whether all unused groups fit on accelerators that are free already, or
/// free once the jobs that were asked to stop have stopped.
bool UnusedFit(const Cluster::Tables& tables,
               const GuaranteeState& state,
               bool with_stopping) {
  Capacity free(*tables.free);
  for (std::uint32_t n = 0; n < tables.workers.size(); ++n) {
    AcceleratorMask used = 0;
    for (const Occupant& it : tables.workers[n].occupants) {
      used |= with_stopping && it.job->stopping ? 0 : it.mask;
    }
    free.Set(n, state.Open().Mask(n) & ~used);
  }
  return free.Holds(state.Unused());
}

GuaranteeStanding StandingOf(const Cluster::Tables& tables,
                             const GuaranteeState& state) {
  if (UnusedFit(tables, state, false)) {
    return GuaranteeStanding::kHeld;
  }
  return UnusedFit(tables, state, true) ? GuaranteeStanding::kReclaiming
                                        : GuaranteeStanding::kLent;
}

}  // namespace

std::vector<std::string> CheckGuarantees(const Cluster& cluster,
                                         const Targets& targets) {
  std::vector<std::string> findings;
  const Cluster::Tables& tables = cluster.tables();
  const int all = GuaranteeState(tables, {}).Open().Accelerators();
  std::vector<GuaranteeLine> accepted;
  for (GuaranteeLine line : LinesOf(targets)) {
    const int fit = GroupsThatFit(tables, accepted, line);
    if (fit < line.groups) {
      findings.push_back(Shortfall(line, fit, AcceleratorsOf(accepted), all));
    }
    line.groups = fit;
    accepted.push_back(std::move(line));
  }
  return findings;
}

std::vector<GuaranteeStatus> GuaranteeStates(const Cluster& cluster,
                                             const Targets& targets) {
  const Cluster::Tables& tables = cluster.tables();
  // Derive takes groups from the lines that it cannot satisfy.
  const std::vector<GuaranteeLine> wanted = LinesOf(targets);
  GuaranteeState state(tables, wanted);
  state.Derive();
  const GuaranteeStanding standing = StandingOf(tables, state);
  std::vector<GuaranteeLine> accepted;
  std::vector<GuaranteeStatus> rows;
  for (const VersionedTarget& it : targets.entries) {
    if (!it.removed) {
      rows.push_back({it.target.name, it.target.customer,
                      GuaranteeStanding::kNone, it.target.guarantee.groups, 0});
    }
  }
  for (std::size_t n = 0; n < wanted.size(); ++n) {
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [&](const GuaranteeStatus& r) { return r.name == wanted[n].name; });
    GuaranteeLine line = wanted[n];
    line.groups = GroupsThatFit(tables, accepted, wanted[n]);
    row->groups_short = wanted[n].groups - line.groups;
    const bool all_used = state.Lines()[n].GroupsUsed() == wanted[n].groups;
    row->standing = row->groups_short > 0 ? GuaranteeStanding::kShort
                    : all_used            ? GuaranteeStanding::kHeld
                                          : standing;
    accepted.push_back(std::move(line));
  }
  return rows;
}

}  // namespace shallotlug::decision
