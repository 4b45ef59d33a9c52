#ifndef SHALLOTLUG_ENTRY_SRC_TEST_SUPPORT_H_
#define SHALLOTLUG_ENTRY_SRC_TEST_SUPPORT_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <xxhash.h>

#include "shallotlug/entry/entry.h"

#include "state.h"

namespace shallotlug::entry {

/// @brief Runs an entry with a fake clock, a fake log and fake agents.
class EntryTest : public testing::Test {
 protected:
  EntryTest() {
    options.self = {EntryName("e1"), Incarnation{7}};
    options.data_centre = DataCentreName("dc1");
    options.peer_address = "127.0.0.1:1";
    options.operator_address = "127.0.0.1:2";
  }

  State& Entry() {
    if (!entry) {
      entry = MakeState(options, now);
    }
    return *entry;
  }

  /// @brief Runs one step, then answers log reads and appends until none are
  /// outstanding (at most 20 rounds).
  void Run(Inbox inbox = {}) {
    Take(Step(Entry(), inbox, now));
    for (int n = 0; n < 20 && AnswerLog(); ++n) {
    }
  }

  void Advance(Millis by) {
    const TimePoint end = now + by;
    while (now < end) {
      now += std::min<Millis>(Millis(50), end - now);
      Run();
    }
  }

  void Call(std::uint64_t id, api::Call call) {
    Inbox inbox;
    inbox.calls.push_back({CallId{id}, std::move(call)});
    Run(std::move(inbox));
  }

  void Receive(std::uint64_t link, Message message) {
    Inbox inbox;
    inbox.received.push_back({LinkId{link}, std::move(message)});
    Run(std::move(inbox));
  }

  void LinkUpAt(std::uint64_t link) {
    Inbox inbox;
    inbox.links_up.push_back({LinkId{link}, PeerRole::kAgent, ""});
    Run(std::move(inbox));
  }

  void LinkDownAt(std::uint64_t link) {
    reports.erase(link);
    Inbox inbox;
    inbox.links_down.push_back({LinkId{link}, ""});
    Run(std::move(inbox));
  }

  AgentHello Hello(const std::string& name, std::uint64_t incarnation = 1) {
    AgentHello hello;
    hello.agent = {AgentName(name), Incarnation{incarnation}};
    hello.inventory.data_centre = DataCentreName("dc1");
    hello.inventory.rack = RackName("r1");
    hello.peer_address = "127.0.0.1:9";
    hello.now = AsPeerTime(now);
    return hello;
  }

  AgentReport Report() {
    AgentReport report;
    report.now = AsPeerTime(now);
    report.config_revision = CurrentTargets(Entry()).revision;
    report.accelerators.assign(8, AcceleratorUse::kFree);
    report.free_slots = 8;
    report.has_attempts = true;
    return report;
  }

  void Connect(std::uint64_t link,
               const std::string& name,
               std::uint64_t incarnation = 1) {
    LinkUpAt(link);
    Receive(link, Hello(name, incarnation));
    reports[link] = Report();
    Receive(link, reports[link]);
  }

  /// @brief Advances the clock; every agent repeats its report each 100 ms.
  void Wait(Millis by) {
    for (Millis n{0}; n < by; n += Millis(100)) {
      Advance(Millis(100));
      for (auto& [link, report] : reports) {
        report.now = AsPeerTime(now);
        report.config_revision = CurrentTargets(Entry()).revision;
        Receive(link, report);
      }
    }
  }

  static ClassTarget BatchTarget() {
    ClassTarget target;
    target.name = ClassName("sweep");
    target.customer = CustomerName("salon");
    target.finish_within = Millis(3'600'000);
    return target;
  }

