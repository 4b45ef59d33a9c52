#ifndef SHALLOTLUG_WORKLOAD_SRC_PROGRESS_RECORD_H_
#define SHALLOTLUG_WORKLOAD_SRC_PROGRESS_RECORD_H_

#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "shallotlug/workload/record.h"

/// Records of progress: one for each occurrence, or one for each thousand of
/// its tasks where one record cannot hold them all.
namespace shallotlug::workload::detail {

/// @brief Key of the whole progress, or of its first part.
std::string ProgressKey(const JobId& job, int occurrence);

/// @brief Key of a part; the first has that of the whole.
std::string PartKey(const JobId& job, int occurrence, int part);

bool IsProgressKey(std::string_view key);

/// @brief Decodes the value of a progress key. Throws if it is malformed.
Record DecodeProgressValue(std::string_view key,
                           const boost::json::object& from);

}  // namespace shallotlug::workload::detail

#endif  // SHALLOTLUG_WORKLOAD_SRC_PROGRESS_RECORD_H_
