#include "serve.h"

int main(int argc, char** argv) {
  return shallotlug::ServeAgent(argc, argv);
}
