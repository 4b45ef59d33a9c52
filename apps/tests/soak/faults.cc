#include "faults.h"

#include <csignal>
#include <cstdio>

namespace shallotlug::soak {

using net::ReadClock;

namespace {

constexpr int kShortestFault = 300;
constexpr int kLongestFault = 5'000;
// From the first lost answer of the store to the end of its connections.
constexpr int kShortestAnswerLoss = 5;
constexpr int kLongestAnswerLoss = 250;
constexpr int kShortestFreeze = 3'000;
constexpr int kLongestFreeze = 8'000;
constexpr double kLateShare = 0.3;

}  // namespace

Faults::Faults(Deployment& deployment,
               std::mt19937_64& random,
               const FaultOptions& options)
    : deployment_(deployment), random_(random), options_(options) {}

int Faults::RandomInt(int low, int high) {
  return std::uniform_int_distribution<>(low, high)(random_);
}

void Faults::Tick(TimePoint now) {
  RunDue(planned_, now);
  RunDue(undo_, now);
}

void Faults::End() {
  planned_.clear();
  for (const auto& [at, undo] : std::exchange(undo_, {})) {
    undo();
  }
}

void Faults::RunDue(Schedule& schedule, TimePoint now) {
  for (std::size_t n = 0; n < schedule.size();) {
    if (now < schedule[n].first) {
      ++n;
      continue;
    }
    const auto action = std::move(schedule[n].second);
    schedule.erase(schedule.begin() + static_cast<std::ptrdiff_t>(n));
    action();
  }
}

void Faults::After(int low, int high, std::function<void()> fault) {
  planned_.emplace_back(ReadClock() + Millis(RandomInt(low, high)),
                        std::move(fault));
}

Member& Faults::Pick() {
  return *deployment_.Members()[static_cast<std::size_t>(
      RandomInt(0, static_cast<int>(deployment_.Members().size()) - 1))];
}

void Faults::For(const char* what,
                 const std::string& whom,
                 std::function<void()> undo,
                 int shortest,
                 int longest) {
  const Millis time(RandomInt(shortest, longest));
  std::printf("%8lld ms %s %s for %lld ms\n", Elapsed(), what, whom.c_str(),
              static_cast<long long>(time.count()));
  undo_.emplace_back(ReadClock() + time, std::move(undo));
}

void Faults::For(const char* what,
                 const std::string& whom,
                 std::function<void()> undo) {
  For(what, whom, std::move(undo), kShortestFault, kLongestFault);
}

long long Faults::Elapsed() const {
  return (ReadClock() - began_).count();
}

void Faults::Signal(Member& member, int number, const char* what) {
  std::printf("%8lld ms %s %s\n", Elapsed(), what, member.name.c_str());
  if (member.process) {
    member.process->Signal(number);
  }
}

void Faults::Pause(Member& member, int shortest, int longest) {
  Signal(member, SIGSTOP, "pause");
  For(
      "pause", member.name,
      [&member] {
        if (member.process) {
          member.process->Signal(SIGCONT);
        }
      },
      shortest, longest);
}

void Faults::Cut(const std::string& name, LinkProxy& link) {
  link.Block(true, true);
  For("cut", name, [&link] { link.Block(false, false); });
}

// The clock begins anew, jumps within the uptimes of machines, or is about a
// second off.
void Faults::LosePower(Member& member) {
  switch (RandomInt(0, 2)) {
    case 0:
      member.clock_offset =
          Millis(RandomInt(10'000, 60'000)) - ReadClock().time_since_epoch();
      break;
    case 1:
      member.clock_offset = RandomUptime(random_);
      break;
    default:
      member.clock_offset +=
          Millis(RandomInt(500, 1'500)) * (RandomInt(0, 1) == 0 ? 1 : -1);
  }
  std::printf("%8lld ms clock of %s at %+lld ms\n", Elapsed(),
              member.name.c_str(),
              static_cast<long long>(member.clock_offset.count()));
  Signal(member, SIGKILL, "power loss");
}

// An agent loses power, stands still later on, and loses its worker.
void Faults::HarmAgent() {
  const auto agents = static_cast<int>(deployment_.Workers().size());
  const auto n = deployment_.Members().size() - deployment_.Workers().size() +
                 static_cast<std::size_t>(RandomInt(0, agents - 1));
  Member& agent = *deployment_.Members()[n];
  LosePower(agent);
  After(2'000, 6'000, [this, &agent] {
    Pause(agent, kShortestFreeze, kLongestFreeze);
    After(0, kLongestFreeze,
          [this, &agent] { Cut(agent.name, *agent.other_link); });
  });
}

void Faults::Inject() {
  if (options_.store_only) {
    return LoseStore();
  }
  Member& member = Pick();
  LinkProxy& link =
      RandomInt(0, 1) == 0 ? *member.store_link : *member.other_link;
  switch (RandomInt(0, options_.severe ? 19 : 15)) {
    case 0:
      return Signal(member, SIGKILL, "kill");
    case 1:
      return Signal(member, SIGTERM, "terminate");
    case 2:
      return Pause(member, kShortestFault, kLongestFault);
    case 3:
      return Cut(member.name, link);
    case 4: {
      const bool requests = RandomInt(0, 1) == 0;
      link.Block(requests, !requests);
      return For(requests ? "cut requests of" : "cut answers to", member.name,
                 [&link] { link.Block(false, false); });
    }
    case 5:
      link.Reset();
      std::printf("%8lld ms reset %s\n", Elapsed(), member.name.c_str());
      return;
    case 6:
      link.SilenceOpen();
      std::printf("%8lld ms silence %s\n", Elapsed(), member.name.c_str());
      return;
    case 7:
      link.Delay(Millis(RandomInt(20, 300)));
      return For("delay", member.name, [&link] { link.Delay(Millis(0)); });
    case 8:
      deployment_.Store().busy = true;
      return For("store busy", "",
                 [this] { deployment_.Store().busy = false; });
    case 9:
      deployment_.Store().silent = true;
      return For("store silent", "",
                 [this] { deployment_.Store().silent = false; });
    case 10:
      (RandomInt(0, 1) == 0 ? deployment_.Store().lost_answers
                            : deployment_.Store().late_appends) = 0.3;
      return For("store loses", "", [this] {
        deployment_.Store().lost_answers = 0;
        deployment_.Store().late_appends = 0;
      });
    case 11:
      member.store->Refuse(true);
      return For("store refuses", member.name,
                 [&member] { member.store->Refuse(false); });
    case 12:
      return HarmWorker();
    case 13:
      return LosePower(member);
    case 14:
      return HarmAll();
    case 15:
      return LoseStore();
    default:
      return HarmAgent();
  }
}

// The store carries out what it has read, and its answers are lost with the
// connections. New connections are refused until it is back.
void Faults::LoseStore() {
  if (store_down_) {
    return;
  }
  store_down_ = true;
  for (const auto& it : deployment_.Members()) {
    it->store_link->Block(false, true);
  }
  For("store down", "", [this] { EndStoreLoss(); });
  After(kShortestAnswerLoss, kLongestAnswerLoss, [this] {
    if (store_down_) {
      for (const auto& it : deployment_.Members()) {
        it->store_link->SetDown(true);
      }
      connections_refused_ = true;
    }
  });
}

void Faults::EndStoreLoss() {
  store_down_ = false;
  for (const auto& it : deployment_.Members()) {
    it->store_link->Block(false, false);
    if (connections_refused_) {
      it->store_link->SetDown(false);
    }
  }
  connections_refused_ = false;
}

void Faults::HarmWorker() {
  const auto n = static_cast<std::size_t>(
      RandomInt(0, static_cast<int>(deployment_.Workers().size()) - 1));
  const std::string name = "agent-" + std::to_string(n + 1);
  switch (RandomInt(0, options_.severe ? 2 : 1)) {
    case 0:
      return RestartWorker(name);
    case 1:
      deployment_.Workers()[n]->LoseAnswers(true);
      return For("worker loses answers", name,
                 [this, n] { deployment_.Workers()[n]->LoseAnswers(false); });
    default:
      deployment_.Workers()[n]->CarryOutLate(kLateShare);
      For("worker is late", name,
          [this, n] { deployment_.Workers()[n]->CarryOutLate(0); });
      if (RandomInt(0, 1) == 0) {
        After(kShortestFault, kLongestFault,
              [this, name] { RestartWorker(name); });
      }
  }
}

void Faults::RestartWorker(const std::string& name) {
  std::printf("%8lld ms worker of %s restarts\n", Elapsed(), name.c_str());
  deployment_.Fleet().Restart(name, ReadClock());
}

void Faults::HarmAll() {
  switch (RandomInt(0, 2)) {
    case 0:
      for (const auto& it : deployment_.Members()) {
        Signal(*it, SIGKILL, "kill");
      }
      return;
    case 1:
      deployment_.DropHistory();
      std::printf("%8lld ms history dropped\n", Elapsed());
      return;
    default:
      std::printf("%8lld ms configuration %d\n", Elapsed(),
                  deployment_.RaiseConfiguration(RandomInt(1, 3)));
  }
}

}  // namespace shallotlug::soak
