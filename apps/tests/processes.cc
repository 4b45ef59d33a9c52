#include "processes.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace shallotlug::apps {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::string AddressOf(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

std::string FreeAddress() {
  constexpr int kFirstPort = 10'000;
  constexpr int kPorts = 20'000;
  static std::mt19937 random{std::random_device()()};
  static asio::io_context context;
  static std::vector<tcp::acceptor> reserved;
  while (true) {
    const tcp::endpoint endpoint(
        asio::ip::address_v4::loopback(),
        static_cast<std::uint16_t>(kFirstPort + random() % kPorts));
    tcp::acceptor acceptor(context, endpoint.protocol());
    boost::system::error_code ec;
    acceptor.bind(endpoint, ec);
    if (ec) {
      continue;
    }
    // A program that sets the option too can bind the address beside a socket
    // that does not listen; others cannot.
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    reserved.push_back(std::move(acceptor));
    return AddressOf(endpoint);
  }
}

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log)
    : log_(log) {
  std::vector<std::string> words = {program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  for (std::string& it : words) {
    argv.push_back(it.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket that the program inherits stays open when this process closes it:
  // neither its end nor a reset reaches the peer.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

Process::~Process() {
  if (!ended_) {
    Signal(SIGKILL);
    Wait();
  }
}

void Process::Signal(int number) const {
  if (!ended_) {
    kill(pid_, number);
  }
}

int Process::Wait() {
  if (!WaitFor([this] { return !Running(); })) {
    Signal(SIGKILL);
    WaitFor([this] { return !Running(); });
  }
  return exit_code_;
}

bool Process::Running() {
  if (ended_) {
    return false;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) {
    ended_ = true;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  return !ended_;
}

Process::Memory Process::ReadMemory() const {
  constexpr std::size_t kKibibyte = 1024;
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  Memory memory;
  for (std::string word; status >> word;) {
    if (word == "VmRSS:") {
      status >> memory.now_bytes;
    } else if (word == "VmHWM:") {
      status >> memory.peak_bytes;
    }
  }
  return {memory.now_bytes * kKibibyte, memory.peak_bytes * kKibibyte};
}

std::size_t Process::Descriptors() const {
  const std::filesystem::directory_iterator files("/proc/" +
                                                  std::to_string(pid_) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::string Process::Log() const {
  return ReadFile(log_);
}

TemporaryFolder::TemporaryFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "shallotlug-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  path_ = path;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ec;
  std::filesystem::remove_all(path_, ec);
}

std::string TemporaryFolder::Write(const std::string& name,
                                   const std::string& text) const {
  const std::string path = path_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

// One thread runs all connections; the members belong to it.
struct Proxy::Impl {
  struct Pair {
    explicit Pair(asio::io_context& context) : in(context), out(context) {}
    tcp::socket in;
    tcp::socket out;
    std::array<char, 16384> from_in{};
    std::array<char, 16384> from_out{};
    bool silent = false;
  };

  explicit Impl(const std::string& to)
      : target(EndpointOf(to)),
        acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
    thread = std::thread([this] { context.run(); });
  }

  ~Impl() {
    context.stop();
    thread.join();
  }

  void Accept() {
    auto pair = std::make_shared<Pair>(context);
    acceptor.async_accept(pair->in, [this, pair](boost::system::error_code ec) {
      if (ec) {
        return;
      }
      pairs.push_back(pair);
      pair->out.async_connect(target, [pair](boost::system::error_code error) {
        if (error) {
          pair->in.close();
          return;
        }
        Forward(pair, pair->in, pair->out, pair->from_in);
        Forward(pair, pair->out, pair->in, pair->from_out);
      });
      Accept();
    });
  }

  static void Forward(const std::shared_ptr<Pair>& pair,
                      tcp::socket& from,
                      tcp::socket& to,
                      std::array<char, 16384>& buf) {
    from.async_read_some(
        asio::buffer(buf),
        [pair, &from, &to, &buf](boost::system::error_code ec, std::size_t n) {
          // A silent connection shows neither data nor its end.
          if (pair->silent) {
            return;
          }
          if (ec) {
            boost::system::error_code ignored;
            to.close(ignored);
            return;
          }
          asio::async_write(to, asio::buffer(buf, n),
                            [pair, &from, &to, &buf](
                                boost::system::error_code error, std::size_t) {
                              if (!error) {
                                Forward(pair, from, to, buf);
                              }
                            });
        });
  }

  asio::io_context context;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::vector<std::shared_ptr<Pair>> pairs;
  std::thread thread;
};

Proxy::Proxy(const std::string& to)
    : impl_(std::make_unique<Impl>(to)),
      address_(AddressOf(impl_->acceptor.local_endpoint())) {}

Proxy::~Proxy() = default;

void Proxy::SilenceConnections() {
  asio::post(impl_->context, [this] {
    for (const auto& it : impl_->pairs) {
      it->silent = true;
    }
  });
}

boost::outcome_v2::std_result<net::HttpResponse> Call(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    Millis timeout) {
  net::HttpFetchOptions options;
  options.address = address;
  options.method = method;
  options.target = target;
  options.body = body;
  options.timeout = timeout;
  return net::Fetch(options);
}

std::string SendRaw(const std::string& address,
                    const std::string& bytes,
                    bool half_close) {
  asio::io_context context;
  tcp::socket socket(context);
  boost::system::error_code ec;
  socket.connect(EndpointOf(address), ec);
  asio::write(socket, asio::buffer(bytes), ec);
  if (half_close) {
    socket.shutdown(tcp::socket::shutdown_send, ec);
  }
  std::string reply;
  asio::read(socket, asio::dynamic_buffer(reply), ec);
  return reply;
}

json::value ParseBody(const std::string& body) {
  boost::system::error_code ec;
  json::value parsed = json::parse(body, ec);
  return ec ? json::value() : parsed;
}

Installation::Installation()
    : log_address_(FreeAddress()), log_control_(FreeAddress()) {
  log_ = std::make_unique<Process>(
      SHALLOTLUG_LOG_PROGRAM,
      std::vector<std::string>{"--listen=" + log_address_,
                               "--control=" + log_control_},
      folder_.Path() + "/log.out");
}

EntryProcess& Installation::AddEntry(const std::string& http) {
  auto it = std::make_unique<EntryProcess>();
  it->name = "entry-" + std::to_string(entries_.size() + 1);
  it->callers = FreeAddress();
  it->operators = FreeAddress();
  it->peers = FreeAddress();
  it->metrics = FreeAddress();
  json::object settings{{"name", it->name},
                        {"data_centre", "dc-1"},
                        {"callers_listen", it->callers},
                        {"operators_listen", it->operators},
                        {"peers_listen", it->peers},
                        {"metrics_listen", it->metrics},
                        {"log_service", log_address_},
                        {"operator_token", operator_token},
                        {"shared_key", shared_key},
                        {"http", json::parse(http)}};
  const std::string file =
      folder_.Write(it->name + ".json", json::serialize(settings));
  it->settings = file;
  StartAgain(*it);
  entries_.push_back(std::move(it));
  return *entries_.back();
}

void Installation::StartAgain(EntryProcess& entry) const {
  entry.process = std::make_unique<Process>(
      SHALLOTLUG_ENTRY_PROGRAM,
      std::vector<std::string>{"serve", "--settings=" + entry.settings},
      folder_.Path() + "/" + entry.name + ".out");
}

AgentProcess& Installation::AddAgent(const std::vector<std::string>& seeds,
                                     const std::string& key) {
  auto it = std::make_unique<AgentProcess>();
  it->name = "agent-" + std::to_string(agents_.size() + 1);
  it->peers = FreeAddress();
  it->metrics = FreeAddress();
  it->backend = FreeAddress();
  it->backend_process = std::make_unique<Process>(
      SHALLOTLUG_BACKEND_PROGRAM,
      std::vector<std::string>{"--listen=" + it->backend},
      folder_.Path() + "/backend-of-" + it->name + ".out");
  const json::object settings{
      {"name", it->name},
      {"data_centre", "dc-1"},
      {"rack", "rack-1"},
      {"peers_listen", it->peers},
      {"metrics_listen", it->metrics},
      {"backend_server", it->backend},
      {"entry_seeds", json::array(seeds.begin(), seeds.end())},
      {"shared_key", key.empty() ? shared_key : key}};
  const std::string file =
      folder_.Write(it->name + ".json", json::serialize(settings));
  it->process = std::make_unique<Process>(
      SHALLOTLUG_AGENT_PROGRAM, std::vector<std::string>{"--settings=" + file},
      folder_.Path() + "/" + it->name + ".out");
  agents_.push_back(std::move(it));
  return *agents_.back();
}

bool Installation::WaitReady(const EntryProcess& entry) const {
  return WaitFor([&entry] {
    const auto response = Call(entry.metrics, "GET", "/readyz");
    return response && response.value().status == 200;
  });
}

bool Installation::WaitServing(const EntryProcess& entry) const {
  return WaitFor([&entry] {
    const auto response = Call(
        entry.callers, "POST", "/v1/requests",
        R"({"customer":"c","class":"match","timeout_ms":1000,"body":"probe"})");
    return response && response.value().status == 200;
  });
}

bool Installation::SetLiveTarget(const EntryProcess& entry,
                                 const std::string& name,
                                 Millis finish_within) const {
  return SetTarget(entry, name, "live", finish_within);
}

bool Installation::SetBatchTarget(const EntryProcess& entry,
                                  const std::string& name) const {
  return SetTarget(entry, name, "batch", Millis(3'600'000));
}

bool Installation::SetTarget(const EntryProcess& entry,
                             const std::string& name,
                             const std::string& kind,
                             Millis finish_within) const {
  return WaitFor([&] {
    net::HttpFetchOptions options;
    options.address = entry.operators;
    options.method = "PUT";
    options.target = "/v1/targets/" + name;
    options.bearer_token = operator_token;
    options.body = json::serialize(
        json::object{{"change_id", "set-" + name},
                     {"base_version", 0},
                     {"customer", "c"},
                     {"kind", kind},
                     {"finish_within_ms", finish_within.count()}});
    const auto response = net::Fetch(options);
    return response && response.value().status == 200;
  });
}

std::vector<json::value> Installation::History(const AgentProcess& agent,
                                               const std::string& what) const {
  std::vector<json::value> lines;
  const auto response = Call(agent.backend, "GET", "/history");
  if (!response) {
    return lines;
  }
  const json::value parsed = ParseBody(response.value().body);
  for (const json::value& it : parsed.at("history").as_array()) {
    if (it.at("what").as_string() == what) {
      lines.push_back(it);
    }
  }
  return lines;
}

std::size_t Installation::Starts(const AgentProcess& agent,
                                 const std::string& body) const {
  std::size_t count = 0;
  for (const json::value& it : History(agent, "start")) {
    count += it.at("body").as_string() == body ? 1 : 0;
  }
  return count;
}

std::int64_t Installation::Metric(const std::string& address,
                                  const std::string& name,
                                  const std::string& label) {
  const auto response = Call(address, "GET", "/metrics");
  if (!response) {
    return -1;
  }
  std::int64_t sum = 0;
  std::istringstream lines(response.value().body);
  for (std::string line; std::getline(lines, line);) {
    if ((line.starts_with(name + "{") || line.starts_with(name + " ")) &&
        line.find(label) != std::string::npos) {
      sum += std::stoll(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

std::string Installation::LogOf(const std::string& name) const {
  return ReadFile(folder_.Path() + "/" + name + ".out");
}

}  // namespace shallotlug::apps
