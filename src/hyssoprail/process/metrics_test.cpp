#include "hyssoprail/process/metrics.hpp"

#include <thread>

#include <catch2/catch.hpp>

namespace hyssoprail {

// Guards against output that a Prometheus scraper rejects.
TEST_CASE("metrics are exported in the Prometheus text format") {
  Metrics M;
  M.counter("debits", {{"result", "granted"}}).add(2);
  M.counter("debits", {{"result", "a\"b\\c\n"}}).add();
  M.gauge("lease_left_ms").set(1.5);
  M.distribution("wait_ms").record(4);
  CHECK(M.prometheusText() == "# TYPE debits counter\n"
                              "debits{result=\"a\\\"b\\\\c\\n\"} 1\n"
                              "debits{result=\"granted\"} 2\n"
                              "# TYPE lease_left_ms gauge\n"
                              "lease_left_ms 1.5\n"
                              "# TYPE wait_ms summary\n"
                              "wait_ms{quantile=\"0.5\"} 4\n"
                              "wait_ms{quantile=\"0.95\"} 4\n"
                              "wait_ms{quantile=\"0.99\"} 4\n"
                              "wait_ms_sum 4\n"
                              "wait_ms_count 1\n"
                              "# TYPE wait_ms_max gauge\n"
                              "wait_ms_max 4\n");
}

// Guards against wrong quantiles as long as the estimator has too few values,
// and against inaccurate estimates afterwards.
TEST_CASE("quantiles are exact for few values and close for many") {
  Distribution D;
  for (const double Value : {5.0, 1.0, 3.0})
    D.record(Value);
  CHECK(D.summary().Quantiles[0] == 3.0);
  for (int I = 0; I < 10'000; ++I)
    D.record((I * 7919) % 10'000);
  CHECK(D.summary().Quantiles[0] == Approx(5'000).epsilon(0.03));
  CHECK(D.summary().Quantiles[2] == Approx(9'900).epsilon(0.01));
  CHECK(D.summary().Max == 9'999);
}

// Guards against lost updates, and against references that become invalid when
// metrics are added.
TEST_CASE("no update is lost with several threads") {
  Metrics M;
  Counter &KeptReference = M.counter("kept");
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int T = 0; T < 4; ++T)
    Threads.emplace_back([&M, &KeptReference, T] {
      for (int I = 0; I < 1'000; ++I) {
        KeptReference.add();
        M.counter("shared").add();
        M.gauge("other", {{"n", std::to_string(T * 1'000 + I)}}).set(1);
      }
    });
  for (std::thread &T : Threads)
    T.join();
  CHECK(KeptReference.value() == 4'000);
  CHECK(M.counter("shared").value() == 4'000);
}

} // namespace hyssoprail
