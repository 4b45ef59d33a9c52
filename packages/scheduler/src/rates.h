#ifndef SHALLOTLUG_SCHEDULER_SRC_RATES_H_
#define SHALLOTLUG_SCHEDULER_SRC_RATES_H_

#include "state.h"

/// Measures how fast runs progress, from the reports of their agents.
namespace shallotlug::scheduler {

/// @brief Converts times of an agent's reply to this process's clock.
class ReadTimes {
 public:
  ReadTimes(const protocol::SyncReply& reply, TimePoint now)
      : offset_(now - AsLocalTime(reply.clock)),
        read_at_(AsLocalTime(reply.read_at) + offset_) {}

  /// @brief When the worker's runs were read.
  TimePoint ReadAt() const { return read_at_; }
  /// @brief When the worker confirmed the run's start; zero if unknown.
  TimePoint StartOf(const protocol::RunReport& report) const {
    return report.started_at == PeerTime{}
               ? TimePoint{}
               : AsLocalTime(report.started_at) + offset_;
  }

 private:
  Millis offset_;
  TimePoint read_at_;
};

/// @brief Measures the rate of a run with its latest progress. Times at which
/// its worker was much slower than before are left out of the rate, and noted
/// as a slowdown of the worker.
void MeasureRate(State& state,
                 const protocol::RunReport& report,
                 RunRow& run,
                 const ReadTimes& times);

/// @brief Derives the speeds of the workers from the rates measured since the
/// last call, and logs each worker whose speed class has changed.
void LearnSpeeds(State& state, TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_RATES_H_
