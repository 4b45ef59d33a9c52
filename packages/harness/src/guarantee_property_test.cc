#include <cstdlib>
#include <fstream>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "shallotlug/harness/runner.h"
#include "shallotlug/harness/scenario.h"

namespace shallotlug::harness {
namespace {

constexpr int kAgents = 4;
constexpr int kEntries = 2;

std::string Number(int min, int max) {
  return std::to_string(*rc::gen::inRange(min, max + 1));
}

std::string YesOrNo() {
  return *rc::gen::arbitrary<bool>() ? "yes" : "no";
}

// Work of another customer that may take the guaranteed shape meanwhile.
std::string FillStep(std::size_t n) {
  return "submit f" + std::to_string(n) + " through entry " +
         Number(1, kEntries) +
         " run=600s customer=archive tasks=" + Number(1, 3) +
         " accelerators=" + Number(1, 8) + " repeatable=" + YesOrNo() +
         " checkpointable=" + YesOrNo();
}

std::string FaultStep() {
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return "restart worker " + Number(1, kAgents);
    case 1:
      return "restart agent " + Number(1, kAgents);
    case 2:
      return "restart entry " + Number(1, kEntries);
    case 3:
      return "freeze agent " + Number(1, kAgents) + " for 5s";
    default:
      return "cut agent " + Number(1, kAgents) + " from agent all for 5s";
  }
}

std::string RandomSteps() {
  const int count = *rc::gen::inRange(4, 30);
  std::string text;
  for (int n = 0; n < count; ++n) {
    const bool fault = *rc::gen::inRange(0, 5) == 0;
    text += (fault ? FaultStep() : FillStep(static_cast<std::size_t>(n))) +
            "\nwait " + Number(50, 3'000) + "ms\n";
  }
  return text;
}

// Guards against work that takes a guaranteed shape for good: P1. Whatever
// other customers submit and whichever processes restart, the shape starts
// within 1.7 s once the faults have ended, with workers that checkpoint in 1 s.
RC_GTEST_PROP(FuzzTest, Guarantees, ()) {
  // Faults are over after 6 s; lost attempts are abandoned after 15 s.
  const std::string text =
      "cluster entries=2 agents=4 seed=" + Number(1, 100'000) +
      "\ncheckpoint time 1s\n"
      "set target deposit as c1 through entry 1 customer=authority groups=2 "
      "per_group=8 within=worker\n"
      "expect change c1 in_force within 10s\n" +
      RandomSteps() +
      "calm\nwait 40s\n"
      "submit g1 through entry 1 customer=authority class=deposit run=2s "
      "tasks=2 accelerators=8\n"
      "expect reclaimed job g1 within 1700ms\n"
      "cancel all through entry 1 customer=archive\n";
  const ParsedScenario parsed = ParseScenario("guarantees", text);
  RC_ASSERT(parsed.findings.empty());
  const RunReport report = RunScenario(parsed.scenario);
  if (!report.violations.empty()) {
    if (const char* path = std::getenv("SHALLOTLUG_FUZZ_OUT")) {
      std::ofstream(path) << text;
    }
    RC_FAIL(report.ToString() + "scenario:\n" + text);
  }
}

}  // namespace
}  // namespace shallotlug::harness
