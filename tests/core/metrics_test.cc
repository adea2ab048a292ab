#include "core/metrics.h"

#include <doctest/doctest.h>

namespace quetzalshelf {
namespace {

// Guards against malformed exposition text when a name carries labels.
TEST_CASE("MetricsRegistry exposes types once and keeps labels") {
  MetricsRegistry registry;
  registry.GetCounter("requests_total{outcome=\"answered\"}").Add(2);
  registry.GetCounter("requests_total{outcome=\"unknown\"}").Add();
  registry.GetGauge("queue").Set(7);
  Distribution& wait = registry.GetDistribution("wait_ms{kind=\"hold\"}");
  for (int n = 1; n <= 1'000; ++n)
    wait.Record(n);
  CHECK(wait.Quantile(0.5) == doctest::Approx(500).epsilon(0.05));
  const std::string text = registry.Expose();
  CHECK(text.find("# TYPE requests_total counter\n"
                  "requests_total{outcome=\"answered\"} 2\n"
                  "requests_total{outcome=\"unknown\"} 1\n"
                  "# TYPE queue gauge\nqueue 7\n") != std::string::npos);
  CHECK(text.find("wait_ms_count{kind=\"hold\"} 1000") != std::string::npos);
  CHECK(text.find("wait_ms{kind=\"hold\",quantile=\"0.99\"}") !=
        std::string::npos);
}

}  // namespace
}  // namespace quetzalshelf
