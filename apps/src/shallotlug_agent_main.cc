#include <string_view>

#include "serve.h"

int main(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "serve-jobs") {
    return shallotlug::ServeJobAgent(argc, argv);
  }
  return shallotlug::ServeAgent(argc, argv);
}
