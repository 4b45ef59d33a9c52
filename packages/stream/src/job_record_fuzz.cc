#include "shallotlug/stream/job_record.h"

#include <cstdint>
#include <cstdlib>

// What parses must be formatted and parsed again to the same value.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace stream = shallotlug::stream;
  const auto record =
      stream::ParseJobRecord({reinterpret_cast<const char*>(data), size});
  std::visit(
      [&record](const auto& it) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(it)>,
                                      stream::ParseFault>) {
          if (stream::ParseJobRecord(stream::Format(it)) != record) {
            std::abort();
          }
        }
      },
      record);
  return 0;
}
