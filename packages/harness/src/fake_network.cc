#include "shallotlug/harness/fake_network.h"

#include <algorithm>
#include <cstdio>
#include <optional>

namespace shallotlug::harness {
namespace {

constexpr Millis kDialTimeout{3000};
constexpr int kJitterMs = 3;
constexpr std::size_t kReplayedMessages = 4;

constexpr int kEntryNetwork = 1;
constexpr int kAgentNetwork = 2;

std::optional<ProcessRef> ParseAddress(const std::string& address) {
  int network = 0;
  int high = 0;
  int low = 0;
  if (std::sscanf(address.c_str(), "127.%d.%d.%d:", &network, &high, &low) !=
          3 ||
      (network != kEntryNetwork && network != kAgentNetwork)) {
    return std::nullopt;
  }
  return ProcessRef{network == kEntryNetwork ? Role::kEntry : Role::kAgent,
                    high * 256 + low};
}

bool IsHello(const Message& message) {
  return std::holds_alternative<EntryHello>(message) ||
         std::holds_alternative<AgentHello>(message) ||
         std::holds_alternative<PeerHello>(message);
}

bool Matches(const ProcessRef& a,
             const ProcessRef& b,
             const ProcessRef& x,
             const ProcessRef& y) {
  return (Covers(a, x) && Covers(b, y)) || (Covers(a, y) && Covers(b, x));
}

}  // namespace

std::string PeerAddress(const ProcessRef& process) {
  return "127." +
         std::to_string(process.role == Role::kEntry ? kEntryNetwork
                                                     : kAgentNetwork) +
         "." + std::to_string(process.index / 256) + "." +
         std::to_string(process.index % 256) + ":7000";
}

void FakeNetwork::Start(const ProcessRef& process) {
  Node& node = nodes_[process];
  ++node.life;
  node.alive = true;
  node.frozen = false;
  node.ready = true;
  node.arrivals = {};
}

void FakeNetwork::Stop(Millis now, const ProcessRef& process, bool silently) {
  Node& node = nodes_[process];
  for (Link& link : links_) {
    for (int side = 0; side < 2; ++side) {
      End& end = link.ends[side];
      if (!end.open || end.process != process || end.life != node.life) {
        continue;
      }
      end.open = false;
      if (silently) {
        link.silent = true;
      } else if (!link.silent) {
        const End& other = link.ends[1 - side];
        Schedule(std::max(now + Delay(now, process, other.process),
                          other.last_delivery),
                 static_cast<std::size_t>(&link - links_.data()), 1 - side,
                 EventKind::kDown);
      }
    }
  }
  node.alive = false;
  node.arrivals = {};
}

void FakeNetwork::SetFrozen(const ProcessRef& process, bool frozen) {
  nodes_[process].frozen = frozen;
}

void FakeNetwork::SetReady(const ProcessRef& process, bool ready) {
  nodes_[process].ready = ready;
}

int FakeNetwork::FaultAmount(Millis now,
                             const ProcessRef& a,
                             const ProcessRef& b,
                             LinkFault kind) const {
  int most = 0;
  for (const Fault& fault : faults_) {
    if (fault.kind == kind && now < fault.until &&
        Matches(fault.a, fault.b, a, b)) {
      most = std::max(most, fault.amount);
    }
  }
  return most;
}

bool FakeNetwork::Disturbed(Millis now,
                            const ProcessRef& a,
                            const ProcessRef& b) const {
  return FaultAmount(now, a, b, LinkFault::kCut) > 0 ||
         FaultAmount(now, a, b, LinkFault::kDelay) > 0 ||
         FaultAmount(now, a, b, LinkFault::kLose) > 0;
}

bool FakeNetwork::HaveHadLink(const ProcessRef& a, const ProcessRef& b) const {
  const auto it = linked_lives_.find({a, b});
  return it != linked_lives_.end() && nodes_.count(a) != 0 &&
         nodes_.count(b) != 0 &&
         it->second == std::pair(nodes_.at(a).life, nodes_.at(b).life);
}

Millis FakeNetwork::Delay(Millis now,
                          const ProcessRef& a,
                          const ProcessRef& b) {
  return Millis(1 + random_.Below(kJitterMs) +
                random_.Below(FaultAmount(now, a, b, LinkFault::kDelay) + 1));
}

void FakeNetwork::Schedule(Millis at,
                           std::size_t link,
                           int side,
                           EventKind kind) {
  Event event;
  event.kind = kind;
  event.link = link;
  event.side = side;
  events_.emplace(at, std::move(event));
}

void FakeNetwork::ScheduleMessage(Millis at,
                                  std::size_t link,
                                  int side,
                                  Message message) {
  Event event;
  event.link = link;
  event.side = side;
  event.message = std::move(message);
  events_.emplace(at, std::move(event));
}

void FakeNetwork::DialFrom(Millis now,
                           const ProcessRef& from,
                           const Dial& dial) {
  std::optional<ProcessRef> to;
  if (dial.address == kBalancerAddress) {
    std::vector<ProcessRef> ready;
    for (const auto& [process, node] : nodes_) {
      if (process.role == Role::kEntry && node.alive && node.ready &&
          !node.frozen) {
        ready.push_back(process);
      }
    }
    if (!ready.empty()) {
      to = ready[static_cast<std::size_t>(
          random_.Below(static_cast<int>(ready.size())))];
    }
  } else {
    to = ParseAddress(dial.address);
  }
  Link link;
  link.dialled = dial.address;
  link.ends[0].process = from;
  link.ends[0].life = nodes_[from].life;
  link.ends[0].id = LinkId{++next_link_};
  const std::size_t index = links_.size();
  const bool cut = to && FaultAmount(now, from, *to, LinkFault::kCut) > 0;
  const bool alive = to && nodes_[*to].alive;
  if (!alive || cut || nodes_[*to].frozen) {
    links_.push_back(link);
    Schedule(
        now + (cut || (alive && nodes_[*to].frozen) ? kDialTimeout : Millis(2)),
        index, 0, EventKind::kDialFailed);
    return;
  }
  link.ends[1].process = *to;
  link.ends[1].life = nodes_[*to].life;
  link.ends[1].id = LinkId{++next_link_};
  const Millis accepted = now + Delay(now, from, *to);
  const Millis up = accepted + Delay(now, from, *to);
  link.ends[0].open = link.ends[1].open = true;
  link.ends[0].last_delivery = up;
  link.ends[1].last_delivery = accepted;
  by_id_[link.ends[0].id] = {index, 0};
  by_id_[link.ends[1].id] = {index, 1};
  links_.push_back(link);
  Schedule(accepted, index, 1, EventKind::kUp);
  Schedule(up, index, 0, EventKind::kUp);
  if (random_.Chance(FaultAmount(now, from, *to, LinkFault::kReplay))) {
    for (int side = 0; side < 2; ++side) {
      const ProcessRef sender = link.ends[1 - side].process;
      const ProcessRef receiver = link.ends[side].process;
      // After the handshake and the first exchange.
      Millis at = up + Millis(100 + random_.Below(400));
      for (const Message& message : history_[{sender, receiver}]) {
        at += Millis(20 + random_.Below(80));
        ScheduleMessage(at, index, side, message);
      }
      links_[index].ends[side].last_delivery = at;
    }
  }
}

void FakeNetwork::SendFrom(Millis now,
                           const ProcessRef& from,
                           const Send& send) {
  const auto it = by_id_.find(send.link);
  if (it == by_id_.end()) {
    return;
  }
  Link& link = links_[it->second.first];
  const int side = it->second.second;
  if (!link.ends[side].open || link.ends[side].process != from || link.silent) {
    return;
  }
  End& receiver = link.ends[1 - side];
  if (FaultAmount(now, from, receiver.process, LinkFault::kCut) > 0) {
    link.silent = true;
    return;
  }
  if (random_.Chance(
          FaultAmount(now, from, receiver.process, LinkFault::kLose))) {
    BreakLink(now, link);
    return;
  }
  Message message = send.message;
  if (tamper) {
    tamper(from, message);
  }
  if (!IsHello(message)) {
    auto& history = history_[{from, receiver.process}];
    history.push_back(message);
    if (history.size() > kReplayedMessages) {
      history.pop_front();
    }
  }
  const Millis at = std::max(now + Delay(now, from, receiver.process),
                             receiver.last_delivery);
  receiver.last_delivery = at;
  ScheduleMessage(at, it->second.first, 1 - side, std::move(message));
}

void FakeNetwork::CloseFrom(Millis now, const ProcessRef& from, LinkId id) {
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) {
    return;
  }
  Link& link = links_[it->second.first];
  const int side = it->second.second;
  if (!link.ends[side].open || link.ends[side].process != from) {
    return;
  }
  link.ends[side].open = false;
  const End& other = link.ends[1 - side];
  if (!link.silent && other.open) {
    Schedule(
        std::max(now + Delay(now, from, other.process), other.last_delivery),
        it->second.first, 1 - side, EventKind::kDown);
  }
}

