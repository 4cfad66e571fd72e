#include "metrics/registry.h"

#include <CppUTest/TestHarness.h>

#include <thread>
#include <vector>

TEST_GROUP(Registry){};

// Guards against increments that are lost when several threads count the same event.
TEST(Registry, CountsConcurrentIncrements)
{
  constexpr int kThreads = 8;
  constexpr int kCounts = 20000;
  Metrics::Registry registry;
  Metrics::Counter& counter = registry.CounterFor("packets_total");
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&counter] {
      for (int count = 0; count < kCounts; ++count) {
        counter.Add();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  LONGS_EQUAL(kThreads * kCounts, counter.Value());
}

// Guards against output that a scraper cannot parse: one TYPE line for each family, before its
// values.
TEST(Registry, PrintsPrometheusText)
{
  Metrics::Registry registry;
  registry.CounterFor("drops_total{reason=\"b\"}").Add(2);
  registry.CounterFor("drops_total{reason=\"a\"}").Add();
  registry.GaugeFor("flows").Set(-3);
  STRCMP_EQUAL("# TYPE drops_total counter\n"
               "drops_total{reason=\"a\"} 1\n"
               "drops_total{reason=\"b\"} 2\n"
               "# TYPE flows gauge\n"
               "flows -3\n",
               registry.PrometheusText().c_str());
}
