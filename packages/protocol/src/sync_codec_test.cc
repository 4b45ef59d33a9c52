#include <limits>

#include <gtest/gtest.h>

#include "shallotlug/protocol/sync.h"

namespace shallotlug::protocol {
namespace {

const workload::RunRef& SomeRun() {
  static const workload::RunRef run{{JobId("j"), 1, 2, 3}, 4};
  return run;
}

TEST(SyncCodecTest, ReadsTheRequestThatItWrites) {
  SyncRequest request;
  request.epoch = 9;
  request.entry = EntryName("e");
  request.lease_from = {Incarnation{5}, PeerTime(Millis(500))};
  request.lease = Millis(7'500);
  request.worker = {"w", 77};
  request.starts.push_back({SomeRun(), std::string("\0x", 2), "saved", true});
  request.stops.push_back(SomeRun());
  request.noted_ends = 12;
  request.settled.push_back(SomeRun());
  request.known_version = 3;
  request.wait = Millis(1'000);
  request.speed = {-0.25, 12.5};
  EXPECT_EQ(DecodeSyncRequest(Encode(request)), request);
}

TEST(SyncCodecTest, ReadsTheReplyThatItWrites) {
  SyncReply reply;
  reply.agent = AgentName("a");
  reply.incarnation = Incarnation{5};
  reply.clock = PeerTime(Millis(123));
  reply.epoch = 9;
  reply.accepted = true;
  reply.version = 8;
  reply.worker_state = WorkerState::kSilent;
  reply.worker.life = {"w", 77};
  reply.worker.service = "pool";
  reply.worker.rack = "r1";
  reply.worker.labels = {"a", "r1"};
  reply.worker.capacity = {1, 2, 3};
  reply.worker.draining = true;
  reply.worker.remaining = Millis(900);
  reply.runs.push_back(
      {{SomeRun(), "saved", 41, 7}, RunPhase::kRunning, PeerTime(Millis(99))});
  reply.ends.push_back({6, SomeRun(), workload::EndReason::kBroken, "saved"});
  reply.more_ends = true;
  reply.refusals.push_back({SomeRun(), RefusalReason::kLapsed});
  reply.crashes.push_back({SomeRun(), true, false});
  reply.former_ends.push_back({2, SomeRun(), workload::EndReason::kDone, ""});
  reply.read_at = PeerTime(Millis(120));
  reply.speed = {0.5, 3.0};
  EXPECT_EQ(DecodeSyncReply(Encode(reply)), reply);
}

// Guards against a scheduler that computes with a speed that no worker has.
TEST(SyncCodecTest, RefusesASpeedThatCannotBe) {
  SyncReply reply;
  reply.speed.log_factor = std::numeric_limits<double>::quiet_NaN();
  EXPECT_FALSE(DecodeSyncReply(Encode(reply)));
  reply.speed = {1e308, 1};
  EXPECT_FALSE(DecodeSyncReply(Encode(reply)));
  reply.speed = {0, 1e308};
  EXPECT_FALSE(DecodeSyncReply(Encode(reply)));
  reply.speed = {0, -1};
  EXPECT_FALSE(DecodeSyncReply(Encode(reply)));
}

// Bytes from the network may be anything.
TEST(SyncCodecTest, RefusesBytesThatAreNoMessage) {
  const std::string good = Encode(SyncReply{});
  EXPECT_FALSE(DecodeSyncReply(""));
  for (std::size_t n = 1; n < good.size(); ++n) {
    DecodeSyncReply(good.substr(0, n));
    std::string bad = good;
    bad[n] = static_cast<char>(bad[n] ^ 0x5a);
    DecodeSyncReply(bad);
    DecodeSyncRequest(bad);
  }
}

}  // namespace
}  // namespace shallotlug::protocol
