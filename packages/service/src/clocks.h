#ifndef SHALLOTLUG_SERVICE_SRC_CLOCKS_H_
#define SHALLOTLUG_SERVICE_SRC_CLOCKS_H_

#include <chrono>

#include "shallotlug/net/role_loop.h"
#include "shallotlug/scheduler/scheduler.h"

namespace shallotlug::service {

inline scheduler::Now ReadBothClocks() {
  return {net::ReadClock(), std::chrono::time_point_cast<Millis>(
                                std::chrono::system_clock::now())};
}

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_CLOCKS_H_
