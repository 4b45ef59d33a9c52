#ifndef SHALLOTLUG_SERVICE_SRC_RECORD_QUEUE_H_
#define SHALLOTLUG_SERVICE_SRC_RECORD_QUEUE_H_

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "shallotlug/joblog/response_timer.h"
#include "shallotlug/platform/store_client.h"

namespace shallotlug::service {

/// @brief Outcome of an append.
enum class Stored {
  kYes,
  kNo,       ///< Not appended, and never will be.
  kUnknown,  ///< May have been appended or may still be.
};

/// @brief Name for log fields and metric labels.
const char* Name(Stored stored);

/// @brief Queue of idempotent records to append to the job log. Queued records
/// are batched, and an append without an answer is retried until the deadlines
/// of its records.
class RecordQueue {
 public:
  using Handler = std::function<void(Stored)>;

  RecordQueue(boost::asio::io_context& context,
              const std::string& store,
              const joblog::StoreLimits& limits);

  /// @brief Whether the store takes a record of this size.
  bool Accepts(const workload::RawRecord& record) const;

  void Append(workload::RawRecord record, TimePoint deadline, Handler handler);

  /// @brief Completes the queued records with `key`, which was read from the
  /// log.
  void OnRecordRead(const std::string& key);

 private:
  struct PendingRecord {
    workload::RawRecord record;
    TimePoint deadline{};
    Handler handler;
    bool ambiguous = false;
    int refusals = 0;
    bool sent = false;  ///< Part of the append in progress.
  };

  static constexpr std::size_t kMaxRecords = 1'024;

  void Send();
  /// @brief Whether the append in progress goes on in smaller ones.
  bool DivideIfRefused(joblog::AppendStatus status);
  void OnResult(const joblog::AppendResult& result);
  void Retry();
  bool CompleteIfFinal(PendingRecord& item,
                       joblog::AppendStatus status,
                       TimePoint now);

  boost::asio::steady_timer retry_timer_;
  platform::StoreClient client_;
  joblog::ResponseTimer response_timer_;
  joblog::StoreLimits limits_;
  std::vector<PendingRecord> pending_;
  /// Limit of the next append, lower after the store has refused one.
  std::size_t max_records_ = kMaxRecords;
  bool retry_scheduled_ = false;
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_RECORD_QUEUE_H_
