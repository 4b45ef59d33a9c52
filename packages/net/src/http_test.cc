#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "address.h"
#include "shallotlug/net/http_client.h"
#include "shallotlug/net/http_fetch.h"
#include "shallotlug/net/http_server.h"

namespace shallotlug::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view kEmptyResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// Runs a server on a thread of its own. It echoes bodies; a request for /hold
// is never answered.
class HttpTest : public testing::Test {
 protected:
  void Start(HttpServerOptions options = {}) {
    options.address = "127.0.0.1:0";
    HttpServerHandlers handlers;
    handlers.on_request = [this](ExchangeId id, HttpRequest request) {
      ++requests;
      if (request.target != "/hold") {
        HttpResponse response;
        response.body = request.body;
        server->Reply(id, std::move(response));
      }
    };
    handlers.on_gone = [this](ExchangeId) { ++gone; };
    server.emplace(
        HttpServer::Listen(context, options, std::move(handlers)).value());
    address = server->Address();
    thread = std::thread([this] { context.run(); });
  }

  void TearDown() override {
    if (thread.joinable()) {
      asio::post(context, [this] { server.reset(); });
      context.stop();
      thread.join();
    }
  }

  tcp::socket Connect() {
    tcp::socket socket(client_context);
    socket.connect(ParseEndpoint(address).value());
    return socket;
  }

  // Sends raw bytes, optionally ends the stream, and returns all of the reply.
  std::string Exchange(const std::string& bytes, bool half_close) {
    tcp::socket socket = Connect();
    asio::write(socket, asio::buffer(bytes));
    if (half_close) {
      socket.shutdown(tcp::socket::shutdown_send);
    }
    return ReadAll(socket);
  }

  static std::string ReadAll(tcp::socket& socket) {
    std::string reply;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(reply), ec);
    return reply;
  }

  asio::io_context context;
  asio::io_context client_context;
  std::optional<HttpServer> server;
  std::string address;
  std::thread thread;
  std::atomic<int> requests{0};
  std::atomic<int> gone{0};
};

constexpr std::string_view kPost = "POST /echo HTTP/1.1\r\nHost: x\r\n";

// Guards against a body that is changed or cut on its way.
TEST_F(HttpTest, EchoesAWholeBody) {
  Start();
  HttpFetchOptions options;
  options.address = address;
  options.method = "POST";
  options.body = std::string(300'000, 'x') + '\0' + "end";
  const auto response = Fetch(options);
  ASSERT_TRUE(response) << response.error().message();
  EXPECT_EQ(response.value().status, 200);
  EXPECT_EQ(response.value().body, options.body);
}

// Guards against a handler that acts on part of a request.
TEST_F(HttpTest, AnswersATruncatedBodyWithAnError) {
  Start();
  const std::string reply =
      Exchange(std::string(kPost) + "Content-Length: 10\r\n\r\nabc", true);
  EXPECT_NE(reply.find(" 400 "), std::string::npos) << reply;
  EXPECT_NE(reply.find("\"truncated\""), std::string::npos) << reply;
  EXPECT_EQ(requests, 0);
}

// Guards against slow senders that hold connections for ever.
TEST_F(HttpTest, AnswersASlowRequestWithAnError) {
  HttpServerOptions options;
  options.read_timeout = Millis(50);
  Start(options);
  const std::string reply =
      Exchange(std::string(kPost) + "Content-Length: 10\r\n\r\nabc", false);
  EXPECT_NE(reply.find(" 408 "), std::string::npos) << reply;
  EXPECT_EQ(requests, 0);
}

// Guards against bodies without bound, declared or chunked.
TEST_F(HttpTest, AnswersAnOversizedBodyWithAnError) {
  HttpServerOptions options;
  options.body_bytes = 16;
  Start(options);
  for (const std::string& rest :
       {"Content-Length: 17\r\n\r\n" + std::string(17, 'x'),
        "Transfer-Encoding: chunked\r\n\r\n20\r\n" + std::string(32, 'x') +
            "\r\n0\r\n\r\n"}) {
    const std::string reply = Exchange(std::string(kPost) + rest, false);
    EXPECT_NE(reply.find(" 413 "), std::string::npos) << reply;
  }
  EXPECT_EQ(requests, 0);
}

// Guards against garbage that ends the server or its other connections.
TEST_F(HttpTest, AnswersGarbageWithAnError) {
  Start();
  const std::string reply = Exchange("\x16\x03\x01 garbage\r\n\r\n", true);
  EXPECT_NE(reply.find(" 400 "), std::string::npos) << reply;
  EXPECT_NE(Exchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false)
                .find(" 200 "),
            std::string::npos);
}

