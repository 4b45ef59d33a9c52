// Turns an HTTP request into a typed call.
#include <iostream>

#include "shallotlug/api/http.h"

int main() {
  using namespace shallotlug::api;
  const auto parsed =
      ParseCall({Surface::kCallers, "POST", "/v1/requests:mint",
                 R"({"customer": "salon-nord", "class": "match"})"});
  const auto& mint = std::get<MintCall>(std::get<Call>(parsed));
  std::cout << mint.customer << " mints an id of class " << mint.request_class
            << "\n";
}