void FakeNetwork::BreakLink(Millis now, Link& link) {
  // What was on the way is lost: the link delivers nothing more, and both ends
  // learn of it at different times.
  link.silent = true;
  const auto index = static_cast<std::size_t>(&link - links_.data());
  for (int side = 0; side < 2; ++side) {
    if (link.ends[side].open) {
      Schedule(now + Millis(1 + random_.Below(200)), index, side,
               EventKind::kDown);
    }
  }
}

template <class Visit>
void FakeNetwork::ForLinksBetween(const ProcessRef& a,
                                  const ProcessRef& b,
                                  Visit visit) {
  for (Link& link : links_) {
    if ((link.ends[0].open || link.ends[1].open) &&
        Matches(a, b, link.ends[0].process, link.ends[1].process)) {
      visit(link);
    }
  }
}

void FakeNetwork::AddFault(Millis now,
                           const ProcessRef& a,
                           const ProcessRef& b,
                           LinkFault kind,
                           int amount,
                           Millis until) {
  std::erase_if(faults_, [&](const Fault& it) { return it.until <= now; });
  faults_.push_back({a, b, kind, amount, until});
  if (kind == LinkFault::kCut) {
    Silence(a, b);
  }
}

void FakeNetwork::Silence(const ProcessRef& a, const ProcessRef& b) {
  ForLinksBetween(a, b, [](Link& link) { link.silent = true; });
}

