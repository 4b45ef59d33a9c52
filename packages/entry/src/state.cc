#include "state.h"

namespace shallotlug::entry {
namespace {

// The shell ends an append before this many timeouts have passed.
constexpr int kResultTimeouts = 3;

void SetUpStream(StreamIo& io,
                 const char* name,
                 const Options& options,
                 TimePoint now) {
  io.reader.stream = name;
  io.reader.last_ok = now;
  io.appends.options.stream = name;
  io.appends.options.result_timeout = kResultTimeouts * options.log_timeout;
}

}  // namespace

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
  SetUpStream(state->config_io, stream::kConfigStream, options, now);
  SetUpStream(state->job_io, stream::kJobStream, options, now);
  SetUpStream(state->entry_io, stream::kEntryStream, options, now);
  state->config_snapshot_at = now - options.log_retention / 4;
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
  const bool has_config = state.config_io.reader.caught_up ||
                          stream::Current(state.config).revision > 0;
  // During a log outage, agents may still supply the configuration.
  const bool waited = state.now - state.started >= state.options.warm_up;
  return !state.shutting_down && (has_config || waited);
}

}  // namespace shallotlug::entry