  static api::SubmitJobCall Submit(const std::string& key,
                                   bool repeatable = true) {
    api::SubmitJobCall submit;
    submit.key = key;
    submit.spec.customer = CustomerName("salon");
    submit.spec.job_class = ClassName("sweep");
    submit.spec.shape = {1, 2, Adjacency::kWorker};
    submit.spec.declared_run_time = Millis(60'000);
    submit.spec.repeatable = repeatable;
    submit.spec.checkpointable = repeatable;
    return submit;
  }

  static ClassTarget LiveTarget() {
    ClassTarget target;
    target.name = ClassName("shade");
    target.customer = CustomerName("salon");
    target.kind = WorkKind::kLive;
    target.finish_within = Millis(2000);
    return target;
  }

  static api::SetTargetCall SetTarget(const std::string& change_id,
                                      ClassTarget target,
                                      std::uint64_t base_version = 0) {
    return {change_id, std::move(target), base_version, false};
  }

  static api::OneShotCall OneShot(bool repeatable = false) {
    return {CustomerName("salon"), ClassName("shade"), Millis(0), repeatable,
            "body"};
  }

  static RequestOutcome Answer(const RequestId& id, const std::string& body) {
    RequestOutcome outcome;
    outcome.id = id;
    outcome.result = RequestResult::kAnswered;
    outcome.answer = body;
    outcome.answer_length = body.size();
    outcome.answer_hash = XXH64(body.data(), body.size(), 0);
    return outcome;
  }

  static RequestOutcome Outcome(const RequestId& id, RequestResult result) {
    RequestOutcome outcome;
    outcome.id = id;
    outcome.result = result;
    return outcome;
  }

  /// @brief The most recently sent message of a type.
  template <class Type>
  std::optional<Type> LastSent() const {
    for (auto it = sends.rbegin(); it != sends.rend(); ++it) {
      if (const auto* message = std::get_if<Type>(&it->message)) {
        return *message;
      }
    }
    return std::nullopt;
  }

  template <class Type>
  std::size_t CountSent() const {
    std::size_t n = 0;
    for (const Send& it : sends) {
      n += std::holds_alternative<Type>(it.message) ? 1 : 0;
    }
    return n;
  }

  const api::Reply* FindReply(std::uint64_t call) const {
    for (const OutgoingReply& it : replies) {
      if (it.id == CallId{call}) {
        return &it.reply;
      }
    }
    return nullptr;
  }

  template <class Type>
  const Type* ReplyOf(std::uint64_t call) const {
    const api::Reply* reply = FindReply(call);
    return reply == nullptr ? nullptr : std::get_if<Type>(reply);
  }

  std::optional<api::ErrorCode> ErrorOf(std::uint64_t call) const {
    const auto* reply = ReplyOf<api::ErrorReply>(call);
    return reply == nullptr ? std::nullopt : std::optional(reply->code);
  }

  Options options;
  TimePoint now{Millis(1'000'000)};
  StatePtr entry;

  std::map<std::uint64_t, AgentReport> reports;  ///< By link, for Wait.

  bool log_up = true;
  stream::AppendOutcome append_outcome = stream::AppendOutcome::kAppended;
  bool store_appended = true;  ///< Whether appended records are stored.
  std::map<std::string, std::vector<stream::LogRecord>> log;

  /// Records of another entry that reach the stream just before the next
  /// append of this one.
  std::map<std::string, std::vector<stream::NewRecord>> concurrent_records;

  std::vector<Send> sends;
  std::vector<CloseLink> closes;
  std::vector<OutgoingReply> replies;
  bool may_exit = false;

 private:
  void Take(Outbox out) {
    sends.insert(sends.end(), out.sends.begin(), out.sends.end());
    closes.insert(closes.end(), out.closes.begin(), out.closes.end());
    replies.insert(replies.end(), out.replies.begin(), out.replies.end());
    reads_.insert(reads_.end(), out.log_reads.begin(), out.log_reads.end());
    appends_.insert(appends_.end(), out.log_appends.begin(),
                    out.log_appends.end());
    may_exit = may_exit || out.may_exit;
  }

  bool AnswerLog() {
    if (reads_.empty() && appends_.empty()) {
      return false;
    }
    Inbox inbox;
    for (const stream::LogAppend& it : std::exchange(appends_, {})) {
      inbox.log_appends.push_back({it.token, AppendTo(it)});
    }
    for (const stream::LogRead& it : std::exchange(reads_, {})) {
      inbox.log_reads.push_back(ReadFrom(it));
    }
    Take(Step(Entry(), inbox, now));
    return true;
  }

  stream::AppendOutcome AppendTo(const stream::LogAppend& append) {
    if (!log_up) {
      return stream::AppendOutcome::kNotAppended;
    }
    auto& records = log[append.stream];
    for (stream::NewRecord& it :
         std::exchange(concurrent_records[append.stream], {})) {
      records.push_back({records.size(), it.id, it.data});
    }
    for (const stream::NewRecord& it : append.records) {
      if (store_appended) {
        records.push_back({records.size(), it.id, it.data});
      }
    }
    return append_outcome;
  }

  stream::LogReadResult ReadFrom(const stream::LogRead& read) {
    stream::LogReadResult result;
    result.stream = read.stream;
    result.ok = log_up;
    const auto& records = log[read.stream];
    result.end = records.size();
    for (std::size_t n = read.from; log_up && n < records.size(); ++n) {
      result.records.push_back(records[n]);
    }
    return result;
  }

  std::vector<stream::LogRead> reads_;
  std::vector<stream::LogAppend> appends_;
};

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_TEST_SUPPORT_H_
