#include "test_support.h"

namespace shallotlug::entry {
namespace {

class LiveTest : public EntryTest {
 protected:
  void SetUp() override {
    Run();
    Call(900, SetTarget("c1", LiveTarget()));
    Connect(1, "a1");
  }
};

// Guards against a request that is lost between its call and its answer.
TEST_F(LiveTest, OneShotIsSentAndAnswered) {
  Call(1, OneShot());
  const auto start = LastSent<StartRequest>();
  ASSERT_TRUE(start);
  EXPECT_EQ(start->finish_before, AsPeerTime(now + Millis(2000)));
  Receive(1, Answer(start->id, "card"));
  ASSERT_NE(ReplyOf<api::AnswerReply>(1), nullptr);
  EXPECT_EQ(ReplyOf<api::AnswerReply>(1)->body, "card");
}

// Guards against a minted id that names no agent, so that it cannot be sent.
TEST_F(LiveTest, MintedIdIsSentToItsAgent) {
  Call(1, api::MintCall{CustomerName("salon"), ClassName("shade")});
  ASSERT_NE(ReplyOf<api::MintReply>(1), nullptr);
  const RequestId id = ReplyOf<api::MintReply>(1)->id;
  Call(2, api::SendCall{id, CustomerName("salon"), ClassName("shade"),
                        Millis(0), false, "body"});
  ASSERT_TRUE(LastSent<StartRequest>());
  EXPECT_EQ(LastSent<StartRequest>()->id, id);
  Receive(1, Answer(id, "card"));
  EXPECT_NE(ReplyOf<api::AnswerReply>(2), nullptr);
}

// Guards against work of a class that no operator has created.
TEST_F(LiveTest, UnknownClassIsNotFound) {
  Call(1, api::MintCall{CustomerName("salon"), ClassName("other")});
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kNotFound);
}

}  // namespace
}  // namespace shallotlug::entry
