#include "peers.h"

#include "job_table.h"
#include "replies.h"

namespace shallotlug::entry {
namespace {

// Entries are kept this many expiries through an outage of the log: when all
// announcements lapsed at once, every entry would plan every job.
constexpr int kOutageExpiries = 10;

// Time for agents to find and dial an entry that has just been announced.
constexpr Millis kLinkGrace{5000};

void Announce(State& state, Millis expires_in) {
  const Options& options = state.options;
  const stream::EntryAnnouncement record{options.self, options.data_centre,
                                         options.peer_address,
                                         options.operator_address, expires_in};
  stream::Add(state.entry_io.appends,
              {{MakeRecordId(state), stream::Format(record)},
               state.now + options.announce_interval});
}

// Whether no agent is linked to the entry any more, so that it is dead or
// unusable. This detects a dead entry as soon as its connections break, while
// its announcement lasts for up to 30 s.
bool IsUnlinked(const State& state,
                const EntryName& name,
                const stream::LiveEntry& row) {
  return state.entry_reachability.has_reports &&
         state.now - row.first_seen >= kLinkGrace &&
         !state.entry_reachability.linked_entries.contains(name);
}

void UpdateEntryReachability(State& state) {
  if (!state.entry_reachability.stale) {
    return;
  }
  state.entry_reachability = {};
  state.entry_reachability.stale = false;
  for (const auto& [name, agent] : state.agents) {
    if (agent.linked && agent.reported) {
      state.entry_reachability.has_reports = true;
      state.entry_reachability.linked_entries.insert(
          agent.report.linked_entries.begin(),
          agent.report.linked_entries.end());
    }
  }
}

template <class Project>
std::vector<std::string> Addresses(const State& state,
                                   const std::string& own,
                                   const Project& project) {
  std::vector<std::string> addresses = {own};
  for (const auto& [name, row] : state.entries.rows) {
    if (name != state.options.self.name) {
      addresses.push_back(project(row.announcement));
    }
  }
  return addresses;
}

}  // namespace

std::vector<std::string> KnownEntries(const State& state) {
  return Addresses(state, state.options.peer_address,
                   [](const auto& it) { return it.peer_address; });
}

std::vector<std::string> OperatorAddresses(const State& state) {
  return Addresses(state, state.options.operator_address,
                   [](const auto& it) { return it.operator_address; });
}

bool IsResponsible(const State& state, std::string_view duty) {
  if (state.shutting_down) {
    return false;
  }
  std::vector<EntryName> names = {state.options.self.name};
  for (const auto& [name, row] : state.entries.rows) {
    if (name != state.options.self.name && !IsUnlinked(state, name, row)) {
      names.push_back(name);
    }
  }
  return stream::Rendezvous(names, duty) == state.options.self.name;
}

bool IsPlanner(const State& state) {
  return state.planner && !state.shutting_down;
}

void ElectPlanner(State& state) {
  // One entry plans all data centres: guarantees and the order of the queue
  // span them, and two planners with stale views could together break a
  // guarantee.
  const bool planner = IsResponsible(state, "plan");
  if (planner != state.planner) {
    state.planner = planner;
    Log(state, LogLevel::kInfo, planner ? "planner_started" : "planner_stopped",
        {});
  }
}

void MaintainEntries(State& state) {
  const StreamReader& reader = state.entry_io.reader;
  const bool outage =
      reader.failing && state.now - reader.last_ok <
                            kOutageExpiries * state.options.announce_expiry;
  if (!outage) {
    stream::Expire(state.entries, state.now);
  }
  if (state.now >= state.next_announcement && !state.shutting_down) {
    state.next_announcement = state.now + state.options.announce_interval;
    Announce(state, state.options.announce_expiry);
  }
  UpdateEntryReachability(state);
  ElectPlanner(state);
}

void AnnounceLeaving(State& state) {
  Announce(state, Millis(0));
}

}  // namespace shallotlug::entry
