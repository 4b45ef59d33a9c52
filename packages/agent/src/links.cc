#include "links.h"

#include <algorithm>
#include <utility>

#include "gang_messages.h"
#include "log.h"
#include "reports.h"

namespace shallotlug::agent {
namespace {

// Shorter than the interval for seeds: a learned entry or a gang member was
// alive a moment ago, and its loss delays work.
constexpr Millis kRedialInterval{1000};

// A dial without an answer is given up after this time.
constexpr Millis kDialTimeout{3000};

// Three announcements of an entry may be lost before it is no longer dialled.
constexpr Millis kForgetEntryAfter{60'000};

// Long enough to send the last messages to a member. Its link is closed later,
// when it has been silent for too long.
constexpr Millis kForgetMemberAfter{1000};

void Erase(State& state, std::map<LinkId, Link>::iterator it) {
  const auto target = state.dial_targets.find(it->second.dialled);
  if (target != state.dial_targets.end() && target->second.link == it->first) {
    target->second.link.reset();
  }
  state.links.erase(it);
}

void Drop(State& state, LinkId link, const std::string& reason, Outbox& out) {
  const auto it = state.links.find(link);
  if (it == state.links.end()) {
    return;
  }
  out.closes.push_back({link, reason});
  state.counters.AddTo("shallotlug_agent_links_closed_total",
                       {{"reason", reason}});
  Erase(state, it);
}

bool EntryLinked(const State& state, const EntryRef& entry) {
  for (const auto& [id, link] : state.links) {
    if (link.entry == entry) {
      return true;
    }
  }
  return false;
}

// A seed that no entry lists as its own address is a balancer: it is redialled
// even while linked, because another entry may answer.
bool IsBalancer(const DialTarget& target) {
  return target.seed && target.last_mentioned == TimePoint{};
}

bool WantsLink(const State& state, const DialTarget& target) {
  if (IsBalancer(target)) {
    return true;
  }
  if (target.link) {
    return false;
  }
  return !target.last_entry || !EntryLinked(state, *target.last_entry);
}

bool AnyEntryLink(const State& state) {
  for (const auto& [id, link] : state.links) {
    if (link.entry) {
      return true;
    }
  }
  return false;
}

bool DialDue(const State& state, const DialTarget& target, TimePoint now) {
  if (target.last_dial == TimePoint{}) {
    return true;
  }
  const Millis since = now - target.last_dial;
  if (target.pending) {
    return since >= kDialTimeout;
  }
  // While no entry is linked, a balancer may be the only way to reach one and
  // is redialled at the shorter interval.
  const bool discover = IsBalancer(target) && AnyEntryLink(state);
  return since >=
         (discover ? state.options.seed_redial_interval : kRedialInterval);
}

// Addresses of entries are kept while no entry is linked: they may come back.
void ForgetTargets(State& state, TimePoint now) {
  const bool connected = AnyEntryLink(state);
  std::erase_if(state.dial_targets, [&](const auto& item) {
    const DialTarget& target = item.second;
    const Millis unused = now - target.last_mentioned;
    if (target.peer == PeerRole::kAgent) {
      return unused > kForgetMemberAfter && !target.link;
    }
    return connected && !target.seed && unused > kForgetEntryAfter;
  });
}

}  // namespace

void AddSeeds(State& state) {
  for (const std::string& address : state.options.entry_seeds) {
    state.dial_targets[address].seed = true;
  }
}

void OnLinkUp(State& state, const LinkUp& event, TimePoint now, Outbox& out) {
  state.links[event.link] = {event.peer, event.dialled, now, {}, true};
  if (event.dialled.empty()) {
    return;
  }
  const auto it = state.dial_targets.find(event.dialled);
  if (it != state.dial_targets.end()) {
    it->second.pending = false;
    it->second.link = event.link;
  }
  if (event.peer == PeerRole::kAgent) {
    SendOn(state, event.link, PeerHello{state.options.self}, out);
    OnMemberLinkUp(state, event.dialled, now);
  }
}

void OnLinkDown(State& state, const LinkDown& event, Outbox& out) {
  const auto target = state.dial_targets.find(event.dialled);
  if (target != state.dial_targets.end()) {
    target->second.pending = false;
  }
  const auto it = state.links.find(event.link);
  if (it == state.links.end()) {
    return;
  }
  if (it->second.entry) {
    Log(out, LogLevel::kInfo, "entry_link_down",
        {{"entry", it->second.entry->name.value}});
  }
  Erase(state, it);
}

bool RecordReceived(State& state, LinkId link, TimePoint now) {
  const auto it = state.links.find(link);
  if (it == state.links.end()) {
    return false;
  }
  it->second.last_received = now;
  return true;
}

void OnEntryIdentity(State& state,
                     LinkId link,
                     const EntryRef& entry,
                     TimePoint now,
                     Outbox& out) {
  const auto self = state.links.find(link);
  const auto target = state.dial_targets.find(self->second.dialled);
  if (target != state.dial_targets.end()) {
    target->second.last_entry = entry;
  }
  for (const auto& [id, other] : state.links) {
    if (id == link || other.entry != entry) {
      continue;
    }
    // The older link is kept, unless it has missed a heartbeat.
    const bool works =
        now - other.last_received <= state.options.heartbeat_interval * 3 / 2;
    Drop(state, works ? link : id, "duplicate", out);
    if (works) {
      return;
    }
    break;
  }
  const bool first = !self->second.entry;
  self->second.entry = entry;
  if (first) {
    Log(out, LogLevel::kInfo, "entry_link_up", {{"entry", entry.name.value}});
    // Only now, because an entry replaces an older link when it hears a hello
    // on a newer one: a hello on a duplicate would cost both links.
    SendHello(state, link, now, out);
  }
}

void AddEntryTargets(State& state,
                     const std::vector<std::string>& addresses,
                     TimePoint now) {
  for (const std::string& address : addresses) {
    state.dial_targets[address].last_mentioned = now;
  }
}

std::vector<EntryName> LinkedEntries(const State& state) {
  std::vector<EntryName> names;
  for (const auto& [id, link] : state.links) {
    if (link.entry) {
      names.push_back(link.entry->name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

void CloseSilentLinks(State& state, TimePoint now, Outbox& out) {
  std::vector<LinkId> silent;
  for (const auto& [id, link] : state.links) {
    if (now - link.last_received > state.options.link_silence_limit) {
      silent.push_back(id);
    }
  }
  for (const LinkId id : silent) {
    Drop(state, id, "silent", out);
  }
}

void DialDueTargets(State& state, TimePoint now, Outbox& out) {
  ForgetTargets(state, now);
  for (auto& [address, target] : state.dial_targets) {
    if (!DialDue(state, target, now) || !WantsLink(state, target)) {
      continue;
    }
    target.last_dial = now;
    target.pending = true;
    out.dials.push_back({address, target.peer});
    state.counters.AddTo("shallotlug_agent_dials_total");
  }
}

void SendOn(State& state, LinkId link, Message message, Outbox& out) {
  if (state.links.contains(link)) {
    out.sends.push_back({link, std::move(message)});
  }
}

void SendToEntries(State& state, const Message& message, Outbox& out) {
  for (const auto& [id, link] : state.links) {
    if (link.entry) {
      out.sends.push_back({id, message});
    }
  }
}

}  // namespace shallotlug::agent
