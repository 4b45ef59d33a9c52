#include "shallotlug/protocol/request_id.h"

#include <cstdint>
#include <cstdlib>

// An id has exactly one spelling: two spellings would pass deduplication.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto id = shallotlug::ParseRequestId(text);
  if (id && (shallotlug::ToString(*id) != text ||
             shallotlug::ParseRequestId(shallotlug::ToString(*id)) != id)) {
    std::abort();
  }
  return 0;
}
