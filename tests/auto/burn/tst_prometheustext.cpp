#include "burn/prometheustext.h"
#include "metrics/registry.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(PrometheusText){};

// Guards against output of Metrics::Registry that the parser cannot read.
TEST(PrometheusText, ParsesTheOutputOfTheRegistry)
{
  Metrics::Registry registry;
  registry.CounterFor("refusals_total{reason=\"queue full\",service=\"counter\"}").Add(7);
  registry.GaugeFor("flows").Set(-3);
  const auto samples = Burn::ParsePrometheusText(registry.PrometheusText());
  CHECK_TRUE(samples.ok());
  LONGS_EQUAL(2, samples->size());
  DOUBLES_EQUAL(7,
                samples->at(*Burn::ParseSeries("refusals_total{service=\"counter\","
                                               "reason=\"queue full\"}")),
                0);
  DOUBLES_EQUAL(-3, samples->at(*Burn::ParseSeries("flows")), 0);
}

// Guards against label values that change when they are written and parsed again.
TEST(PrometheusText, RoundTripsEscapedLabels)
{
  const Burn::Series series{ "a_total", { { "path", "x\\y\"z\n" }, { "service", "tag" } } };
  const auto read = Burn::ParseSeries(Burn::FormatSeries(series));
  CHECK_TRUE(read.ok());
  CHECK_TRUE(read->mLabels == series.mLabels);
}

// Guards against invalid lines that are ignored, which would count as zero errors.
TEST(PrometheusText, RejectsInvalidLines)
{
  for (const char* text : { "a_total",
                            "a_total x",
                            "a_total NaN",
                            "a_total{b=\"c\" 1",
                            "a_total{b=c} 1",
                            "a_total{b=\"c\\",
                            "{b=\"c\"} 1" }) {
    CHECK_FALSE_TEXT(Burn::ParsePrometheusText(text).ok(), text);
  }
  CHECK_TRUE(Burn::ParsePrometheusText("# HELP a\n\na_total 1 1700000000\n").ok());
}

// Guards against counters of one service that are counted for another.
TEST(PrometheusText, SelectsByLabels)
{
  const Burn::Series selector{ "a_total", { { "service", "tag" } } };
  CHECK_TRUE(Burn::Matches(selector, { "a_total", { { "service", "tag" }, { "kind", "x" } } }));
  CHECK_FALSE(Burn::Matches(selector, { "a_total", { { "service", "counter" } } }));
  CHECK_FALSE(Burn::Matches(selector, { "a_total", {} }));
  CHECK_FALSE(Burn::Matches(selector, { "b_total", { { "service", "tag" } } }));
}
