#ifndef REVIEW_STANDINS_STORE_H_
#define REVIEW_STANDINS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

/// @brief One record of a keyed topic.
struct KeyedRecord {
  std::string key;
  std::string value;
};

/// @brief The platform's store: an append-only log with keyed topics.
class LogStore {
 public:
  /// @brief Called when an append was carried out, before anyone hears of it.
  /// It must not call the store.
  using AppendHook = std::function<void(const std::string& caller,
                                        const std::vector<KeyedRecord>&)>;

  /// @brief Handles one call of the process named `caller`.
  std::optional<Response> Handle(const std::string& caller,
                                 const Request& request);
  void SetAppendHook(AppendHook hook);
  /// @brief Appends as the operator.
  void Put(const std::string& topic, const KeyedRecord& record);

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> next;
    /// Sequence numbers and answers of the last appends.
    std::deque<std::pair<std::uint64_t, std::string>> answers;
  };
  struct Topic {
    std::vector<std::string> records;  ///< Without their length.
    std::map<std::string, Producer> producers;
  };
  using Query = std::map<std::string, std::string>;

  Response Append(const std::string& caller,
                  const Query& query,
                  const std::string& body);
  Response Read(const Query& query);
  Response Newest(const Query& query);

  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, Topic> topics_;
  AppendHook hook_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_STORE_H_
