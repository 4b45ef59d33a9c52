#ifndef SHALLOTLUG_BASE_IDS_H_
#define SHALLOTLUG_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace shallotlug {

/// @brief A string that only compares with strings of the same kind.
template <class Tag>
struct StringId {
  std::string value;

  StringId() = default;
  explicit StringId(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const StringId&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const StringId& id) {
    return out << id.value;
  }
};

using CustomerName = StringId<struct CustomerTag>;
using ClassName = StringId<struct ClassTag>;
using AgentName = StringId<struct AgentTag>;
using EntryName = StringId<struct EntryTag>;
using RackName = StringId<struct RackTag>;
using DataCentreName = StringId<struct DataCentreTag>;
using JobId = StringId<struct JobTag>;
/// @brief Names a task at its backend server; unique within one worker.
using TaskId = StringId<struct TaskTag>;

/// @brief Drawn at random when a process starts; 0 means unknown.
enum class Incarnation : std::uint64_t {};

/// @brief An open connection of this process; never reused.
enum class LinkId : std::uint64_t {};

/// @brief One life of an agent.
struct AgentRef {
  AgentName name;
  Incarnation incarnation{};

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const AgentRef&) const = default;
};

/// @brief One life of an entry.
struct EntryRef {
  EntryName name;
  Incarnation incarnation{};

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const EntryRef&) const = default;
};

/// @brief One try to run a job; numbers start at 1.
struct Attempt {
  JobId job;
  std::uint32_t number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const Attempt&) const = default;
};

/// @brief A bit for each accelerator of one worker, the lowest bit first.
using AcceleratorMask = std::uint32_t;

}  // namespace shallotlug

template <class Tag>
struct std::hash<shallotlug::StringId<Tag>> {
  std::size_t operator()(const shallotlug::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};

template <>
struct std::hash<shallotlug::Attempt> {
  std::size_t operator()(const shallotlug::Attempt& attempt) const noexcept {
    return std::hash<std::string>()(attempt.job.value) * 31 + attempt.number;
  }
};

#endif  // SHALLOTLUG_BASE_IDS_H_
