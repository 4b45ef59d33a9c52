#include "follow_loop.h"

#include <utility>

#include "shallotlug/base/logging.h"
#include "shallotlug/net/role_loop.h"

namespace shallotlug::service {

using joblog::ReadStatus;
using net::ReadClock;

namespace {

constexpr Millis kRetryDelay{100};

}  // namespace

FollowLoop::FollowLoop(boost::asio::io_context& context,
                       const FollowOptions& options,
                       joblog::Follower::OnRecord on_record,
                       std::function<void()> on_page)
    : timer_(context),
      client_(context, options.store),
      options_(options),
      follower_(std::move(on_record)),
      on_page_(std::move(on_page)) {}

void FollowLoop::Start() {
  ReadNext();
}

void FollowLoop::ReadNext() {
  const joblog::FollowCall call = follower_.Next();
  const TimePoint began = ReadClock();
  read_at_ = began;
  reading_ = true;
  at_end_ = false;
  ++reads_sent_;
  const Millis timeout = response_timer_.Timeout();
  if (call.kind == joblog::FollowCall::Kind::kNewest) {
    client_.ReadNewest(options_.topic, call.after_key, timeout,
                       [this, began](const joblog::NewestResult& result) {
                         RecordLatency(result.status, Millis(0), began);
                         follower_.OnNewest(result, ReadClock());
                         OnReadDone(result.status, result.detail);
                       });
    return;
  }
  // While the store is unavailable, reads do not long-poll, so that its
  // recovery is seen at once.
  const Millis wait =
      store_unavailable_ || HasCallersWaiting() ? Millis(0) : options_.wait;
  client_.Read(options_.topic, {call.from, call.max_kilobytes, wait, timeout},
               [this, wait, began](const joblog::ReadResult& result) {
                 RecordLatency(result.status, wait, began);
                 follower_.OnRead(result, ReadClock());
                 at_end_ = result.status == ReadStatus::kDone &&
                           follower_.NextOffset() >= result.end_offset;
                 OnReadDone(result.status, result.detail);
               });
}

void FollowLoop::RecordLatency(ReadStatus status,
                               Millis wait,
                               TimePoint began) {
  const Millis took = ReadClock() - began;
  if (status != ReadStatus::kUnavailable) {
    // A long poll that returns early gives only an upper bound of the latency
    // of the store.
    response_timer_.OnAnswer(took > wait ? took - wait : Millis(0));
  } else if (took >= wait + response_timer_.Timeout()) {
    response_timer_.OnTimeout();
  }
}

void FollowLoop::OnReadDone(ReadStatus status, const std::string& detail) {
  reading_ = false;
  const bool unavailable = status == ReadStatus::kUnavailable;
  if (unavailable != store_unavailable_) {
    store_unavailable_ = unavailable;
    unavailable_since_ = ReadClock();
    WriteLog({unavailable ? LogLevel::kWarning : LogLevel::kInfo,
              unavailable ? "store_lost" : "store_regained",
              {{"topic", options_.topic}, {"detail", detail}}});
  }
  if (status == ReadStatus::kTrimmed) {
    WriteLog({LogLevel::kInfo,
              "log_reload",
              {{"topic", options_.topic},
               {"from", std::to_string(follower_.NextOffset())}}});
  }
  if (!unavailable) {
    on_page_();
    CallRefreshed();
    CallEndWaiters(false);
    const Millis since_read = ReadClock() - read_at_;
    // While the newest records of the keys are paged, there is more to read.
    const bool paging =
        follower_.Next().kind == joblog::FollowCall::Kind::kNewest;
    if (paging || HasCallersWaiting() || since_read >= interval_) {
      ReadNext();
    } else {
      waiting_ = true;
      ReadAfter(interval_ - since_read);
    }
    return;
  }
  CallRefreshed();
  CallEndWaiters(true);
  ReadAfter(kRetryDelay);
}

void FollowLoop::Refresh(std::function<void()> handler) {
  if (!waiting_ && refreshing_.empty()) {
    handler();
    return;
  }
  refreshing_.push_back(std::move(handler));
  if (waiting_) {
    waiting_ = false;
    ReadAfter(Millis(0));
  }
}

void FollowLoop::ReadToEnd(std::function<void(bool current)> handler) {
  end_waiters_.push_back({reads_sent_, std::move(handler)});
  if (waiting_) {
    waiting_ = false;
    ReadAfter(Millis(0));
  }
}

bool FollowLoop::HasCallersWaiting() const {
  return !refreshing_.empty() || !end_waiters_.empty();
}

void FollowLoop::CallEndWaiters(bool failed) {
  if (!failed && !at_end_) {
    return;
  }
  std::vector<std::function<void(bool)>> due;
  std::erase_if(end_waiters_, [&](EndWaiter& it) {
    if (it.after >= reads_sent_) {
      return false;
    }
    due.push_back(std::move(it.handler));
    return true;
  });
  for (const std::function<void(bool)>& it : due) {
    it(!failed);
  }
}

void FollowLoop::CallRefreshed() {
  const std::vector<std::function<void()>> handlers =
      std::exchange(refreshing_, {});
  for (const std::function<void()>& it : handlers) {
    it();
  }
}

void FollowLoop::ReadAfter(Millis delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    // The handler of an earlier wait may already be queued.
    if (!ec && !reading_) {
      waiting_ = false;
      ReadNext();
    }
  });
}

}  // namespace shallotlug::service
