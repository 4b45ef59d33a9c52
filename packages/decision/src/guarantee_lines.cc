#include "guarantee_lines.h"

namespace shallotlug::decision {
namespace {

GuaranteeLine LineOf(const ClassTarget& target) {
  const Guarantee& it = target.guarantee;
  GuaranteeLine line{target.name, target.customer, it.groups, 1, 0, it.within};
  if (it.accelerators <= kLargestBlock) {
    line.level = LevelFor(it.accelerators);
    return line;
  }
  line.level = kLevels - 1;
  line.units = (it.accelerators + kLargestBlock - 1) / kLargestBlock;
  return line;
}

}  // namespace

std::vector<GuaranteeLine> LinesOf(const Targets& targets) {
  std::vector<GuaranteeLine> lines;
  for (const VersionedTarget& it : targets.entries) {
    const Guarantee& guarantee = it.target.guarantee;
    if (!it.removed && guarantee.groups > 0 && guarantee.accelerators > 0) {
      lines.push_back(LineOf(it.target));
    }
  }
  return lines;
}

}  // namespace shallotlug::decision
