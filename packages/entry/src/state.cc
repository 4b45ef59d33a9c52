#include "state.h"

namespace shallotlug::entry {

void StateDeleter::operator()(State* state) const {
  delete state;
}

StatePtr MakeState(const Options& options, TimePoint now) {
  StatePtr state(new State);
  state->options = options;
  state->random = options.random_seed;
  state->now = now;
  state->started = now;
  state->last_step = now;
  state->config.options.monotonic = options.guards.monotonic_config;
  state->config_reader.stream = stream::kConfigStream;
  state->config_appends.options.stream = stream::kConfigStream;
  state->retry_budget = {options.retry_floor_per_second, now};
  return state;
}

CounterTable& Counters(State& state) {
  return state.counters;
}

const Targets& CurrentTargets(const State& state) {
  return stream::Current(state.config);
}

bool Ready(const State& state) {
  return !state.shutting_down;
}

}  // namespace shallotlug::entry
