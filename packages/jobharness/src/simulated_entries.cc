// Entries of the simulation: reads and appends, and calls to agents.
#include "job_simulation_impl.h"

namespace shallotlug::jobharness {

using detail::kCallTimeout;
using detail::SimulatedEntry;

namespace {

constexpr Millis kReadInterval{20};
constexpr Millis kMaxDeliveryDelay{15'000};
constexpr Millis kSyncInterval{100};

}  // namespace

void JobSimulation::Impl::Read(std::size_t n) {
  SimulatedEntry& entry = entries[n];
  entry.next_read = now + kReadInterval;
  const std::string caller = "entry-" + std::to_string(n);
  const joblog::FollowCall call = entry.follower->Next();
  if (call.kind == joblog::FollowCall::Kind::kNewest) {
    entry.follower->OnNewest(store.Newest(caller, call.after_key), now);
  } else {
    entry.follower->OnRead(store.Read(caller, call.from), now);
  }
  entry.role->OnPage(*entry.follower, BothClocks());
}

void JobSimulation::Impl::StartAppend(std::size_t n) {
  SimulatedEntry& entry = entries[n];
  const auto append = entry.role->NextAppend(random(), BothClocks());
  if (!append) {
    return;
  }
  const std::string caller = "entry-" + std::to_string(n);
  CallStore(
      [this, caller, append = *append] {
        return store.Append(caller, append.records, append.options);
      },
      [this, n, life = entry.life](const joblog::AppendResult& result) {
        if (EntryLives(n, life)) {
          entries[n].role->OnAppended(result, BothClocks());
        }
      });
}

void JobSimulation::Impl::StepEntry(std::size_t n) {
  SimulatedEntry& entry = entries[n];
  if (now >= entry.next_read) {
    Read(n);
  }
  StartAppend(n);
  Trace("entry-" + std::to_string(n), entry.role->TakeLog());
  if (entry.role->Active() == nullptr) {
    return;
  }
  for (const auto& it : entry.role->Active()->Agents()) {
    if (!entry.syncing.contains(it.agent) &&
        (now >= entry.next_sync[it.agent] ||
         entry.role->Active()->HasNews(it.agent, BothClocks()))) {
      Sync(n, it.agent);
    }
  }
}

void JobSimulation::Impl::Sync(std::size_t n, const AgentName& name) {
  SimulatedEntry& entry = entries[n];
  entry.next_sync[name] = now + kSyncInterval;
  entry.syncing.insert(name);
  const protocol::SyncRequest request =
      entry.role->Active()->MakeSync(name, Millis{0}, BothClocks());
  const std::uint64_t life = entry.life;
  const std::uint64_t epoch = entry.role->Epoch();
  After(Delay(), [this, n, name, request, life, epoch] {
    const auto release = [this, n, name, life] {
      if (EntryLives(n, life)) {
        entries[n].syncing.erase(name);
      }
    };
    const auto called = FindAgent(name);
    if (!called || !agents[*called].running || agents[*called].partitioned) {
      After(kCallTimeout, release);
      DeliverLate(name, request);
      return;
    }
    if (agents[*called].frozen) {
      After(kCallTimeout, release);
    }
    const auto handle = [this, n, m = *called, name, request, life, epoch,
                         release, arrived = now] {
      executor::Executor& agent = *agents[m].executor;
      const TimePoint local = AgentClock(m);
      const bool accepted = agent.OnSync(request, local);
      if (now - arrived >= kCallTimeout) {
        return;  // The caller waits no longer.
      }
      const protocol::SyncReply reply = agent.MakeReply(accepted, local);
      After(Delay(), [this, n, name, request, reply, life, epoch, release] {
        release();
        if (!EntryLives(n, life) || entries[n].role->Epoch() != epoch) {
          return;
        }
        if (reply.accepted) {
          entries[n].role->Active()->OnReply(
              name, request.lease_from.incarnation, reply, BothClocks());
        } else {
          entries[n].role->OnDeposed(epoch, BothClocks());
        }
      });
    };
    Deliver(*called, agents[*called].life, handle);
  });
}

// A request that a partition has delayed may arrive after its end, long after
// the caller has timed out.
void JobSimulation::Impl::DeliverLate(const AgentName& name,
                                      const protocol::SyncRequest& request) {
  const Millis held(std::uniform_int_distribution<std::int64_t>(
      0, kMaxDeliveryDelay.count())(random));
  After(held, [this, name, request] {
    const auto called = FindAgent(name);
    if (called && agents[*called].running && !agents[*called].partitioned) {
      Deliver(*called, agents[*called].life, [this, n = *called, request] {
        agents[n].executor->OnSync(request, AgentClock(n));
      });
    }
  });
}

}  // namespace shallotlug::jobharness
