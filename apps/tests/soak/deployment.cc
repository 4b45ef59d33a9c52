#include "deployment.h"

#include <utility>

#include <boost/json.hpp>

#include "shallotlug/net/role_loop.h"
#include "shallotlug/platform/store_client.h"

namespace shallotlug::soak {

namespace json = boost::json;
using net::ReadClock;

namespace {

// What the entries are told is shorter than most freezes and than the workers'
// own maximum: a lease that is counted wrongly shows only after the scheduler
// has abandoned the run.
constexpr Millis kLeaseSetting{6'000};
constexpr Millis kLongestLease{10'000};
constexpr int kSlowestClockPerMille = 20;
constexpr int kHour = 3'600'000;
constexpr int kLongestUptimeHours = 40;
constexpr int kAgentsOfARack = 3;
constexpr double kFastFactor = 0.7;
constexpr double kSlowFactor = 1.7;
// A program that has ended is started again after this.
constexpr int kShortestRestart = 50;
constexpr int kLongestRestart = 2'000;

void Start(Member& member) {
  member.process = std::make_unique<apps::Process>(
      member.program,
      std::vector<std::string>{
          "serve-jobs", "--settings=" + member.settings,
          "--clock_offset_ms=" + std::to_string(member.clock_offset.count())},
      member.log);
}

}  // namespace

Millis RandomUptime(std::mt19937_64& random) {
  return Millis(
      std::uniform_int_distribution<>(1, kLongestUptimeHours)(random) * kHour);
}

Deployment::Deployment(boost::asio::io_context& context,
                       std::mt19937_64& random,
                       jobharness::JobOracle& oracle,
                       const DeploymentOptions& options)
    : context_(context), random_(random), options_(options), fleet_(oracle) {
  RaiseConfiguration(1);
  for (int n = 0; n < options_.entries; ++n) {
    AddEntry("entry-" + std::to_string(n + 1));
  }
  for (int n = 0; n < options_.agents; ++n) {
    AddAgent("agent-" + std::to_string(n + 1), n / kAgentsOfARack);
  }
}

int Deployment::RandomInt(int low, int high) {
  return std::uniform_int_distribution<>(low, high)(random_);
}

std::vector<std::string> Deployment::CallerAddresses() const {
  std::vector<std::string> addresses;
  for (int n = 0; n < options_.entries; ++n) {
    addresses.push_back(
        members_[static_cast<std::size_t>(n)]->other_link->Address());
  }
  return addresses;
}

int Deployment::RaiseConfiguration(int steps) {
  version_ += steps;
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
            {"version", version_},
            {"routes", std::move(routes)},
            {"services", json::array{json::object{{"name", "pool"}}}}})}},
      {});
  return version_;
}

Member& Deployment::AddMember(const std::string& name,
                              const std::string& program) {
  auto member = std::make_unique<Member>();
  member->name = name;
  member->program = program;
  member->log = (options_.logs.empty() ? folder_.Path() : options_.logs) + "/" +
                name + ".log";
  member->store =
      std::make_unique<StoreServer>(context_, topics_, faults_, random_);
  member->store_link =
      std::make_unique<LinkProxy>(context_, member->store->Address());
  member->clock_offset = RandomUptime(random_);
  members_.push_back(std::move(member));
  return *members_.back();
}

void Deployment::AddEntry(const std::string& name) {
  Member& entry = AddMember(name, SHALLOTLUG_ENTRY_PROGRAM);
  const std::string callers = apps::FreeAddress();
  entry.other_link = std::make_unique<LinkProxy>(context_, callers);
  entry.settings = folder_.Write(
      name + ".json",
      json::serialize(json::object{
          {"name", name},
          {"data_centre", "z"},
          {"callers_listen", callers},
          {"readiness_listen", apps::FreeAddress()},
          {"peers_listen", apps::FreeAddress()},
          {"metrics_listen", apps::FreeAddress()},
          {"store", entry.store_link->Address()},
          {"timing", json::object{{"longest_lease_ms", kLeaseSetting.count()}}},
          {"scheduling",
           json::object{{"learn_speeds", true}, {"weigh_lateness", true}}},
          {"log", json::object{{"format", "json"}}}}));
  Start(entry);
}

void Deployment::AddAgent(const std::string& name, int rack) {
  const WorkerClock clock{Millis(RandomInt(0, kHour)),
                          RandomInt(0, kSlowestClockPerMille)};
  jobharness::FakeWorkerSetup setup;
  setup.rack = "r" + std::to_string(rack);
  setup.capacity = {4'000, 4'000, 4};
  // Each third worker is slow.
  setup.time_factor = fleet_size_++ % 3 == 2 ? kSlowFactor : kFastFactor;
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
      name + ".json",
      json::serialize(json::object{{"name", name},
                                   {"data_centre", "z"},
                                   {"heartbeats_listen", heartbeats},
                                   {"scheduler_listen", apps::FreeAddress()},
                                   {"metrics_listen", apps::FreeAddress()},
                                   {"worker", agent.other_link->Address()},
                                   {"store", agent.store_link->Address()},
                                   {"log", json::object{{"format", "json"}}}}));
  Start(agent);
}

bool Deployment::Tick(TimePoint now) {
  fleet_.Advance(now);
  for (const auto& it : workers_) {
    it->Tick(now);
  }
  bool started = false;
  for (const auto& it : members_) {
    it->store->Tick(now);
    if (it->process && !it->process->Running()) {
      it->process.reset();
      it->start_at = now + Millis(RandomInt(kShortestRestart, kLongestRestart));
    }
    if (!it->process && now >= it->start_at) {
      Start(*it);
      started = true;
    }
  }
  return started;
}

void Deployment::DropHistory() {
  for (auto& [name, topic] : topics_) {
    topic.DropHistory();
  }
}

}  // namespace shallotlug::soak
