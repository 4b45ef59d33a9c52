// A randomized soak: the real programs as separate processes against stand-ins
// of the platform, with faults that are injected from outside. Usage:
//   soak [--seed=N] [--seconds=S] [--entries=E] [--agents=A]
//        [--longest_work_ms=W] [--job_interval_ms=I] [--cancel_percent=C]
//        [--rounds=R] [--store_only] [--nosevere] [--logs=FOLDER]

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "../processes.h"
#include "callers.h"
#include "link_proxy.h"
#include "platform_servers.h"
#include "shallotlug/net/role_loop.h"
#include "shallotlug/platform/store_client.h"

ABSL_FLAG(std::uint64_t, seed, 1, "Draws the faults and the jobs.");
ABSL_FLAG(int, seconds, 30, "Time with faults.");
ABSL_FLAG(int, entries, 3, "Entries.");
ABSL_FLAG(int, agents, 6, "Agents, each with a worker.");
ABSL_FLAG(int, longest_work_ms, 12'000, "Work of the longest tasks.");
ABSL_FLAG(int, job_interval_ms, 500, "Longest time between two submissions.");
ABSL_FLAG(int, cancel_percent, 10, "Share of the jobs that is cancelled.");
ABSL_FLAG(int, rounds, 1, "Times with faults, each with a calm time after it.");
ABSL_FLAG(bool, store_only, false, "All faults are losses of the store.");
ABSL_FLAG(bool, severe, true, "With series of faults and late calls.");
ABSL_FLAG(std::string, logs, "", "Keeps the programs' output here.");

namespace shallotlug::soak {
namespace {

namespace json = boost::json;
using net::ReadClock;

constexpr Millis kTick{5};
// All faults are over for this long before jobs must have ended.
constexpr Millis kSettle{60'000};
// After the end of a fault all parts are in contact again.
constexpr Millis kContact{3'000};
// Long enough to judge what goes on although it was cancelled.
constexpr Millis kCalmTime{8'000};
constexpr int kShortestFault = 300;
constexpr int kLongestFault = 5'000;
// From the first lost answer of the store to the end of its connections.
constexpr int kShortestAnswerLoss = 5;
constexpr int kLongestAnswerLoss = 250;
constexpr int kShortestFreeze = 3'000;
constexpr int kLongestFreeze = 8'000;
// What the entries are told is shorter than most freezes and than the workers'
// own maximum: a lease that is counted wrongly shows only after the scheduler
// has abandoned the run.
constexpr Millis kLeaseSetting{6'000};
constexpr Millis kLongestLease{10'000};
constexpr int kSlowestClockPerMille = 20;
constexpr double kLateShare = 0.3;
constexpr int kHour = 3'600'000;
// Machines have run for up to this long.
constexpr int kLongestUptimeHours = 40;

/// @brief One of the system's processes, with its link to the store.
struct Member {
  std::string name;
  std::string program;
  std::string settings;  ///< File.
  std::string log;
  std::unique_ptr<StoreServer> store;
  std::unique_ptr<LinkProxy> store_link;
  /// To callers of an entry, or to the worker of an agent.
  std::unique_ptr<LinkProxy> other_link;
  std::unique_ptr<apps::Process> process;
  bool wanted = true;  ///< Runs, or is started again when it has ended.
  TimePoint start_at{};
  Millis clock_offset{0};  ///< Of its machine's clock.
};

class Soak {
 public:
  Soak() : random_(absl::GetFlag(FLAGS_seed)), fleet_(oracle_) {
    oracle_.AllowIncompleteGangs();
    WriteConfiguration(1);
    std::vector<std::string> callers;
    for (int n = 0; n < absl::GetFlag(FLAGS_entries); ++n) {
      AddEntry("entry-" + std::to_string(n + 1));
      callers.push_back(members_.back()->other_link->Address());
    }
    for (int n = 0; n < absl::GetFlag(FLAGS_agents); ++n) {
      AddAgent("agent-" + std::to_string(n + 1), n / 3);
    }
    CallerOptions options;
    options.longest_work = Millis(absl::GetFlag(FLAGS_longest_work_ms));
    options.job_interval = Millis(absl::GetFlag(FLAGS_job_interval_ms));
    options.cancel_percent = absl::GetFlag(FLAGS_cancel_percent);
    callers_ = std::make_unique<Callers>(context_, oracle_, fleet_, random_,
                                         callers, options);
  }

  int Run() {
    for (int n = 0; n < absl::GetFlag(FLAGS_rounds); ++n) {
      PlayFaults();
      EndFaults();
      const TimePoint calm_until = ReadClock() + kCalmTime;
      while (ReadClock() < calm_until) {
        Tick();
      }
    }
    callers_->StopSubmitting();
    const TimePoint end = ReadClock() + kSettle;
    while (ReadClock() < end && !callers_->AllFinal()) {
      Tick();
    }
    return Report();
  }

 private:
  int RandomInt(int low, int high) {
    return std::uniform_int_distribution<>(low, high)(random_);
  }

  void PlayFaults() {
    const TimePoint faults_until =
        ReadClock() + Millis(1'000 * absl::GetFlag(FLAGS_seconds));
    TimePoint next_fault = ReadClock() + Millis(1'500);
    in_faults_ = true;
    while (ReadClock() < faults_until) {
      Tick();
      if (ReadClock() >= next_fault) {
        next_fault = ReadClock() + Millis(RandomInt(100, 2'000));
        InjectFault();
      }
    }
  }

  void EndFaults() {
    planned_.clear();
    for (const auto& undo : undo_) {
      undo.second();
    }
    undo_.clear();
    calm_since_ = ReadClock() + kContact;
    in_faults_ = false;
  }

  void WriteConfiguration(int version) {
    json::array routes;
    for (const char* name : {"live", "batch"}) {
      routes.push_back(
          json::object{{"name", name},
                       {"host", "jobs.example"},
                       {"path_prefix", "/" + std::string(name) + "/"},
                       {"public", true},
                       {"service", "pool"},
                       {"priority", name[0] == 'l' ? 0 : 1},
                       {"max_attempts", 3},
                       {"slack_factor", 3.0},
                       {"target_latency_ms", 1'000}});
    }
    topics_[platform::kOperatorTopic].Append(
        "operator",
        {{"config",
          json::serialize(json::object{
              {"version", version},
              {"routes", std::move(routes)},
              {"services", json::array{json::object{{"name", "pool"}}}}})}},
        {});
    version_ = version;
  }

  Member& AddMember(const std::string& name, const std::string& program) {
    auto member = std::make_unique<Member>();
    member->name = name;
    member->program = program;
    const std::string logs = absl::GetFlag(FLAGS_logs);
    member->log = (logs.empty() ? folder_.Path() : logs) + "/" + name + ".log";
    member->store =
        std::make_unique<StoreServer>(context_, topics_, faults_, random_);
    member->store_link =
        std::make_unique<LinkProxy>(context_, member->store->Address());
    member->clock_offset = Millis(RandomInt(1, kLongestUptimeHours) * kHour);
    members_.push_back(std::move(member));
    return *members_.back();
  }

  void AddEntry(const std::string& name) {
    Member& entry = AddMember(name, SHALLOTLUG_ENTRY_PROGRAM);
    const std::string callers = apps::FreeAddress();
    entry.other_link = std::make_unique<LinkProxy>(context_, callers);
    entry.settings = folder_.Write(
        name + ".json", json::serialize(json::object{
                            {"name", name},
                            {"data_centre", "z"},
                            {"callers_listen", callers},
                            {"readiness_listen", apps::FreeAddress()},
                            {"peers_listen", apps::FreeAddress()},
                            {"metrics_listen", apps::FreeAddress()},
                            {"store", entry.store_link->Address()},
                            {"timing", json::object{{"longest_lease_ms",
                                                     kLeaseSetting.count()}}},
                            {"log", json::object{{"format", "json"}}}}));
    Start(entry);
  }

  void AddAgent(const std::string& name, int rack) {
    const WorkerClock clock{Millis(RandomInt(0, kHour)),
                            RandomInt(0, kSlowestClockPerMille)};
    jobharness::FakeWorkerSetup setup;
    setup.rack = "r" + std::to_string(rack);
    setup.capacity = {4'000, 4'000, 4};
    setup.longest_lease = RealTime(clock, kLongestLease);
    fleet_.Add(name, setup, ReadClock());
    Member& agent = AddMember(name, SHALLOTLUG_AGENT_PROGRAM);
    workers_.push_back(
        std::make_unique<WorkerServer>(context_, fleet_, random_, name, clock));
    agent.other_link =
        std::make_unique<LinkProxy>(context_, workers_.back()->Address());
    const std::string heartbeats = apps::FreeAddress();
    workers_.back()->SetAgent(heartbeats);
    agent.settings = folder_.Write(
        name + ".json", json::serialize(json::object{
                            {"name", name},
                            {"data_centre", "z"},
                            {"heartbeats_listen", heartbeats},
                            {"scheduler_listen", apps::FreeAddress()},
                            {"metrics_listen", apps::FreeAddress()},
                            {"worker", agent.other_link->Address()},
                            {"store", agent.store_link->Address()},
                            {"log", json::object{{"format", "json"}}}}));
    Start(agent);
  }

  static void Start(Member& member) {
    member.process = std::make_unique<apps::Process>(
        member.program,
        std::vector<std::string>{
            "serve-jobs", "--settings=" + member.settings,
            "--clock_offset_ms=" + std::to_string(member.clock_offset.count())},
        member.log);
  }

  void Tick() {
    const TimePoint now = ReadClock();
    context_.restart();
    context_.run_for(kTick);
    fleet_.Advance(now);
    for (const auto& it : workers_) {
      it->Tick(now);
    }
    for (const auto& it : members_) {
      it->store->Tick(now);
      // A program that ends is started again, as the platform does.
      if (it->process && !it->process->Running()) {
        it->process.reset();
        it->start_at = now + Millis(RandomInt(50, 2'000));
      }
      if (!it->process && now >= it->start_at) {
        Start(*it);
        calm_since_ = std::max(calm_since_, now + kContact);
      }
    }
    if (!in_faults_) {
      oracle_.CheckCancelled(calm_since_, now);
    }
    callers_->Tick(now);
    RunDue(planned_, now);
    RunDue(undo_, now);
  }

  using Schedule = std::vector<std::pair<TimePoint, std::function<void()>>>;

  static void RunDue(Schedule& schedule, TimePoint now) {
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

  void After(int low, int high, std::function<void()> fault) {
    planned_.emplace_back(ReadClock() + Millis(RandomInt(low, high)),
                          std::move(fault));
  }

  Member& Pick() {
    return *members_[static_cast<std::size_t>(
        RandomInt(0, static_cast<int>(members_.size()) - 1))];
  }

  void For(const char* what,
           const std::string& whom,
           std::function<void()> undo,
           int shortest = kShortestFault,
           int longest = kLongestFault) {
    const Millis time(RandomInt(shortest, longest));
    std::printf("%8lld ms %s %s for %lld ms\n", Elapsed(), what, whom.c_str(),
                static_cast<long long>(time.count()));
    undo_.emplace_back(ReadClock() + time, std::move(undo));
  }

  long long Elapsed() const { return (ReadClock() - began_).count(); }

  void Signal(Member& member, int number, const char* what) {
    std::printf("%8lld ms %s %s\n", Elapsed(), what, member.name.c_str());
    if (member.process) {
      member.process->Signal(number);
    }
  }

  void Pause(Member& member, int shortest, int longest) {
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

  void Cut(const std::string& name, LinkProxy& link) {
    link.Block(true, true);
    For("cut", name, [&link] { link.Block(false, false); });
  }

  // The clock begins anew, jumps within the uptimes of machines, or is about a
  // second off.
  void LosePower(Member& member) {
    switch (RandomInt(0, 2)) {
      case 0:
        member.clock_offset =
            Millis(RandomInt(10'000, 60'000)) - ReadClock().time_since_epoch();
        break;
      case 1:
        member.clock_offset = Millis(RandomInt(1, kLongestUptimeHours) * kHour);
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
  void HarmAgent() {
    const auto agents = static_cast<int>(workers_.size());
    const auto n = members_.size() - workers_.size() +
                   static_cast<std::size_t>(RandomInt(0, agents - 1));
    Member& agent = *members_[n];
    LosePower(agent);
    After(2'000, 6'000, [this, &agent] {
      Pause(agent, kShortestFreeze, kLongestFreeze);
      After(0, kLongestFreeze,
            [this, &agent] { Cut(agent.name, *agent.other_link); });
    });
  }

  void InjectFault() {
    if (absl::GetFlag(FLAGS_store_only)) {
      return LoseStore();
    }
    Member& member = Pick();
    LinkProxy& link =
        RandomInt(0, 1) == 0 ? *member.store_link : *member.other_link;
    switch (RandomInt(0, severe_ ? 19 : 15)) {
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
        faults_.busy = true;
        return For("store busy", "", [this] { faults_.busy = false; });
      case 9:
        faults_.silent = true;
        return For("store silent", "", [this] { faults_.silent = false; });
      case 10:
        (RandomInt(0, 1) == 0 ? faults_.lost_answers : faults_.late_appends) =
            0.3;
        return For("store loses", "", [this] {
          faults_.lost_answers = 0;
          faults_.late_appends = 0;
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
  void LoseStore() {
    if (store_down_) {
      return;
    }
    store_down_ = true;
    for (const auto& it : members_) {
      it->store_link->Block(false, true);
    }
    For("store down", "", [this] { EndStoreLoss(); });
    After(kShortestAnswerLoss, kLongestAnswerLoss, [this] {
      if (store_down_) {
        for (const auto& it : members_) {
          it->store_link->SetDown(true);
        }
        connections_refused_ = true;
      }
    });
  }

  void EndStoreLoss() {
    store_down_ = false;
    for (const auto& it : members_) {
      it->store_link->Block(false, false);
      if (connections_refused_) {
        it->store_link->SetDown(false);
      }
    }
    connections_refused_ = false;
  }

  void HarmWorker() {
    const auto n = static_cast<std::size_t>(
        RandomInt(0, static_cast<int>(workers_.size()) - 1));
    const std::string name = "agent-" + std::to_string(n + 1);
    switch (RandomInt(0, severe_ ? 2 : 1)) {
      case 0:
        return RestartWorker(name);
      case 1:
        workers_[n]->LoseAnswers(true);
        return For("worker loses answers", name,
                   [this, n] { workers_[n]->LoseAnswers(false); });
      default:
        workers_[n]->CarryOutLate(kLateShare);
        For("worker is late", name,
            [this, n] { workers_[n]->CarryOutLate(0); });
        if (RandomInt(0, 1) == 0) {
          After(kShortestFault, kLongestFault,
                [this, name] { RestartWorker(name); });
        }
    }
  }

  void RestartWorker(const std::string& name) {
    std::printf("%8lld ms worker of %s restarts\n", Elapsed(), name.c_str());
    fleet_.Restart(name, ReadClock());
  }

  void HarmAll() {
    switch (RandomInt(0, 2)) {
      case 0:
        for (const auto& it : members_) {
          Signal(*it, SIGKILL, "kill");
        }
        return;
      case 1:
        for (auto& [name, topic] : topics_) {
          topic.DropHistory();
        }
        std::printf("%8lld ms history dropped\n", Elapsed());
        return;
      default:
        WriteConfiguration(version_ + RandomInt(1, 3));
        std::printf("%8lld ms configuration %d\n", Elapsed(), version_);
    }
  }

  int Report() {
    oracle_.Finish();
    std::vector<std::string> findings = callers_->Findings();
    findings.insert(findings.end(), oracle_.Violations().begin(),
                    oracle_.Violations().end());
    for (const std::string& it : findings) {
      std::printf("broken: %s\n", it.c_str());
    }
    std::printf(
        "seed %llu: %d jobs accepted, %d not, %d cancelled, %d starts, "
        "%zu broken\n",
        static_cast<unsigned long long>(absl::GetFlag(FLAGS_seed)),
        callers_->Accepted(), callers_->Refused(), callers_->Cancelled(),
        oracle_.Starts(), findings.size());
    return findings.empty() && callers_->Accepted() > 0 ? 0 : 1;
  }

  const TimePoint began_ = ReadClock();
  const bool severe_ = absl::GetFlag(FLAGS_severe);
  boost::asio::io_context context_;
  std::mt19937_64 random_;
  apps::TemporaryFolder folder_;
  jobharness::JobOracle oracle_;
  jobharness::FakeFleet fleet_;
  StoreServer::Topics topics_;
  StoreFaults faults_;
  int version_ = 0;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<WorkerServer>> workers_;
  std::unique_ptr<Callers> callers_;
  bool store_down_ = false;
  bool connections_refused_ = false;  ///< While the store is down.
  bool in_faults_ = true;
  TimePoint calm_since_{};  ///< Outside times with faults.
  Schedule planned_;        ///< Faults of series.
  Schedule undo_;
};

}  // namespace
}  // namespace shallotlug::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  const std::string logs = absl::GetFlag(FLAGS_logs);
  std::error_code ec;
  if (!logs.empty() && !std::filesystem::create_directories(logs, ec) && ec) {
    std::fprintf(stderr, "soak: --logs=%s: the folder cannot be made: %s\n",
                 logs.c_str(), ec.message().c_str());
    return 2;
  }
  shallotlug::soak::Soak soak;
  return soak.Run();
}
