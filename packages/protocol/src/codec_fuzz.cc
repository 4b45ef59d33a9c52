#include "shallotlug/protocol/codec.h"

#include <cstdint>
#include <cstdlib>

// What decodes must be encoded and decoded again to the same message. Messages
// are compared by their encoding, which depends only on their values.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto message =
      shallotlug::Decode({reinterpret_cast<const char*>(data), size});
  if (!message) {
    if (message.error().category() != shallotlug::CodecCategory()) {
      std::abort();
    }
    return 0;
  }
  const std::string bytes = shallotlug::Encode(message.value());
  const auto again = shallotlug::Decode(bytes);
  if (!again || again.value().index() != message.value().index() ||
      shallotlug::Encode(again.value()) != bytes) {
    std::abort();
  }
  return 0;
}
