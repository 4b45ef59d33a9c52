// Counts events and prints them in the Prometheus text format.
#include <iostream>

#include "shallotlug/base/counters.h"

int main() {
  shallotlug::CounterTable counters;
  const auto refused =
      counters.Define("requests_total", {{"result", "refused"}});
  counters.Add(refused, 2);
  std::cout << counters.ToPrometheusText();
}
