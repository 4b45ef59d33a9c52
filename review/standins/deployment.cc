#include "deployment.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr const char* kEntryProgram = "target/apps/shallotlug";
constexpr const char* kAgentProgram = "target/apps/shallotlug-agent";
constexpr const char* kHost = "jobs.example";
constexpr const char* kPrefix = "/queue/";
constexpr const char* kKey = "key-1";
constexpr const char* kService = "service-1";
constexpr const char* kZone = "zone-1";
constexpr Millis kStartLimit{25'000};
constexpr Millis kCallTimeout{3'000};

std::string FreeAddress() {
  return "127.0.0.1:" + std::to_string(FreePort());
}

// The newest configuration, as the operator writes it.
std::string Configuration() {
  return json::serialize(json::object{
      {"version", 3},
      {"routes", json::array{json::object{{"name", "queue-1"},
                                          {"host", kHost},
                                          {"path_prefix", kPrefix},
                                          {"service", kService},
                                          {"priority", 0},
                                          {"max_attempts", 4},
                                          {"slack_factor", 3.0},
                                          {"target_latency_ms", 1'000},
                                          {"timeout_ms", 3'000}}}},
      {"tenants",
       json::array{json::object{{"name", "tenant-1"},
                                {"api_keys", json::array{kKey}},
                                {"guaranteed", json::object{{"gpu", 4}}}}}},
      {"services", json::array{json::object{{"name", kService},
                                            {"enforces_capacity", true}}}},
      {"limits", json::object{}}});
}

}  // namespace

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Deployment::Deployment(int entries,
                       int workers,
                       int workers_a_rack,
                       Record& record)
    : record_(record) {
  folder_ = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(folder_.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  store_.Put("keyed.op", {"config", Configuration()});
  for (int n = 0; n < entries; ++n) {
    const std::string name = "entry-" + std::to_string(n + 1);
    store_links_.push_back(LinkToStore(name));
    entries_.push_back({FreeAddress(), FreeAddress()});
    Run(name, kEntryProgram,
        json::serialize(json::object{
            {"name", name},
            {"data_centre", kZone},
            {"callers_listen", entries_.back().callers},
            {"readiness_listen", entries_.back().readiness},
            {"peers_listen", FreeAddress()},
            {"metrics_listen", FreeAddress()},
            {"store", store_links_.back()->Address()},
            {"processor_cores", 0.25},
            {"http",
             json::object{{"body_bytes", 1'048'576}, {"connections", 2'048}}},
            {"timing", json::object{{"longest_lease_ms", 10'000},
                                    {"stop_timeout_ms", 400},
                                    {"reclaim_ms", 2'900},
                                    {"state_retention_s", 120}}},
            {"log", json::object{{"format", "json"}}}}));
  }
  for (int n = 0; n < workers; ++n) {
    const std::string number = std::to_string(n + 1);
    WorkerOptions options;
    options.id = "worker-" + number;
    options.service = kService;
    options.zone = kZone;
    options.rack = "rack-" + std::to_string(n / workers_a_rack + 1);
    workers_.push_back(std::make_unique<Worker>(options, record_));
    agent_links_.push_back(LinkToStore("agent-" + number));
    const std::string heartbeats = FreeAddress();
    Run("agent-" + number, kAgentProgram,
        json::serialize(
            json::object{{"name", "agent-" + number},
                         {"data_centre", kZone},
                         {"heartbeats_listen", heartbeats},
                         {"scheduler_listen", FreeAddress()},
                         {"metrics_listen", FreeAddress()},
                         {"worker", workers_.back()->Address()},
                         {"store", agent_links_.back()->Address()},
                         {"timing", json::object{{"longest_lease_ms", 10'000}}},
                         {"log", json::object{{"format", "json"}}}}));
    workers_.back()->Join(heartbeats);
  }
}

void Deployment::Stop() {
  for (const pid_t it : processes_) {
    ::kill(it, SIGKILL);
    ::waitpid(it, nullptr, 0);
  }
  processes_.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::unique_ptr<HttpServer> Deployment::LinkToStore(const std::string& caller) {
  return std::make_unique<HttpServer>([this, caller](const Request& request) {
    return store_.Handle(caller, request);
  });
}

void Deployment::Run(const std::string& name,
                     const std::string& program,
                     const std::string& settings) {
  const std::string file = folder_ + "/" + name + ".json";
  std::ofstream(file) << settings;
  const std::string option = "--settings=" + file;
  const std::string log = folder_ + "/" + name + ".log";
  const pid_t parent = ::getpid();
  const pid_t process = ::fork();
  if (process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(1);
    }
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execl(program.c_str(), program.c_str(), "serve-jobs", option.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  processes_.push_back(process);
}

std::string Deployment::JobPath(const std::string& id) {
  return kPrefix + id;
}

Request Deployment::ClientCall(const std::string& method,
                               const std::string& target,
                               const std::string& body) {
  Request request;
  request.method = method;
  request.target = target;
  request.headers = {{"host", kHost},
                     {"authorization", std::string("Bearer ") + kKey},
                     {"content-type", "application/json"},
                     {"x-shallotlug-deadline-ms", "3000"}};
  request.body = body;
  return request;
}

std::vector<Start> Deployment::Starts() {
  std::vector<Start> all;
  for (const auto& it : workers_) {
    const std::vector<Start> starts = it->Starts();
    all.insert(all.end(), starts.begin(), starts.end());
  }
  return all;
}

bool Deployment::WaitUntilServing() {
  const auto until = Clock::now() + kStartLimit;
  const auto is_late = [&] {
    std::this_thread::sleep_for(Millis(100));
    return Clock::now() > until;
  };
  for (const EntryAddresses& it : entries_) {
    HttpClient client(it.readiness);
    while (true) {
      const auto response =
          client.Call(ClientCall("GET", "/api/readyz"), kCallTimeout);
      if (response && response->status == 200) {
        break;
      }
      if (is_late()) {
        return false;
      }
    }
  }
  // One task for each worker, so that all agents are known to be in contact.
  const std::string path = JobPath("0000000000000001");
  const std::string body = json::serialize(json::object{
      {"spec", "run_ms=500"},
      {"steps", json::array{json::object{{"count", workers_.size()},
                                         {"cpu", 1'000},
                                         {"mem_mb", 256},
                                         {"gpu", 8},
                                         {"estimate_ms", 500}}}}});
  HttpClient client(entries_.front().callers);
  client.Call(ClientCall("POST", path, body), kCallTimeout);
  while (true) {
    const auto response = client.Call(ClientCall("GET", path), kCallTimeout);
    if (response && response->body.find("completed") != std::string::npos) {
      record_.Line("the deployment serves");
      return true;
    }
    if (is_late()) {
      return false;
    }
  }
}

int Main(int count,
         char** words,
         int entries,
         int workers,
         int workers_a_rack,
         const std::function<int(Deployment&, Record&)>& run) {
  if (count != 2) {
    return kCouldNotRun;
  }
  // Threads of the stand-ins use these until the process ends.
  auto* record = new Record(words[1]);
  auto* deployment = new Deployment(entries, workers, workers_a_rack, *record);
  int code = kCouldNotRun;
  if (deployment->WaitUntilServing()) {
    code = run(*deployment, *record);
  } else {
    record->Line("the deployment does not serve");
  }
  deployment->Stop();
  record->Line("exit code " + std::to_string(code));
  std::_Exit(code);
}

}  // namespace review
