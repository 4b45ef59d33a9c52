#include "crashes.h"

#include <algorithm>

namespace shallotlug::executor {

namespace {

// A worker answers a poll at least every second, so that it may have been lost
// a second after it was last heard.
constexpr Millis kEarlyCrash{1'000};

// Orders are sent to a worker until its silence is noticed, so that a start
// without an answer says nothing about what ended the worker.
bool IsConfirmed(const PresentRun& run) {
  return run.started_at || run.listed;
}

// An adopted run has been there for an unknown time.
bool IsEarly(const PresentRun& run, TimePoint heard_at) {
  return run.started_at && heard_at - *run.started_at < kEarlyCrash;
}

}  // namespace

std::vector<protocol::CrashReport> ReportCrash(
    const std::vector<PresentRun>& runs,
    TimePoint heard_at) {
  const bool alone =
      std::all_of(runs.begin(), runs.end(), [&](const PresentRun& it) {
        return it.run.task.job == runs.front().run.task.job;
      });
  std::vector<protocol::CrashReport> reports;
  reports.reserve(runs.size());
  for (const PresentRun& it : runs) {
    if (!IsConfirmed(it)) {
      continue;
    }
    reports.push_back({it.run, IsEarly(it, heard_at), alone});
  }
  return reports;
}

}  // namespace shallotlug::executor
