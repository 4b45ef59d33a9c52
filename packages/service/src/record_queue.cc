#include "record_queue.h"

#include <algorithm>
#include <utility>

#include "shallotlug/base/logging.h"
#include "shallotlug/net/role_loop.h"

namespace shallotlug::service {

using joblog::AppendStatus;
using net::ReadClock;

namespace {

constexpr Millis kRetryDelay{50};
// A record is dropped after the store has refused it this many times, unless
// an earlier append of it had an unknown outcome.
constexpr int kMaxRefusals = 2;
constexpr std::size_t kBatchBytes = 512UL * 1024;

}  // namespace

const char* Name(Stored stored) {
  switch (stored) {
    case Stored::kYes:
      return "stored";
    case Stored::kNo:
      return "not_stored";
    case Stored::kUnknown:
      return "unknown";
  }
  return "unknown";
}

RecordQueue::RecordQueue(boost::asio::io_context& context,
                         const std::string& store,
                         const joblog::StoreLimits& limits)
    : retry_timer_(context), client_(context, store), limits_(limits) {}

bool RecordQueue::Accepts(const workload::RawRecord& record) const {
  return workload::RecordBytes(record) <= limits_.record_bytes;
}

void RecordQueue::Append(workload::RawRecord record,
                         TimePoint deadline,
                         Handler handler) {
  PendingRecord item;
  item.record = std::move(record);
  item.deadline = deadline;
  item.handler = std::move(handler);
  pending_.push_back(std::move(item));
  Send();
}

void RecordQueue::OnRecordRead(const std::string& key) {
  std::vector<Handler> done;
  std::erase_if(pending_, [&](PendingRecord& it) {
    if (it.record.key != key) {
      return false;
    }
    done.push_back(std::move(it.handler));
    return true;
  });
  for (const Handler& it : done) {
    it(Stored::kYes);
  }
}

void RecordQueue::Send() {
  if (client_.Busy() || retry_scheduled_ || pending_.empty()) {
    return;
  }
  std::vector<workload::RawRecord> records;
  std::size_t bytes = 0;
  for (PendingRecord& it : pending_) {
    it.sent = bytes < kBatchBytes && records.size() < max_records_;
    if (it.sent) {
      bytes += it.record.key.size() + it.record.value.size();
      records.push_back(it.record);
    }
  }
  joblog::AppendOptions options;
  options.timeout = response_timer_.Timeout();
  client_.Append(platform::kJobTopic, records, options,
                 [this, began = ReadClock()](const joblog::AppendResult& it) {
                   response_timer_.OnAppend(it.status, ReadClock() - began);
                   OnResult(it);
                 });
}

bool RecordQueue::CompleteIfFinal(PendingRecord& item,
                                  AppendStatus status,
                                  TimePoint now) {
  if (status == AppendStatus::kDone) {
    item.handler(Stored::kYes);
    return true;
  }
  if (status == AppendStatus::kOutcomeUnknown) {
    item.ambiguous = true;
  } else {
    ++item.refusals;
  }
  if (!item.ambiguous && item.refusals >= kMaxRefusals) {
    item.handler(Stored::kNo);
    return true;
  }
  if (now >= item.deadline) {
    item.handler(item.ambiguous ? Stored::kUnknown : Stored::kNo);
    return true;
  }
  return false;
}

void RecordQueue::OnResult(const joblog::AppendResult& result) {
  if (result.status != AppendStatus::kDone) {
    WriteLog(
        {LogLevel::kWarning, "append_failed", {{"detail", result.detail}}});
  }
  if (DivideIfRefused(result.status)) {
    Retry();
    return;
  }
  const TimePoint now = ReadClock();
  // Handlers may call Append(), which must not modify the list being iterated.
  std::vector<PendingRecord> items = std::exchange(pending_, {});
  std::vector<PendingRecord> remaining;
  for (PendingRecord& it : items) {
    if (!std::exchange(it.sent, false) ||
        !CompleteIfFinal(it, result.status, now)) {
      remaining.push_back(std::move(it));
    }
  }
  pending_.insert(pending_.begin(), std::make_move_iterator(remaining.begin()),
                  std::make_move_iterator(remaining.end()));
  if (result.status == AppendStatus::kDone) {
    Send();
  } else {
    Retry();
  }
}

// The store refuses an append as a whole, also for one record in it.
bool RecordQueue::DivideIfRefused(AppendStatus status) {
  const auto sent = static_cast<std::size_t>(
      std::count_if(pending_.begin(), pending_.end(),
                    [](const PendingRecord& it) { return it.sent; }));
  if (status == AppendStatus::kInvalid && sent > 1) {
    max_records_ = sent / 2;
    for (PendingRecord& it : pending_) {
      it.sent = false;
    }
    return true;
  }
  if (status == AppendStatus::kDone) {
    max_records_ = std::min(2 * max_records_, kMaxRecords);
  }
  return false;
}

void RecordQueue::Retry() {
  retry_scheduled_ = true;
  retry_timer_.expires_after(kRetryDelay);
  retry_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      retry_scheduled_ = false;
      Send();
    }
  });
}

}  // namespace shallotlug::service
