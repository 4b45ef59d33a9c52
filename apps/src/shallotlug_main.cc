#include <string_view>

#include "serve.h"
#include "shallotlug/cli/cli.h"
#include "shallotlug/platform/configuration_reader.h"

int main(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "serve") {
    return shallotlug::ServeEntry(argc, argv);
  }
  if (argc > 1 && std::string_view(argv[1]) == "serve-jobs") {
    return shallotlug::ServeJobEntry(argc, argv);
  }
  return shallotlug::cli::Run(argc, argv,
                              shallotlug::platform::ReadConfiguration);
}
