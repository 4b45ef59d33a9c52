#include "gang_messages.h"

#include <utility>

#include "links.h"

namespace shallotlug::agent {
namespace {

// While members are reserved one after another, only the one in turn waits for
// a link.
bool WaitsFor(const Job& job, std::size_t index) {
  return job.stage != JobStage::kReserving || job.reserving == index;
}

}  // namespace

void SendToMember(State& state,
                  const JobMember& member,
                  Message message,
                  Outbox& out) {
  if (member.spec.agent == state.options.self) {
    state.gangs.local.push_back(std::move(message));
    return;
  }
  const auto target = state.dial_targets.find(member.spec.address);
  if (target != state.dial_targets.end() && target->second.link) {
    SendOn(state, *target->second.link, std::move(message), out);
  }
}

void SendToCoordinator(State& state,
                       LinkId link,
                       Message message,
                       Outbox& out) {
  if (link == kLocalLink) {
    state.gangs.local.push_back(std::move(message));
    return;
  }
  SendOn(state, link, std::move(message), out);
}

void RequestMemberLinks(State& state, TimePoint now) {
  for (const auto& [attempt, job] : state.gangs.jobs) {
    if (job.stage == JobStage::kFinal) {
      continue;
    }
    for (const JobMember& member : job.members) {
      if (member.spec.agent != state.options.self) {
        DialTarget& target = state.dial_targets[member.spec.address];
        target.peer = PeerRole::kAgent;
        target.last_mentioned = now;
      }
    }
  }
}

void OnMemberLinkUp(State& state, const std::string& address, TimePoint now) {
  for (auto& [attempt, job] : state.gangs.jobs) {
    for (std::size_t i = 0; i < job.members.size(); ++i) {
      if (job.members[i].spec.address == address && WaitsFor(job, i)) {
        job.next_round = now;
      }
    }
  }
}

}  // namespace shallotlug::agent