// Guards against more connections than the machine has room for, while each of
// those open waits for its response.
TEST_F(HttpTest, RefusesConnectionsBeyondItsLimit) {
  HttpServerOptions options;
  options.connections = 1;
  Start(options);
  tcp::socket first = Connect();
  asio::write(first, asio::buffer(std::string("GET /hold HTTP/1.1\r\n\r\n")));
  while (requests == 0) {
    std::this_thread::sleep_for(Millis(1));
  }
  tcp::socket second = Connect();
  const std::string reply = ReadAll(second);
  EXPECT_NE(reply.find("too_many_connections"), std::string::npos) << reply;
}

// Guards against callers who are refused because others hold connections that
// they do not use.
TEST_F(HttpTest, ClosesAnIdleConnectionForANewCaller) {
  HttpServerOptions options;
  options.connections = 1;
  Start(options);
  tcp::socket first = Connect();
  asio::write(first, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  std::array<char, 1> byte{};
  asio::read(first, asio::buffer(byte));
  const std::string reply =
      Exchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false);
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 200")) << reply;
}

// Guards against memory without bound: one buffer holds all trailers, or the
// extensions of a chunk, until they are complete.
TEST_F(HttpTest, RefusesTrailersAndExtensionsWithoutEnd) {
  Start();
  const std::string begin =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string trailers = begin + "1\r\nx\r\n0\r\nField: ";
  for (const std::string& it : {trailers, begin + "1;extension="}) {
    const std::string reply = Exchange(it + std::string(100'000, 'v'), false);
    EXPECT_TRUE(reply.starts_with("HTTP/1.1 431")) << reply;
  }
  EXPECT_EQ(requests, 0);
}

// Guards against incomplete bodies that take the memory which a complete
// request needs: the oldest gives way, and is told that nothing was done.
TEST_F(HttpTest, RefusesTheOldestIncompleteBodyBeyondTheMemory) {
  constexpr std::size_t kBody = 100'000;
  HttpServerOptions options;
  options.memory = std::make_shared<RequestMemory>(3 * kBody);
  Start(options);
  const std::string begin = std::string(kPost) + "Connection: close\r\n" +
                            "Content-Length: " + std::to_string(kBody) +
                            "\r\n\r\n";
  const std::string incomplete = begin + std::string(kBody - 1, 'b');
  std::vector<tcp::socket> sockets;
  for (int n = 0; n < 3; ++n) {
    sockets.push_back(Connect());
    asio::write(sockets.back(), asio::buffer(incomplete));
  }
  const std::string refusal = ReadAll(sockets.front());
  EXPECT_NE(refusal.find("memory_limit"), std::string::npos) << refusal;
  EXPECT_NE(refusal.find("not_run"), std::string::npos) << refusal;
  const std::string reply = Exchange(incomplete + "b", false);
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 200")) << reply.substr(0, 100);
}

// Guards against a server whose trailers, or extensions of a chunk, fill the
// memory of the client.
TEST_F(HttpTest, ClientGivesUpOnTrailersAndExtensionsWithoutEnd) {
  const std::string begin =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& it :
       {begin + "1\r\nx\r\n0\r\nField: ", begin + "1;extension="}) {
    tcp::acceptor acceptor(client_context, {asio::ip::tcp::v4(), 0});
    std::size_t taken = 0;
    std::thread server([&] {
      tcp::socket socket = acceptor.accept();
      boost::system::error_code ec;
      asio::write(socket, asio::buffer(it), ec);
      const std::string more(4'096, 'v');
      while (!ec) {
        taken += asio::write(socket, asio::buffer(more), ec);
      }
    });
    HttpFetchOptions options;
    options.address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const auto result = Fetch(options);
    server.join();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error(), FetchError::kOutcomeUnknown);
    // What the system's buffers of the connection hold, and some more.
    EXPECT_LT(taken, 16U << 20);
  }
}

// Guards against requests of one connection that are answered out of order or
// only once.
TEST_F(HttpTest, KeepsAConnectionForPipelinedRequests) {
  Start();
  const std::string one = std::string(kPost) + "Content-Length: 3\r\n\r\none";
  const std::string two =
      std::string(kPost) + "Connection: close\r\nContent-Length: 3\r\n\r\ntwo";
  const std::string reply = Exchange(one + two, false);
  const std::size_t n = reply.find("one");
  ASSERT_NE(n, std::string::npos) << reply;
  EXPECT_NE(reply.find("two", n), std::string::npos) << reply;
}

// Guards against work for callers that no longer wait, also when they had
// pipelined a second request.
TEST_F(HttpTest, ReportsACallerThatHasGone) {
  Start();
  for (const std::string next : {"", "GET / HTTP/1.1\r\n\r\n"}) {
    requests = 0;
    gone = 0;
    {
      tcp::socket socket = Connect();
      asio::write(socket, asio::buffer("GET /hold HTTP/1.1\r\n\r\n" + next));
      while (requests == 0) {
        std::this_thread::sleep_for(Millis(1));
      }
    }
    for (int n = 0; n < 10'000 && gone == 0; ++n) {
      std::this_thread::sleep_for(Millis(1));
    }
    EXPECT_EQ(gone, 1) << next;
  }
}

// Guards against a request that reaches the server twice without its caller's
// knowledge, when a kept connection ends without an answer.
TEST_F(HttpTest, SendsARequestOnceUnlessItMayBeRepeated) {
  for (const ConnectionUse use :
       {ConnectionUse::kReuse, ConnectionUse::kReuseAndRepeat}) {
    tcp::acceptor acceptor(client_context,
                           ParseEndpoint("127.0.0.1:0").value());
    int received = 0;
    // The first connection answers one request and ends during the second.
    std::thread peer([&] {
      tcp::socket socket(client_context);
      acceptor.accept(socket);
      std::string buf;
      const auto receive = [&] {
        asio::read_until(socket, asio::dynamic_buffer(buf), "\r\n\r\n");
        buf.clear();
        ++received;
      };
      receive();
      asio::write(socket, asio::buffer(kEmptyResponse));
      receive();
      socket.close();
      if (use == ConnectionUse::kReuseAndRepeat) {
        acceptor.accept(socket);
        receive();
        asio::write(socket, asio::buffer(kEmptyResponse));
      }
    });
    HttpFetchOptions options;
    options.address = ToString(acceptor.local_endpoint());
    options.timeout = Millis(2'000);
    asio::io_context caller;
    HttpClient client(caller);
    std::optional<FetchResult> second;
    client.Send(options, use, [&](const FetchResult& first) {
      EXPECT_TRUE(first);
      client.Send(options, use, [&](FetchResult it) { second = it; });
    });
    caller.run();
    peer.join();
    ASSERT_TRUE(second);
    if (use == ConnectionUse::kReuse) {
      EXPECT_EQ(second->error(), FetchError::kOutcomeUnknown);
      EXPECT_EQ(received, 2);
      boost::system::error_code ec;
      acceptor.non_blocking(true);
      acceptor.accept(ec);
      EXPECT_EQ(ec, asio::error::would_block);
    } else {
      EXPECT_TRUE(*second);
      EXPECT_EQ(received, 3);
    }
  }
}

// Guards against "never sent" for a request that a server has read, when the
// connection for its repetition is refused.
TEST_F(HttpTest, TellsUnknownWhenARepeatedRequestCannotBeSent) {
  tcp::acceptor acceptor(client_context, ParseEndpoint("127.0.0.1:0").value());
  HttpFetchOptions options;
  options.address = ToString(acceptor.local_endpoint());
  options.timeout = Millis(2'000);
  std::thread peer([&] {
    tcp::socket socket(client_context);
    acceptor.accept(socket);
    std::string buf;
    asio::read_until(socket, asio::dynamic_buffer(buf), "\r\n\r\n");
    buf.clear();
    asio::write(socket, asio::buffer(kEmptyResponse));
    asio::read_until(socket, asio::dynamic_buffer(buf), "\r\n\r\n");
    acceptor.close();
    socket.close();
  });
  asio::io_context caller;
  HttpClient client(caller);
  std::optional<FetchResult> second;
  client.Send(options, ConnectionUse::kReuseAndRepeat,
              [&](const FetchResult& first) {
                EXPECT_TRUE(first);
                client.Send(options, ConnectionUse::kReuseAndRepeat,
                            [&](FetchResult it) { second = it; });
              });
  caller.run();
  peer.join();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->error(), FetchError::kOutcomeUnknown);
}

// Guards against an unknown outcome of each request that is sent after the
// server has closed the idle connection.
TEST_F(HttpTest, SendsOnANewConnectionWhenTheIdleOneIsClosed) {
  tcp::acceptor acceptor(client_context, ParseEndpoint("127.0.0.1:0").value());
  HttpFetchOptions options;
  options.address = ToString(acceptor.local_endpoint());
  options.timeout = Millis(2'000);
  std::atomic<bool> closed{false};
  std::thread peer([&] {
    for (int n = 0; n < 2; ++n) {
      tcp::socket socket(client_context);
      acceptor.accept(socket);
      std::string buf;
      asio::read_until(socket, asio::dynamic_buffer(buf), "\r\n\r\n");
      asio::write(socket, asio::buffer(kEmptyResponse));
      socket.close();
      closed = true;
    }
  });
  asio::io_context caller;
  HttpClient client(caller);
  std::optional<FetchResult> second;
  client.Send(options, ConnectionUse::kReuse, [&](const FetchResult& first) {
    EXPECT_TRUE(first);
    while (!closed) {
      std::this_thread::sleep_for(Millis(1));
    }
    client.Send(options, ConnectionUse::kReuse,
                [&](FetchResult it) { second = it; });
  });
  caller.run();
  if (!second || !*second) {
    // The server still waits for its second connection.
    EXPECT_TRUE(Fetch(options));
  }
  peer.join();
  ASSERT_TRUE(second);
  EXPECT_TRUE(*second);
}

// Guards against "not run" for a request that a server may have acted on.
TEST_F(HttpTest, TellsNeverSentFromUnknown) {
  Start();
  HttpFetchOptions options;
  options.address = address;
  options.target = "/hold";
  options.timeout = Millis(50);
  EXPECT_EQ(Fetch(options).error(), FetchError::kOutcomeUnknown);
  tcp::acceptor closed(client_context, ParseEndpoint("127.0.0.1:0").value());
  options.address = ToString(closed.local_endpoint());
  closed.close();
  EXPECT_EQ(Fetch(options).error(), FetchError::kNeverSent);
  options.address = "localhost:1";
  EXPECT_EQ(Fetch(options).error(), FetchError::kNeverSent);
}

}  // namespace
}  // namespace shallotlug::net
