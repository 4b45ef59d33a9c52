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

/// @brief What became of a record.
enum class Stored {
  kYes,
  kNo,       ///< It was not appended and never will be.
  kUnknown,  ///< It may have been or may yet be appended.
};

/// @brief Word for logs.
const char* Name(Stored stored);

/// @brief Appends records whose repetition is harmless. Those that wait go in
/// one append, and one without an answer is repeated until its deadline.
class RecordQueue {
 public:
  using Handler = std::function<void(Stored)>;

  RecordQueue(boost::asio::io_context& context, const std::string& store);

  void Append(workload::RawRecord record, TimePoint deadline, Handler handler);

  /// @brief The record was read from the log.
  void OnSeen(const std::string& key);

 private:
  struct Item {
    workload::RawRecord record;
    TimePoint deadline{};
    Handler handler;
    bool ambiguous = false;
    int refusals = 0;
    bool sent = false;  ///< In the running append.
  };

  void Send();
  void OnResult(const joblog::AppendResult& result);
  void Retry();
  bool Settle(Item& item, joblog::AppendStatus status, TimePoint now);

  boost::asio::steady_timer timer_;
  platform::StoreClient client_;
  joblog::ResponseTimer response_timer_;
  std::vector<Item> items_;
  bool waiting_ = false;
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_RECORD_QUEUE_H_
