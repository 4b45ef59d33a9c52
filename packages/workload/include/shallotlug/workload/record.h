#ifndef SHALLOTLUG_WORKLOAD_RECORD_H_
#define SHALLOTLUG_WORKLOAD_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "shallotlug/workload/job.h"
#include "shallotlug/workload/progress.h"

/// Durable records of the job log: a key, and a value in JSON.
namespace shallotlug::workload {

/// @brief A job that was accepted.
struct JobAccepted {
  Job job;
};

/// @brief A caller cancelled the job.
struct JobCancelled {
  JobId job;
};

/// @brief The whole progress of one occurrence.
struct OccurrenceProgress {
  JobId job;
  int occurrence = 0;
  Progress progress;
};

/// @brief The scheduler that may write progress from now on.
struct SchedulerClaim {
  std::uint64_t epoch = 0;
  EntryName entry;
  std::uint64_t nonce = 0;  ///< Tells the claimant's own record from others.
  bool resigned = false;
};

/// @brief Where an agent listens.
struct AgentAddress {
  AgentName agent;
  std::string address;  ///< `ip:port`.
  Incarnation incarnation{};
};

/// @brief Where an entry takes requests that other entries cannot serve.
struct EntryAddress {
  EntryName entry;
  std::string address;   ///< `ip:port`.
  WallTime stated_at{};  ///< Stated again from time to time while it lives.
};

/// @brief A key whose value was dropped. Both are empty for the other keys of a
/// job, which go before the job itself.
struct RecordDropped {
  std::optional<JobId> job;
  std::optional<AgentName> agent;
  std::optional<EntryName> entry;
};

using Record = std::variant<JobAccepted,
                            JobCancelled,
                            OccurrenceProgress,
                            SchedulerClaim,
                            AgentAddress,
                            EntryAddress,
                            RecordDropped>;

/// @brief A record as the store holds it. An empty value drops the key.
struct RawRecord {
  std::string key;
  std::string value;
};

RawRecord Encode(const JobAccepted& it);
RawRecord Encode(const JobCancelled& it);
RawRecord Encode(const OccurrenceProgress& it);
RawRecord Encode(const SchedulerClaim& it);
RawRecord Encode(const AgentAddress& it);
RawRecord Encode(const EntryAddress& it);

/// @brief Drops what the log says of an entry.
RawRecord DropEntry(const EntryName& entry);
/// @brief Drops what the log says of an agent.
RawRecord DropAgent(const AgentName& agent);

/// @brief The keys that belong to one job, for dropping them.
std::vector<RawRecord> DropJob(const Job& job);

/// @brief Whether only the scheduler writes records of this key.
bool IsSchedulersRecord(std::string_view key);

/// @brief Decodes a record; nothing when it is not one of ours.
std::optional<Record> Decode(const std::string& key, std::string_view value);

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_RECORD_H_
