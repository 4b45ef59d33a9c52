#include "shallotlug/joblog/log_calls.h"

namespace shallotlug::joblog {

namespace {

constexpr std::size_t kLengthBytes = 4;

}  // namespace

std::size_t AppendedBytes(const workload::RawRecord& record) {
  return kLengthBytes + workload::RecordBytes(record);
}

std::size_t AppendedBytes(const std::vector<workload::RawRecord>& records) {
  std::size_t bytes = 0;
  for (const workload::RawRecord& it : records) {
    bytes += AppendedBytes(it);
  }
  return bytes;
}

}  // namespace shallotlug::joblog