void FakeNetwork::Break(Millis now, const ProcessRef& a, const ProcessRef& b) {
  ForLinksBetween(a, b, [&](Link& link) {
    if (!link.silent) {
      BreakLink(now, link);
    }
  });
}

bool FakeNetwork::Alive(const End& end) const {
  const auto it = nodes_.find(end.process);
  return it != nodes_.end() && it->second.alive && it->second.life == end.life;
}

void FakeNetwork::Deliver(const Event& event) {
  Link& link = links_[event.link];
  End& end = link.ends[event.side];
  if (!Alive(end)) {
    return;
  }
  Arrivals& arrivals = nodes_[end.process].arrivals;
  switch (event.kind) {
    case EventKind::kDialFailed:
      arrivals.links_down.push_back({LinkId{}, link.dialled});
      break;
    case EventKind::kUp:
      if (end.open) {
        linked_lives_[{link.ends[0].process, link.ends[1].process}] = {
            link.ends[0].life, link.ends[1].life};
        arrivals.links_up.push_back(
            {end.id,
             link.ends[1 - event.side].process.role == Role::kEntry
                 ? PeerRole::kEntry
                 : PeerRole::kAgent,
             event.side == 0 ? link.dialled : ""});
      }
      break;
    case EventKind::kDown:
      if (end.open) {
        end.open = false;
        arrivals.links_down.push_back(
            {end.id, event.side == 0 ? link.dialled : ""});
      }
      break;
    case EventKind::kMessage:
      if (end.open && !link.silent) {
        arrivals.received.push_back({end.id, event.message});
      }
      break;
  }
}

void FakeNetwork::Tick(Millis now) {
  while (!events_.empty() && events_.begin()->first <= now) {
    const Event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    Deliver(event);
  }
}

Arrivals FakeNetwork::Take(const ProcessRef& process) {
  Arrivals taken;
  std::swap(taken, nodes_[process].arrivals);
  return taken;
}

bool FakeNetwork::HasArrivals(const ProcessRef& process) const {
  const auto it = nodes_.find(process);
  return it != nodes_.end() && !it->second.arrivals.empty();
}

}  // namespace shallotlug::harness
