#ifndef SHALLOTLUG_HARNESS_FAKE_LOG_H_
#define SHALLOTLUG_HARNESS_FAKE_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "shallotlug/harness/process.h"
#include "shallotlug/harness/random.h"
#include "shallotlug/stream/log_io.h"

namespace shallotlug::harness {

/// @brief Results that reached one process.
struct LogArrivals {
  std::vector<stream::LogReadResult> reads;
  std::vector<stream::LogAppendResult> appends;

  bool empty() const { return reads.empty() && appends.empty(); }
};

/// @brief The log service with its client: an append or read that takes longer
/// than the client waits ends as unknown or failed and may still take effect.
class FakeLog {
 public:
  explicit FakeLog(std::uint64_t seed) : random_(seed) {}

  void Append(Millis now, const ProcessRef& from, stream::LogAppend append);
  void Read(Millis now, const ProcessRef& from, const stream::LogRead& read);
  void Tick(Millis now);
  LogArrivals Take(const ProcessRef& process);
  bool HasArrivals(const ProcessRef& process) const;
  /// @brief Drops the results of a process that ended; its appends stay.
  void Forget(const ProcessRef& process);

  void SetOutage(Millis until) { outage_until_ = until; }
  void SetSlow(Millis latency, Millis until);
  void SetLosesAnswers(Millis until) { loses_answers_until_ = until; }
  void SetRetention(Millis retention) { retention_ = retention; }
  void ClearFaults();
  /// @brief Whether clients get prompt answers.
  bool Healthy(Millis now) const;
  std::uint64_t Appends() const { return appended_; }

 private:
  struct Stored {
    Millis at{};
    stream::LogRecord record;
  };
  struct Stream {
    std::uint64_t start = 0;
    std::deque<Stored> records;
  };
  struct Operation {
    ProcessRef from;
    std::uint64_t life = 0;
    bool is_append = false;
    bool effect = false;  ///< The request takes effect; else it is the answer.
    stream::LogAppend append;
    stream::LogRead read;
    stream::LogReadResult read_result;
    stream::AppendOutcome outcome = stream::AppendOutcome::kUnknown;
  };

  void Apply(Millis now, Operation& operation);
  Millis Latency(Millis now);

  Random random_;
  std::map<std::string, Stream> streams_;
  std::multimap<Millis, Operation> operations_;
  std::map<ProcessRef, LogArrivals> arrivals_;
  std::map<ProcessRef, std::uint64_t> lives_;
  std::uint64_t appended_ = 0;
  Millis outage_until_{};
  Millis slow_until_{};
  Millis slow_latency_{};
  Millis loses_answers_until_{};
  Millis retention_{3'600'000};
};

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_FAKE_LOG_H_
