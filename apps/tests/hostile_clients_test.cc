#include <sys/resource.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/serialize.hpp>

#include "processes.h"
#include "shallotlug/net/role_loop.h"
#include "shallotlug/platform/store_client.h"
#include "soak/platform_servers.h"

/// Clients that keep to no limit, against the real programs on loopback. What
/// is checked does not depend on the machine's speed: the process lives, its
/// memory and its descriptors stay under a bound, and an ordinary request is
/// answered while the crowd still holds its connections.
namespace shallotlug::apps {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

constexpr std::size_t kMebibyte = 1 << 20;
// The smallest machine of a deployment has 120 MB; a process at rest holds 10.
constexpr std::size_t kMaxGrowth = 24 * kMebibyte;
// Beyond those of the connections that a listener may have.
constexpr std::size_t kMaxMoreDescriptors = 128;
constexpr std::size_t kEntryConnections = 64;
constexpr std::size_t kAgentConnections = 1024;
constexpr std::size_t kBodyLimit = kMebibyte;
// A client stops sending when it was not read from for this long.
constexpr Millis kSendPatience{1'000};
constexpr Millis kAnswerPatience{5'000};

struct Listener {
  std::string name;
  std::string address;
  std::string request;  ///< An ordinary one.
  std::string answer;   ///< How its answer begins.
};

timeval ToTimeval(Millis time) {
  return {time.count() / 1'000, time.count() % 1'000 * 1'000};
}

tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::string Get(const std::string& target, const std::string& host = "x") {
  return "GET " + target + " HTTP/1.1\r\nHost: " + host +
         "\r\nConnection: close\r\n\r\n";
}

std::string Post(const std::string& fields) {
  return "POST /live/00000000000000a1 HTTP/1.1\r\nHost: jobs.example\r\n" +
         fields + "\r\n";
}

/// @brief What each client of a crowd sends: a beginning, then a part over and
/// over until the total is reached.
struct Script {
  std::string begin;
  std::string repeated;
  std::size_t total = 0;
};

/// @brief Clients with a connection each, which stay open until the end.
class Crowd {
 public:
  explicit Crowd(asio::io_context& context) : context_(context) {}

  void Send(const std::string& address, int clients, const Script& script) {
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n) {
      tcp::socket& socket = Connect(address);
      threads.emplace_back([&socket, &script] { Play(socket, script); });
    }
    for (std::thread& it : threads) {
      it.join();
    }
  }

 private:
  tcp::socket& Connect(const std::string& address) {
    sockets_.push_back(std::make_unique<tcp::socket>(context_));
    boost::system::error_code ec;
    sockets_.back()->connect(EndpointOf(address), ec);
    const timeval patience = ToTimeval(kSendPatience);
    setsockopt(sockets_.back()->native_handle(), SOL_SOCKET, SO_SNDTIMEO,
               &patience, sizeof(patience));
    return *sockets_.back();
  }

  static void Play(tcp::socket& socket, const Script& script) {
    std::size_t sent = 0;
    std::string_view next = script.begin;
    while (!next.empty()) {
      const ssize_t n = ::send(socket.native_handle(), next.data(), next.size(),
                               MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      sent += static_cast<std::size_t>(n);
      next.remove_prefix(static_cast<std::size_t>(n));
      if (next.empty() && sent < script.total) {
        next = std::string_view(script.repeated).substr(0, script.total - sent);
      }
    }
  }

  asio::io_context& context_;
  std::vector<std::unique_ptr<tcp::socket>> sockets_;
};

/// @brief One program with the stand-in of the store.
class HostileClientsTest : public testing::Test {
 protected:
  HostileClientsTest() {
    AllowManyConnections();
    topics[platform::kOperatorTopic].Append(
        "operator",
        {{"config",
          json::serialize(json::object{
              {"version", 1},
              {"routes",
               json::array{json::object{{"name", "live"},
                                        {"host", "jobs.example"},
                                        {"path_prefix", "/live/"},
                                        {"public", true},
                                        {"service", "pool"},
                                        {"priority", 0},
                                        {"max_attempts", 3},
                                        {"slack_factor", 3.0},
                                        {"target_latency_ms", 1'000}}}},
              {"services", json::array{json::object{{"name", "pool"}}}}})}},
        {});
    store.emplace(context, topics, faults, random);
    platform_thread = std::thread([this] {
      while (!stop) {
        context.run_for(Millis(10));
        store->Tick(net::ReadClock());
      }
    });
  }

  ~HostileClientsTest() override {
    process.reset();
    stop = true;
    platform_thread.join();
  }

  // Some tests hold more connections than a process may have by default.
  static void AllowManyConnections() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8'192);
    setrlimit(RLIMIT_NOFILE, &limit);
  }

  void StartEntry() {
    const std::string callers = FreeAddress();
    const std::string readiness = FreeAddress();
    const std::string peers = FreeAddress();
    const std::string metrics = FreeAddress();
    listeners = {
        {"callers", callers, Get("/live/", "jobs.example"), "HTTP/1.1 200"},
        {"peers", peers, Get("/"), "HTTP/1.1 4"},
        {"readiness", readiness, Get("/api/readyz"), "HTTP/1.1 200"},
        {"metrics", metrics, Get("/metrics"), "HTTP/1.1 200"}};
    // Nothing ends by a time-out while a test looks.
    Start(SHALLOTLUG_ENTRY_PROGRAM,
          {{"name", "entry"},
           {"data_centre", "z"},
           {"callers_listen", callers},
           {"readiness_listen", readiness},
           {"peers_listen", peers},
           {"metrics_listen", metrics},
           {"store", store->Address()},
           {"http", json::object{{"body_bytes", kBodyLimit},
                                 {"connections", kEntryConnections},
                                 {"read_timeout_ms", 600'000},
                                 {"idle_timeout_ms", 600'000}}},
           {"log", json::object{{"format", "json"}}}});
  }

  void StartAgent() {
    const std::string heartbeats = FreeAddress();
    const std::string scheduler = FreeAddress();
    const std::string metrics = FreeAddress();
    listeners = {{"heartbeats", heartbeats, Get("/"), "HTTP/1.1 4"},
                 {"scheduler", scheduler, Get("/"), "HTTP/1.1 4"},
                 {"metrics", metrics, Get("/metrics"), "HTTP/1.1 200"}};
    Start(SHALLOTLUG_AGENT_PROGRAM,
          {{"name", "agent"},
           {"data_centre", "z"},
           {"heartbeats_listen", heartbeats},
           {"scheduler_listen", scheduler},
           {"metrics_listen", metrics},
           {"worker", FreeAddress()},
           {"store", store->Address()},
           {"log", json::object{{"format", "json"}}}});
  }

  void Start(const std::string& program, const json::object& settings) {
    process = std::make_unique<Process>(
        program,
        std::vector<std::string>{
            "serve-jobs",
            "--settings=" +
                folder.Write("settings.json", json::serialize(settings))},
        folder.Path() + "/log");
    for (const Listener& it : listeners) {
      ASSERT_TRUE(WaitFor([&] { return IsAnswered(it); })) << process->Log();
    }
    at_rest = process->ReadMemory().now_bytes;
    descriptors_at_rest = process->Descriptors();
  }

  // Whether an ordinary request is answered as usual.
  bool IsAnswered(const Listener& listener) {
    tcp::socket socket(client_context);
    boost::system::error_code ec;
    socket.connect(EndpointOf(listener.address), ec);
    const timeval patience = ToTimeval(kAnswerPatience);
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience,
               sizeof(patience));
    std::string answer;
    if (!ec) {
      asio::write(socket, asio::buffer(listener.request), ec);
      std::array<char, 256> buf{};
      const ssize_t n =
          ::recv(socket.native_handle(), buf.data(), buf.size(), 0);
      answer.assign(buf.data(),
                    static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    }
    return answer.starts_with(listener.answer);
  }

  // Plays the script on each listener, and checks what must hold.
  void Face(int clients, const Script& script) {
    for (const Listener& it : listeners) {
      SCOPED_TRACE(it.name);
      Crowd crowd(client_context);
      crowd.Send(it.address, clients, script);
      ASSERT_TRUE(process->Running()) << process->Log();
      EXPECT_TRUE(WaitFor([&] { return IsAnswered(it); }));
      EXPECT_LT(process->ReadMemory().peak_bytes, at_rest + kMaxGrowth);
    }
  }

  // The same with as many connections as the listener may have, and more.
  void FaceManyConnections(std::size_t connections, const Script& script) {
    for (const Listener& it : listeners) {
      SCOPED_TRACE(it.name);
      Crowd crowd(client_context);
      crowd.Send(it.address, static_cast<int>(connections) + 16, script);
      ASSERT_TRUE(process->Running()) << process->Log();
      EXPECT_TRUE(WaitFor([&] { return IsAnswered(it); }));
      EXPECT_LT(process->Descriptors(),
                descriptors_at_rest + connections + kMaxMoreDescriptors);
      EXPECT_LT(process->ReadMemory().peak_bytes, at_rest + kMaxGrowth);
    }
  }

  static Script TrailersWithoutEnd() {
    return {Post("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n",
            "Field: " + std::string(1'000, 'v') + "\r\n", 16 * kMebibyte};
  }
  static Script ChunkExtensionWithoutEnd() {
    return {Post("Transfer-Encoding: chunked\r\n") + "1;e=",
            std::string(4'096, 'e'), 16 * kMebibyte};
  }
  static Script ChunkWithoutEnd() {
    return {Post("Transfer-Encoding: chunked\r\n") + "ffffffffffff\r\n",
            std::string(4'096, 'c'), 16 * kMebibyte};
  }
  static Script AnnouncedBodyOverTheLimit() {
    return {Post("Content-Length: 999999999999\r\n"), std::string(4'096, 'b'),
            16 * kMebibyte};
  }
  static Script SmallChunksOverTheLimit() {
    return {Post("Transfer-Encoding: chunked\r\n"),
            "1000\r\n" + std::string(4'096, 'b') + "\r\n", 32 * kMebibyte};
  }
  // `size` bytes of a body of which the last one never comes.
  static Script BodyWithoutItsEnd(std::size_t size) {
    const std::string begin =
        Post("Content-Length: " + std::to_string(size) + "\r\n");
    return {begin, std::string(4'096, 'b'), begin.size() + size - 1};
  }
  static Script FieldsWithoutEnd() {
    return {"GET / HTTP/1.1\r\n", "Field: v\r\n", 4 * kMebibyte};
  }
  // Requests sent ahead, whose answers are never read.
  static Script RequestsWithoutAReader() {
    const std::string request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    return {request, request, 4 * kMebibyte};
  }

  asio::io_context context;
  soak::StoreServer::Topics topics;
  soak::StoreFaults faults;
  std::mt19937_64 random{1};
  std::optional<soak::StoreServer> store;
  std::atomic<bool> stop = false;
  std::thread platform_thread;
  asio::io_context client_context;
  TemporaryFolder folder;
  std::vector<Listener> listeners;
  std::unique_ptr<Process> process;
  std::size_t at_rest = 0;
  std::size_t descriptors_at_rest = 0;
};

constexpr int kFew = 4;
// Enough bodies just under the limit for twice the bound.
constexpr int kManyBodies = 48;

TEST_F(HostileClientsTest, EntryBearsTrailersWithoutEnd) {
  StartEntry();
  Face(kFew, TrailersWithoutEnd());
}

TEST_F(HostileClientsTest, AgentBearsTrailersWithoutEnd) {
  StartAgent();
  Face(kFew, TrailersWithoutEnd());
}

TEST_F(HostileClientsTest, EntryBearsChunkExtensionsWithoutEnd) {
  StartEntry();
  Face(kFew, ChunkExtensionWithoutEnd());
}

TEST_F(HostileClientsTest, AgentBearsChunkExtensionsWithoutEnd) {
  StartAgent();
  Face(kFew, ChunkExtensionWithoutEnd());
}

TEST_F(HostileClientsTest, EntryBearsAChunkWithoutEnd) {
  StartEntry();
  Face(kFew, ChunkWithoutEnd());
}

TEST_F(HostileClientsTest, AgentBearsAChunkWithoutEnd) {
  StartAgent();
  Face(kFew, ChunkWithoutEnd());
}

TEST_F(HostileClientsTest, EntryBearsAnnouncedBodiesOverTheLimit) {
  StartEntry();
  Face(kFew, AnnouncedBodyOverTheLimit());
}

TEST_F(HostileClientsTest, AgentBearsAnnouncedBodiesOverTheLimit) {
  StartAgent();
  Face(kFew, AnnouncedBodyOverTheLimit());
}

TEST_F(HostileClientsTest, EntryBearsSentBodiesOverTheLimit) {
  StartEntry();
  Face(kFew, SmallChunksOverTheLimit());
}

TEST_F(HostileClientsTest, AgentBearsSentBodiesOverTheLimit) {
  StartAgent();
  Face(kFew, SmallChunksOverTheLimit());
}

TEST_F(HostileClientsTest, EntryBearsManyBodiesWithoutTheirLastByte) {
  StartEntry();
  Face(kManyBodies, BodyWithoutItsEnd(kBodyLimit));
}

TEST_F(HostileClientsTest, AgentBearsManyBodiesWithoutTheirLastByte) {
  StartAgent();
  Face(kManyBodies, BodyWithoutItsEnd(kBodyLimit));
}

TEST_F(HostileClientsTest, EntryBearsFieldsWithoutEnd) {
  StartEntry();
  Face(kFew, FieldsWithoutEnd());
}

TEST_F(HostileClientsTest, AgentBearsFieldsWithoutEnd) {
  StartAgent();
  Face(kFew, FieldsWithoutEnd());
}

TEST_F(HostileClientsTest, EntryBearsReadersThatTakeNoAnswer) {
  StartEntry();
  FaceManyConnections(kEntryConnections, RequestsWithoutAReader());
}

TEST_F(HostileClientsTest, EntryBearsConnectionsThatAreLeft) {
  StartEntry();
  FaceManyConnections(kEntryConnections, {});
}

TEST_F(HostileClientsTest, AgentBearsConnectionsThatAreLeft) {
  StartAgent();
  FaceManyConnections(kAgentConnections, {});
}

TEST_F(HostileClientsTest, EntryBearsRequestsThatAreLeftHalfway) {
  StartEntry();
  FaceManyConnections(kEntryConnections, {"GET / HT", "", 0});
}

TEST_F(HostileClientsTest, AgentBearsRequestsThatAreLeftHalfway) {
  StartAgent();
  FaceManyConnections(kAgentConnections, {"GET / HT", "", 0});
}

}  // namespace
}  // namespace shallotlug::apps
