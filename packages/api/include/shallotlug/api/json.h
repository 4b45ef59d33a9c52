#ifndef SHALLOTLUG_API_JSON_H_
#define SHALLOTLUG_API_JSON_H_

#include <boost/json/object.hpp>
#include <string_view>

#include "shallotlug/api/calls.h"
#include "shallotlug/base/object_reader.h"

/// JSON forms that the HTTP API, the command line and the log records share.
namespace shallotlug::api {

std::string_view ToWord(Adjacency adjacency);
std::string_view ToWord(WorkKind kind);
std::string_view ToWord(ErrorCode code);
std::string_view ToWord(JobState state);
std::string_view ToWord(GuaranteeState state);

/// @brief The target without its version.
boost::json::object ToJson(const ClassTarget& target);

/// @brief Reads what ToJson(ClassTarget) writes, except the class name, and
/// checks the values against each other.
void ReadTarget(ObjectReader& reader,
                const std::string& path,
                ClassTarget& to,
                Findings& findings);

boost::json::object ToJson(const JobSpec& spec);

/// @brief Reads what ToJson(JobSpec) writes, except the id, and checks it.
void ReadJobSpec(ObjectReader& reader, JobSpec& to);

}  // namespace shallotlug::api

#endif  // SHALLOTLUG_API_JSON_H_
