#ifndef SHALLOTLUG_BENCH_PROCESSOR_TIME_H_
#define SHALLOTLUG_BENCH_PROCESSOR_TIME_H_

#include <ctime>

namespace shallotlug::bench {

/// @brief Processor time of this process, in microseconds.
inline double ProcessorMicros() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

}  // namespace shallotlug::bench

#endif  // SHALLOTLUG_BENCH_PROCESSOR_TIME_H_
