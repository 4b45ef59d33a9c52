#include "shallotlug/base/counters.h"

#include <gtest/gtest.h>

namespace shallotlug {
namespace {

// Guards against two series for one set of labels and against unescaped label
// values, both of which break a scrape.
TEST(CounterTableTest, FormatsPrometheusText) {
  CounterTable counters;
  const CounterHandle it = counters.Define("a_total", {{"reason", "x\"y"}});
  counters.Add(it, 2);
  counters.AddTo("a_total", {{"reason", "x\"y"}});
  counters.Set(counters.Define("b", {}, CounterKind::kGauge), 7);
  EXPECT_EQ(counters.ToPrometheusText(),
            "# TYPE a_total counter\n"
            "a_total{reason=\"x\\\"y\"} 3\n"
            "# TYPE b gauge\n"
            "b 7\n");
  EXPECT_EQ(counters.Sum("a_total"), 3);
}

}  // namespace
}  // namespace shallotlug
