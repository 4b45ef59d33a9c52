#include "shallotlug/harness/fake_log.h"

#include <algorithm>

namespace shallotlug::harness {
namespace {

constexpr Millis kLatency{5};
constexpr Millis kClientTimeout{2000};
constexpr std::size_t kReadLimit = 1000;

}  // namespace

void FakeLog::SetSlow(Millis latency, Millis until) {
  slow_latency_ = latency;
  slow_until_ = until;
}

void FakeLog::ClearFaults() {
  outage_until_ = slow_until_ = loses_answers_until_ = Millis(0);
}

bool FakeLog::Healthy(Millis now) const {
  return now >= outage_until_ && now >= slow_until_ &&
         now >= loses_answers_until_;
}

Millis FakeLog::Latency(Millis now) {
  const Millis most = now < slow_until_ ? slow_latency_ : kLatency;
  return Millis(1 + random_.Below(static_cast<int>(most.count())));
}

void FakeLog::Append(Millis now,
                     const ProcessRef& from,
                     stream::LogAppend append) {
  Operation op;
  op.from = from;
  op.life = lives_[from];
  op.is_append = true;
  op.append = std::move(append);
  if (now < outage_until_) {
    // Half of the failures are refused connections, which prove that nothing
    // was sent; the others are timeouts.
    const bool refused = random_.Chance(50);
    op.outcome = refused ? stream::AppendOutcome::kNotAppended
                         : stream::AppendOutcome::kUnknown;
    operations_.emplace(now + (refused ? kLatency : kClientTimeout), op);
    return;
  }
  op.effect = true;
  const Millis latency = Latency(now);
  if (latency > kClientTimeout) {
    Operation answer = op;
    answer.effect = false;
    answer.outcome = stream::AppendOutcome::kUnknown;
    operations_.emplace(now + kClientTimeout, answer);
  }
  operations_.emplace(now + latency, op);
}

void FakeLog::Read(Millis now,
                   const ProcessRef& from,
                   const stream::LogRead& read) {
  Operation op;
  op.from = from;
  op.life = lives_[from];
  op.read = read;
  op.read_result.stream = read.stream;
  const Millis latency = Latency(now);
  if (now < outage_until_ || latency > kClientTimeout) {
    operations_.emplace(now + kClientTimeout, op);
    return;
  }
  op.effect = true;
  operations_.emplace(now + latency, op);
}

void FakeLog::Apply(Millis now, Operation& operation) {
  Operation answer = operation;
  answer.effect = false;
  if (now < outage_until_) {
    operations_.emplace(now + kClientTimeout, answer);
    return;
  }
  if (!operation.is_append) {
    Stream& stream = streams_[operation.read.stream];
    stream::LogReadResult& result = answer.read_result;
    result.ok = true;
    result.start = stream.start;
    result.end = stream.start + stream.records.size();
    const std::uint64_t from = std::max(operation.read.from, stream.start);
    for (std::uint64_t offset = from;
         offset < result.end && result.records.size() < kReadLimit; ++offset) {
      result.records.push_back(stream.records[offset - stream.start].record);
    }
    operations_.emplace(now, answer);
    return;
  }
  Stream& stream = streams_[operation.append.stream];
  for (const stream::NewRecord& record : operation.append.records) {
    const std::uint64_t offset = stream.start + stream.records.size();
    stream.records.push_back({now, {offset, record.id, record.data}});
    ++appended_;
  }
  if (now < loses_answers_until_) {
    answer.outcome = stream::AppendOutcome::kUnknown;
    operations_.emplace(now + kClientTimeout, answer);
  } else {
    answer.outcome = stream::AppendOutcome::kAppended;
    operations_.emplace(now, answer);
  }
}

void FakeLog::Tick(Millis now) {
  while (!operations_.empty() && operations_.begin()->first <= now) {
    Operation op = std::move(operations_.begin()->second);
    operations_.erase(operations_.begin());
    if (op.effect) {
      Apply(now, op);
      continue;
    }
    if (op.life != lives_[op.from]) {
      continue;
    }
    LogArrivals& arrivals = arrivals_[op.from];
    if (op.is_append) {
      arrivals.appends.push_back({op.append.token, op.outcome});
    } else {
      arrivals.reads.push_back(std::move(op.read_result));
    }
  }
  for (auto& [name, stream] : streams_) {
    while (!stream.records.empty() &&
           stream.records.front().at + retention_ < now) {
      stream.records.pop_front();
      ++stream.start;
    }
  }
}

LogArrivals FakeLog::Take(const ProcessRef& process) {
  LogArrivals taken;
  std::swap(taken, arrivals_[process]);
  return taken;
}

bool FakeLog::HasArrivals(const ProcessRef& process) const {
  const auto it = arrivals_.find(process);
  return it != arrivals_.end() && !it->second.empty();
}

void FakeLog::Forget(const ProcessRef& process) {
  ++lives_[process];
  arrivals_.erase(process);
}

}  // namespace shallotlug::harness
