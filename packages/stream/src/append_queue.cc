#include "shallotlug/stream/append_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace shallotlug::stream {
namespace {

// Puts records back at the front, in their order.
void Requeue(AppendQueue& queue, std::vector<QueuedRecord>& records) {
  queue.queue.insert(queue.queue.begin(),
                     std::make_move_iterator(records.begin()),
                     std::make_move_iterator(records.end()));
  records.clear();
}

void MarkAmbiguous(AppendQueue& queue, TimePoint now) {
  for (QueuedRecord& it : queue.open) {
    it.sent = true;
    queue.ambiguous.push_back(std::move(it));
  }
  queue.open.clear();
  queue.open_token = 0;
  queue.ambiguous_since = now;
}

void SettleReadBack(std::vector<QueuedRecord>& records,
                    const std::unordered_set<std::string>& read,
                    std::vector<AppendNotice>& notices) {
  std::erase_if(records, [&](const QueuedRecord& it) {
    if (!read.contains(it.record.id)) {
      return false;
    }
    notices.push_back({it.record.id, AppendNoticeKind::kAppended});
    return true;
  });
}

template <class Container>
void ExpireIn(Container& records,
              TimePoint now,
              TimePoint& earliest,
              std::vector<AppendNotice>& notices) {
  const auto expired = [&](const QueuedRecord& it) {
    if (it.give_up_at > now) {
      earliest = std::min(earliest, it.give_up_at);
      return false;
    }
    notices.push_back({it.record.id, it.sent ? AppendNoticeKind::kUnknown
                                             : AppendNoticeKind::kNotAppended});
    return true;
  };
  records.erase(std::remove_if(records.begin(), records.end(), expired),
                records.end());
}

}  // namespace

bool Add(AppendQueue& queue, QueuedRecord record) {
  if (Depth(queue) >= queue.options.queue_limit) {
    return false;
  }
  queue.earliest_give_up = std::min(queue.earliest_give_up, record.give_up_at);
  queue.queue.push_back(std::move(record));
  return true;
}

std::size_t Depth(const AppendQueue& queue) {
  return queue.queue.size() + queue.open.size() + queue.ambiguous.size();
}

std::optional<LogAppend> NextAppend(AppendQueue& queue,
                                    std::uint64_t token,
                                    TimePoint now) {
  if (!queue.open.empty() || !queue.ambiguous.empty() || queue.queue.empty() ||
      now < queue.not_before) {
    return std::nullopt;
  }
  LogAppend append{token, queue.options.stream, {}};
  std::size_t bytes = 0;
  while (!queue.queue.empty() &&
         append.records.size() < queue.options.records_per_append &&
         (bytes == 0 || bytes + queue.queue.front().record.data.size() <=
                            queue.options.bytes_per_append)) {
    bytes += queue.queue.front().record.data.size();
    append.records.push_back(queue.queue.front().record);
    queue.open.push_back(std::move(queue.queue.front()));
    queue.queue.pop_front();
  }
  queue.open_token = token;
  queue.open_since = now;
  queue.read_back.clear();
  return append;
}

void OnAppendResult(AppendQueue& queue,
                    const LogAppendResult& result,
                    TimePoint now,
                    std::vector<AppendNotice>& notices) {
  if (queue.open.empty() || result.token != queue.open_token) {
    return;
  }
  if (result.outcome == AppendOutcome::kUnknown) {
    MarkAmbiguous(queue, now);
    SettleReadBack(queue.ambiguous, queue.read_back, notices);
    return;
  }
  queue.open_token = 0;
  if (result.outcome == AppendOutcome::kNotAppended) {
    Requeue(queue, queue.open);
    queue.not_before = now + queue.options.retry_delay;
    return;
  }
  for (const QueuedRecord& it : queue.open) {
    notices.push_back({it.record.id, AppendNoticeKind::kAppended});
  }
  queue.open.clear();
}

void OnReadBack(AppendQueue& queue,
                const std::vector<LogRecord>& records,
                bool caught_up,
                TimePoint read_started,
                std::vector<AppendNotice>& notices) {
  if (queue.open.empty() && queue.ambiguous.empty()) {
    return;
  }
  for (const LogRecord& it : records) {
    queue.read_back.insert(it.id);
  }
  SettleReadBack(queue.ambiguous, queue.read_back, notices);
  if (caught_up && !queue.ambiguous.empty() &&
      read_started >= queue.ambiguous_since) {
    Requeue(queue, queue.ambiguous);
  }
}

void Expire(AppendQueue& queue,
            TimePoint now,
            std::vector<AppendNotice>& notices) {
  if (!queue.open.empty() &&
      now - queue.open_since > queue.options.result_timeout) {
    MarkAmbiguous(queue, now);
  }
  if (now < queue.earliest_give_up) {
    return;
  }
  TimePoint earliest = TimePoint::max();
  for (const QueuedRecord& it : queue.open) {
    earliest = std::min(earliest, it.give_up_at);
  }
  ExpireIn(queue.queue, now, earliest, notices);
  ExpireIn(queue.ambiguous, now, earliest, notices);
  queue.earliest_give_up = earliest;
}

}  // namespace shallotlug::stream
