#include "shallotlug/jobharness/fake_store.h"

#include <utility>

namespace shallotlug::jobharness {

using joblog::AppendOptions;
using joblog::AppendResult;
using joblog::AppendStatus;
using joblog::NewestResult;
using joblog::ReadResult;
using joblog::ReadStatus;

namespace {

constexpr std::size_t kRememberedAppends = 5;
constexpr std::size_t kPageRecords = 50;

AppendResult Failed(AppendStatus status, std::string detail) {
  AppendResult result;
  result.status = status;
  result.detail = std::move(detail);
  return result;
}

}  // namespace

bool FakeStore::Refuses(const std::string& caller) const {
  return refused_.contains(caller) || refused_.contains("*");
}

std::string FakeStore::Fault(
    const std::vector<workload::RawRecord>& records) const {
  std::size_t bytes = 0;
  for (const workload::RawRecord& it : records) {
    bytes += joblog::AppendedBytes(it);
    if (workload::RecordBytes(it) > limits_.record_bytes) {
      return "status 413: record of " + it.key;
    }
    if (refused_keys_.contains(it.key)) {
      return "status 400: key " + it.key;
    }
  }
  return bytes > limits_.request_bytes ? "status 413: request" : "";
}

AppendResult FakeStore::Append(const std::string& caller,
                               const std::vector<workload::RawRecord>& records,
                               const AppendOptions& options) {
  if (Refuses(caller)) {
    return Failed(AppendStatus::kNotDone, "busy");
  }
  const std::string fault = Fault(records);
  if (!fault.empty()) {
    return Failed(AppendStatus::kInvalid, fault);
  }
  ProducerState* producer = nullptr;
  if (options.producer) {
    producer = &producers_[options.producer->name];
    if (options.producer->epoch < producer->epoch) {
      return Failed(AppendStatus::kFenced, "fenced");
    }
    if (options.producer->epoch > producer->epoch) {
      *producer = {};
      producer->epoch = options.producer->epoch;
    }
    const auto known = producer->answers.find(options.producer->sequence);
    if (known != producer->answers.end()) {
      return known->second;
    }
    if (producer->any && options.producer->sequence != producer->sequence + 1) {
      return Failed(AppendStatus::kOutOfSequence, "seq");
    }
  }
  if (options.at && *options.at != End()) {
    AppendResult result = Failed(AppendStatus::kMoved, "moved");
    result.end_offset = End();
    return result;
  }
  AppendResult result;
  result.status = AppendStatus::kDone;
  result.first_offset = End();
  for (const workload::RawRecord& it : records) {
    newest_[it.key] = End();
    records_.push_back(it);
  }
  result.end_offset = End();
  if (producer != nullptr) {
    producer->any = true;
    producer->sequence = options.producer->sequence;
    producer->answers[producer->sequence] = result;
    if (producer->answers.size() > kRememberedAppends) {
      producer->answers.erase(producer->answers.begin());
    }
  }
  return result;
}

ReadResult FakeStore::Read(const std::string& caller,
                           std::uint64_t from) const {
  ReadResult result;
  result.next_offset = from;
  if (Refuses(caller)) {
    result.detail = "busy";
    return result;
  }
  if (from < first_retained_) {
    result.status = ReadStatus::kTrimmed;
    return result;
  }
  result.status = ReadStatus::kDone;
  result.end_offset = End();
  for (; result.next_offset < End(); ++result.next_offset) {
    result.records.push_back(
        {result.next_offset, records_[result.next_offset]});
  }
  return result;
}

NewestResult FakeStore::Newest(const std::string& caller,
                               const std::string& after_key) const {
  NewestResult result;
  if (Refuses(caller)) {
    result.detail = "busy";
    return result;
  }
  result.status = ReadStatus::kDone;
  result.end_offset = End();
  for (auto it = newest_.upper_bound(after_key); it != newest_.end(); ++it) {
    if (result.records.size() == kPageRecords) {
      result.has_more = true;
      break;
    }
    // A key without a value was dropped.
    if (!records_[it->second].value.empty()) {
      result.records.push_back({it->second, records_[it->second]});
    }
  }
  return result;
}

}  // namespace shallotlug::jobharness
