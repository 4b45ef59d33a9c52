#include "shallotlug/settings/settings.h"

#include <cstdint>
#include <cstdlib>

namespace {

// Rejected input must yield at least one finding that names the file.
template <class Parsed>
void Check(const Parsed& parsed) {
  const auto* findings = std::get_if<shallotlug::Findings>(&parsed);
  if (findings != nullptr &&
      (findings->empty() || findings->front().file != "f.json")) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  Check(shallotlug::settings::ParseEntrySettings(text, "f.json"));
  Check(shallotlug::settings::ParseAgentSettings(text, "f.json"));
  return 0;
}
