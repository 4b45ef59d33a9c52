#include "peer_links.h"

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "address.h"
#include "handshake.h"

namespace shallotlug::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Millis kPatience{10'000};

// One end of links, and what it reported.
struct End {
  CounterTable counters;
  std::vector<LinkUp> ups;
  std::vector<LinkDown> downs;
  std::vector<Received> received;
  std::vector<LogLine> log;
  std::optional<PeerLinks> links;

  void Open(asio::io_context& context, PeerLinkOptions options) {
    links.emplace(
        PeerLinks::Open(
            context, options, counters,
            {[this](LinkUp it) { ups.push_back(std::move(it)); },
             [this](LinkDown it) { downs.push_back(std::move(it)); },
             [this](Received it) { received.push_back(std::move(it)); },
             [this](LogLine it) { log.push_back(std::move(it)); }})
            .value());
  }
};

class PeerLinksTest : public testing::Test {
 protected:
  void Open(PeerLinkOptions options = {}) {
    options.listen = "127.0.0.1:0";
    options.shared_key = "the key of the tests";
    acceptor.Open(context, options);
    address = acceptor.links->Address();
  }

  void OpenDialler(const std::string& key, PeerLinkOptions options = {}) {
    options.shared_key = key;
    dialler.Open(context, options);
    dialler.links->Dial({address, PeerRole::kEntry});
  }

  template <class Condition>
  bool RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_for(Millis(1));
    }
    return condition();
  }

  // Sends raw bytes to the acceptor and waits for it to close the connection.
  void SendRaw(const std::string& bytes, bool half_close) {
    tcp::socket socket(context);
    socket.connect(ParseEndpoint(address).value());
    asio::write(socket, asio::buffer(bytes));
    if (half_close) {
      socket.shutdown(tcp::socket::shutdown_send);
    }
    EXPECT_TRUE(RunUntil([this] { return !acceptor.log.empty(); }));
  }

  void ExpectRejected(const std::string& reason) {
    EXPECT_TRUE(acceptor.ups.empty());
    ASSERT_EQ(acceptor.log.size(), 1U);
    EXPECT_EQ(acceptor.log[0].fields[0].value, reason);
    EXPECT_EQ(acceptor.counters.Sum("shallotlug_link_handshakes_failed_total"),
              1);
  }

  asio::io_context context;
  End acceptor;
  End dialler;
  std::string address;
};

// Guards against messages that are lost or reordered on a working link.
TEST_F(PeerLinksTest, CarriesMessagesInOrder) {
  Open();
  OpenDialler("the key of the tests");
  ASSERT_TRUE(RunUntil(
      [this] { return !acceptor.ups.empty() && !dialler.ups.empty(); }));
  EXPECT_EQ(dialler.ups[0].dialled, address);
  EXPECT_EQ(acceptor.ups[0].dialled, "");
  EXPECT_EQ(acceptor.ups[0].peer, PeerRole::kAgent);
  constexpr std::uint64_t kCount = 500;
  for (std::uint64_t n = 0; n < kCount; ++n) {
    EntryHeartbeat message;
    message.config_revision = n;
    message.known_entries.assign(n % 7, std::string(1000, 'x'));
    acceptor.links->Send(acceptor.ups[0].link, message);
  }
  ASSERT_TRUE(RunUntil([this] { return dialler.received.size() == kCount; }));
  for (std::uint64_t n = 0; n < kCount; ++n) {
    EXPECT_EQ(
        std::get<EntryHeartbeat>(dialler.received[n].message).config_revision,
        n);
  }
  acceptor.links->Close(acceptor.ups[0].link, "test");
  EXPECT_TRUE(RunUntil([this] { return dialler.downs.size() == 1; }));
  EXPECT_TRUE(acceptor.downs.empty());
}

// Guards against a process of another installation that joins this one.
TEST_F(PeerLinksTest, ClosesALinkWithAnotherKey) {
  Open();
  OpenDialler("another key of the tests");
  ASSERT_TRUE(RunUntil([this] { return !dialler.downs.empty(); }));
  EXPECT_EQ(dialler.downs[0].link, LinkId{});
  EXPECT_EQ(dialler.downs[0].dialled, address);
  ASSERT_EQ(dialler.log.size(), 1U);
  EXPECT_EQ(dialler.log[0].fields[0].value, "wrong_key");
  EXPECT_TRUE(RunUntil([this] { return !acceptor.log.empty(); }));
  EXPECT_TRUE(acceptor.ups.empty());
}

// Guards against a dialler that proves nothing and is believed.
TEST_F(PeerLinksTest, ClosesADiallerWithAWrongProof) {
  Open();
  SendRaw(
      EncodeHello(kLinkVersion, MakeNonce()) + std::string(kProofBytes, 'x'),
      false);
  ExpectRejected("wrong_key");
}

// Guards against bytes of another protocol that are taken for a link.
TEST_F(PeerLinksTest, ClosesGarbage) {
  Open();
  SendRaw("GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nAccept: */*\r\n\r\n", false);
  ExpectRejected("garbage");
}

// Guards against a peer whose messages have another meaning.
TEST_F(PeerLinksTest, ClosesAnOlderVersion) {
  Open();
  SendRaw(EncodeHello(kOldestLinkVersion - 1, MakeNonce()), false);
  ExpectRejected("old_version");
}

// Guards against connections without a handshake that fill the table.
TEST_F(PeerLinksTest, ClosesASilentHandshake) {
  PeerLinkOptions options;
  options.handshake_timeout = Millis(20);
  Open(options);
  SendRaw("SHALL", false);
  ExpectRejected("handshake_timeout");
}

// Guards against memory that a peer can claim with four bytes.
TEST_F(PeerLinksTest, ClosesAnOversizedFrame) {
  PeerLinkOptions options;
  options.frame_bytes = 64;
  Open(options);
  OpenDialler("the key of the tests");
  ASSERT_TRUE(RunUntil(
      [this] { return !acceptor.ups.empty() && !dialler.ups.empty(); }));
  EntryHeartbeat message;
  message.known_entries.emplace_back(1000, 'x');
  dialler.links->Send(dialler.ups[0].link, message);
  EXPECT_TRUE(RunUntil([this] { return !acceptor.downs.empty(); }));
  EXPECT_TRUE(acceptor.received.empty());
}

// Guards against memory that grows behind a peer that reads nothing.
TEST_F(PeerLinksTest, ClosesALinkWhoseQueueIsFull) {
  PeerLinkOptions options;
  options.queue_bytes = 1 << 20;
  Open(options);
  OpenDialler("the key of the tests");
  ASSERT_TRUE(RunUntil([this] { return !acceptor.ups.empty(); }));
  EntryHeartbeat message;
  message.known_entries.emplace_back(100'000, 'x');
  // Nothing runs the context meanwhile, so nothing is read.
  for (int n = 0; n < 20; ++n) {
    acceptor.links->Send(acceptor.ups[0].link, message);
  }
  ASSERT_EQ(acceptor.downs.size(), 1U);
  EXPECT_EQ(acceptor.log.back().fields[0].value, "send_queue_full");
}

}  // namespace
}  // namespace shallotlug::net
