#include "shallotlug/harness/scenario.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

namespace shallotlug::harness {
namespace {

// Compares all but the line, which changes when comments are left out.
bool IsSameStep(const Step& a, const Step& b) {
  return a.at == b.at && a.verb == b.verb && a.a == b.a && a.b == b.b &&
         a.name == b.name && a.word == b.word && a.duration == b.duration &&
         a.within == b.within && a.number == b.number && a.options == b.options;
}

}  // namespace
}  // namespace shallotlug::harness

// A failure of the stateful fuzzer is left as a formatted scenario, which must
// parse to the same steps.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace harness = shallotlug::harness;
  const auto parsed = harness::ParseScenario(
      "f.scenario", {reinterpret_cast<const char*>(data), size});
  if (!parsed.findings.empty()) {
    return 0;
  }
  const auto again =
      harness::ParseScenario("f.scenario", harness::ToString(parsed.scenario));
  const auto& steps = parsed.scenario.steps;
  const auto& copies = again.scenario.steps;
  if (!again.findings.empty() ||
      !std::equal(steps.begin(), steps.end(), copies.begin(), copies.end(),
                  harness::IsSameStep)) {
    std::abort();
  }
  return 0;
}
