#include "shallotlug/joblog/follower.h"

#include <algorithm>
#include <utility>

namespace shallotlug::joblog {

namespace {

constexpr int kInitialPageKilobytes = 256;
constexpr int kMinPageKilobytes = 32;
// Limit of the store.
constexpr int kMaxPageKilobytes = 1'024;

}  // namespace

Follower::Follower(OnRecord on_record)
    : on_record_(std::move(on_record)),
      page_kilobytes_(kInitialPageKilobytes) {}

FollowCall Follower::Next() const {
  FollowCall call;
  call.kind = paging_ ? FollowCall::Kind::kNewest : FollowCall::Kind::kRead;
  call.after_key = after_key_;
  call.from = next_offset_;
  call.max_kilobytes = page_kilobytes_;
  return call;
}

void Follower::OnNewest(const NewestResult& result, TimePoint) {
  if (result.status != ReadStatus::kDone) {
    return;
  }
  if (first_page_) {
    first_page_ = false;
    next_offset_ = result.end_offset;
  }
  malformed_ += result.malformed;
  for (const StoredRecord& it : result.records) {
    on_record_(it);
    after_key_ = it.record.key;
  }
  if (!result.has_more || result.records.empty()) {
    paging_ = false;
  }
}

void Follower::OnRead(const ReadResult& result, TimePoint now) {
  if (result.status == ReadStatus::kTrimmed) {
    ++restarts_;
    paging_ = true;
    first_page_ = true;
    after_key_.clear();
    return;
  }
  if (result.status != ReadStatus::kDone) {
    page_kilobytes_ = std::max(page_kilobytes_ / 2, kMinPageKilobytes);
    return;
  }
  malformed_ += result.malformed;
  for (const StoredRecord& it : result.records) {
    on_record_(it);
  }
  next_offset_ = result.next_offset;
  if (next_offset_ >= result.end_offset) {
    loaded_ = true;
    current_at_ = now;
  } else {
    page_kilobytes_ =
        std::min(page_kilobytes_ + page_kilobytes_ / 4, kMaxPageKilobytes);
  }
}

}  // namespace shallotlug::joblog
