#ifndef SHALLOTLUG_WORKLOAD_RECORD_H_
#define SHALLOTLUG_WORKLOAD_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "shallotlug/workload/job.h"
#include "shallotlug/workload/progress.h"

/// Durable records of the job log: a key, and a value in JSON.
namespace shallotlug::workload {

/// @brief A job that was accepted.
struct JobAccepted {
  Job job;
};

/// @brief A caller cancelled the job. The record may be stored before the
/// job's own, which may still be on its way.
struct JobCancelled {
  JobId job;
  WallTime stated_at{};
};

/// @brief The complete progress of one occurrence.
struct OccurrenceProgress {
  JobId job;
  int occurrence = 0;
  Progress progress;
};

/// @brief Tasks of one part of an occurrence, counted over all steps.
inline constexpr std::size_t kTasksPerPart = 1'000;

/// @brief Progress of some tasks of an occurrence that one record cannot hold.
struct ProgressPart {
  JobId job;
  int occurrence = 0;
  int part = 0;
  std::optional<Outcome> outcome;   ///< Of the occurrence; in the first part.
  std::vector<std::size_t> counts;  ///< Tasks of each step.
  std::vector<TaskProgress> tasks;  ///< From number `part * kTasksPerPart` on.
};

/// @brief The scheduler that may write progress from now on.
struct SchedulerClaim {
  std::uint64_t epoch = 0;
  EntryName entry;
  std::uint64_t nonce = 0;  ///< Identifies the claimant's own record.
  bool resigned = false;
  bool behind = false;  ///< It has resigned because it was behind the log.
  /// It has resigned because it heard too few agents.
  bool agents_lost = false;
  std::int64_t agents_heard = 0;  ///< Agents that the scheduler hears.
};

/// @brief Listening address of an agent.
struct AgentAddress {
  AgentName agent;
  std::string address;  ///< `ip:port`.
  Incarnation incarnation{};
};

/// @brief Where an entry accepts requests that other entries cannot serve.
struct EntryAddress {
  EntryName entry;
  std::string address;   ///< `ip:port`.
  WallTime stated_at{};  ///< Renewed periodically while the entry runs.
  /// Processor time of its machine, in thousandths of a core; 0: unknown.
  std::int64_t cpu_millis = 0;
};

/// @brief A key whose value was dropped. All members are empty for the other
/// keys of a job, which are dropped before the job itself.
struct RecordDropped {
  std::optional<JobId> job;
  std::optional<JobId> cancelled_job;  ///< Of the cancel alone.
  std::optional<AgentName> agent;
  std::optional<EntryName> entry;
};

using Record = std::variant<JobAccepted,
                            JobCancelled,
                            OccurrenceProgress,
                            ProgressPart,
                            SchedulerClaim,
                            AgentAddress,
                            EntryAddress,
                            RecordDropped>;

/// @brief A record as stored. An empty value deletes the key.
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

/// @brief Returns the record that deletes an entry's address.
RawRecord DropEntry(const EntryName& entry);
/// @brief Returns the record that deletes an agent's address.
RawRecord DropAgent(const AgentName& agent);

/// @brief The records of an occurrence's progress.
struct EncodedProgress {
  /// One, or all parts; the first part, which has the outcome, is the last
  /// record.
  std::vector<RawRecord> records;
  bool in_parts = false;
  /// Parts that are too large with the checkpoints of their tasks.
  int parts_without_checkpoints = 0;
};

/// @brief Encodes the progress in records of at most `record_bytes`. An
/// occurrence that was recorded in parts once stays so.
EncodedProgress EncodeProgress(const OccurrenceProgress& it,
                               std::size_t record_bytes);

/// @brief Number of parts in which progress is recorded.
int PartCount(const Progress& progress);

/// @brief Replaces the tasks of the part, and the outcome if it has that.
void ApplyPart(Progress& progress, const ProgressPart& part);

/// @brief Takes over the tasks of an older whole record whose part was not read
/// yet: a task that was started never returns to its initial state.
void FillMissing(Progress& progress, const Progress& older);

/// @brief Bytes of a record as a store counts them, with the length of its key.
std::size_t RecordBytes(const RawRecord& record);

/// @brief Returns the record that deletes the cancel of a job.
RawRecord DropCancel(const JobId& job);

/// @brief Returns the records that delete all keys of a job.
/// @param parts Number of records of each occurrence that may have some.
std::vector<RawRecord> DropJob(const Job& job, const std::map<int, int>& parts);

/// @brief Whether only the scheduler writes records of this key.
bool IsSchedulersRecord(std::string_view key);

/// @brief Whether records of this key are claims of schedulers.
bool IsClaim(std::string_view key);

/// @brief Decodes a record; nullopt if it is malformed or of another writer.
std::optional<Record> Decode(const std::string& key, std::string_view value);

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_RECORD_H_
