#ifndef SHALLOTLUG_HARNESS_SRC_PROCESSES_H_
#define SHALLOTLUG_HARNESS_SRC_PROCESSES_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "shallotlug/harness/world.h"

namespace shallotlug::harness {

/// @brief A command on its way to a backend server.
struct PendingCommand {
  Millis at{};
  agent::AddressedCommand command;
};

/// @brief An agent process, its machine's clock and its backend server.
struct World::Agent {
  ProcessRef ref;
  agent::Options options;
  ClockModel clock;
  agent::StatePtr state;
  std::unique_ptr<FakeWorker> worker;
  std::deque<PendingCommand> commands;
  std::deque<std::pair<Millis, agent::BackendReport>> reports;
  bool alive = false;
  bool shutdown_due = false;
  Millis frozen_until{};
  Millis usable_since{};
  Millis last_step{};
  std::uint64_t highest_revision = 0;
};

/// @brief An entry process and the calls that it has not yet taken.
struct World::Entry {
  ProcessRef ref;
  entry::Options options;
  ClockModel clock;
  entry::StatePtr state;
  std::vector<entry::IncomingCall> calls;
  bool alive = false;
  bool shutdown_due = false;
  std::uint64_t life = 0;
  Millis frozen_until{};
  Millis usable_since{};
  Millis last_step{};
  std::uint64_t highest_revision = 0;
};

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_SRC_PROCESSES_H_
