#ifndef SHALLOTLUG_JOBHARNESS_FAKE_STORE_H_
#define SHALLOTLUG_JOBHARNESS_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "shallotlug/joblog/log_calls.h"

namespace shallotlug::jobharness {

/// @brief Stand-in for one partition of a keyed topic, as a state machine.
///
/// Appends of a producer are ordered by its sequence and fenced by its epoch; a
/// repetition of one of the last five gets its first answer again, whatever
/// else it asks for.
class FakeStore {
 public:
  joblog::AppendResult Append(const std::string& caller,
                              const std::vector<workload::RawRecord>& records,
                              const joblog::AppendOptions& options);
  joblog::ReadResult Read(const std::string& caller, std::uint64_t from) const;
  joblog::NewestResult Newest(const std::string& caller,
                              const std::string& after_key) const;

  /// @brief Refuses the callers; "*" stands for all.
  void Refuse(const std::string& caller) { refused_.insert(caller); }
  void Serve(const std::string& caller) { refused_.erase(caller); }

  /// @brief Appends beyond these sizes are refused for good.
  void SetLimits(const joblog::StoreLimits& limits) { limits_ = limits; }
  /// @brief Refuses each append with a record of this key for good.
  void RefuseKey(const std::string& key) { refused_keys_.insert(key); }

  /// @brief Drops all but the newest record of each key.
  void DropHistory() { first_retained_ = records_.size(); }

  std::uint64_t End() const { return records_.size(); }

 private:
  struct ProducerState {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool any = false;  ///< Whether this epoch has appended.
    std::map<std::uint64_t, joblog::AppendResult> answers;
  };

  bool Refuses(const std::string& caller) const;
  /// @brief Why the records are refused whenever they are sent; empty if they
  /// are not.
  std::string Fault(const std::vector<workload::RawRecord>& records) const;

  std::vector<workload::RawRecord> records_;
  std::map<std::string, std::uint64_t> newest_;
  std::map<std::string, ProducerState> producers_;
  std::set<std::string> refused_;
  std::set<std::string> refused_keys_;
  joblog::StoreLimits limits_;
  std::uint64_t first_retained_ = 0;
};

}  // namespace shallotlug::jobharness

#endif  // SHALLOTLUG_JOBHARNESS_FAKE_STORE_H_
