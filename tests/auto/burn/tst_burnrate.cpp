#include "burn/burnrate.h"
#include "burn/htmlreport.h"
#include "burn/textreport.h"

#include "absl/strings/match.h"

#include <nlohmann/json.hpp>

// Must come last: CppUTest redefines new as a macro, which breaks headers after it.
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace {

const Burn::WallTime kNow(1000000);
const Burn::Series kTotal{ "requests_total", {} };
const Burn::Series kBad{ "errors_total", {} };

Burn::Objective
Availability()
{
  return { "counter", "availability", 0.99, { kTotal }, { kBad } };
}

/// Adds a sample each minute from aFrom to aUntil, with constant rates of requests and errors.
void
AddTraffic(Burn::History& aHistory,
           const std::string& aInstance,
           Burn::WallTime aFrom,
           Burn::WallTime aUntil,
           double aErrors)
{
  auto& samples = aHistory[aInstance];
  Burn::Samples last =
    samples.empty() ? Burn::Samples{ { kTotal, 0 }, { kBad, 0 } } : samples.rbegin()->second;
  for (Burn::WallTime time = aFrom; time <= aUntil; time += 60s) {
    last[kTotal] += 100;
    last[kBad] += aErrors;
    samples[time] = last;
  }
}

Burn::Report
ReportAt(const Burn::History& aHistory, Burn::WallTime aNow)
{
  return Burn::MakeReport(aHistory, { Availability() }, Burn::DefaultWindows(), { "a", "b" }, aNow);
}

} // namespace

TEST_GROUP(BurnRate){};

// Guards against a wrong ratio, and against instances that are counted once or not at all.
TEST(BurnRate, SumsAllInstances)
{
  Burn::History history;
  AddTraffic(history, "a", kNow - 1h, kNow, 2);
  AddTraffic(history, "b", kNow - 1h, kNow, 0);
  const Burn::WindowBurn burn = Burn::ComputeWindowBurn(history, Availability(), 5min, kNow);
  DOUBLES_EQUAL(1000, burn.mTotal, 1e-9);
  DOUBLES_EQUAL(10, burn.mBad, 1e-9);
  DOUBLES_EQUAL(1, burn.mRate, 1e-9);
  DOUBLES_EQUAL(1, burn.mCoverage, 1e-9);
}

// Guards against a counter reset that is counted as a negative or huge increase.
TEST(BurnRate, CountsAcrossARestart)
{
  Burn::History history;
  history["a"][kNow - 180s] = { { kTotal, 1000 }, { kBad, 500 } };
  history["a"][kNow - 120s] = { { kTotal, 1100 }, { kBad, 501 } };
  history["a"][kNow - 60s] = { { kTotal, 40 }, { kBad, 2 } };
  history["a"][kNow] = { { kTotal, 140 }, { kBad, 3 } };
  const Burn::WindowBurn burn = Burn::ComputeWindowBurn(history, Availability(), 180s, kNow);
  DOUBLES_EQUAL(240, burn.mTotal, 1e-9);
  DOUBLES_EQUAL(4, burn.mBad, 1e-9);
}

// Guards against losing the first errors of a series, which is exported only after its first count.
TEST(BurnRate, CountsASeriesThatAppearsLater)
{
  Burn::History history;
  history["a"][kNow - 60s] = { { kTotal, 100 } };
  history["a"][kNow] = { { kTotal, 200 }, { kBad, 30 } };
  DOUBLES_EQUAL(30, Burn::ComputeWindowBurn(history, Availability(), 60s, kNow).mBad, 1e-9);
}

// Guards against an alert after a burn has ended, and against a missing alert during a burn.
TEST(BurnRate, AlertsOnlyWhileBothWindowsBurn)
{
  Burn::History history;
  AddTraffic(history, "a", kNow - 7h, kNow - 30min, 0);
  AddTraffic(history, "a", kNow - 29min, kNow, 50);
  const Burn::Report during = ReportAt(history, kNow);
  CHECK_TRUE(during.mObjectives[0].mPairs[0].mAlerts);
  CHECK_TRUE(Burn::HasAlert(during));
  AddTraffic(history, "a", kNow + 1min, kNow + 10min, 0);
  const Burn::Report after = ReportAt(history, kNow + 10min);
  CHECK_FALSE(after.mObjectives[0].mPairs[0].mAlerts);
  DOUBLES_EQUAL(0, after.mObjectives[0].mPairs[0].mShort.mRate, 1e-9);
}

// Guards against an alert on a short burst that stays below the threshold of the long window.
TEST(BurnRate, DoesNotAlertOnAShortBurst)
{
  Burn::History history;
  AddTraffic(history, "a", kNow - 7h, kNow - 3min, 0);
  AddTraffic(history, "a", kNow - 2min, kNow, 30);
  const Burn::Report report = ReportAt(history, kNow);
  CHECK_TRUE(report.mObjectives[0].mPairs[0].mShort.mRate > 14.4);
  CHECK_FALSE(Burn::HasAlert(report));
}

// Guards against division by zero without traffic, and against instances without samples that count
// as healthy.
TEST(BurnRate, ReportsSilentInstances)
{
  Burn::History history;
  AddTraffic(history, "a", kNow - 2h, kNow - 1h, 50);
  const Burn::Report report = ReportAt(history, kNow);
  DOUBLES_EQUAL(0, report.mObjectives[0].mPairs[0].mShort.mRate, 0);
  DOUBLES_EQUAL(0, report.mObjectives[0].mPairs[0].mShort.mCoverage, 0);
  LONGS_EQUAL(2, report.mSilentInstances.size());
  CHECK_TRUE(absl::StrContains(Burn::ToText(report), "no recent counters: a, b"));
}

// Guards against a history that grows without bound, and against trimming samples that a window
// needs.
TEST(BurnRate, TrimsSamplesOutsideAllWindows)
{
  Burn::History history;
  AddTraffic(history, "a", kNow - 20h, kNow, 1);
  AddTraffic(history, "gone", kNow - 20h, kNow - 10h, 1);
  const Burn::WindowBurn before = Burn::ComputeWindowBurn(history, Availability(), 6h, kNow);
  Burn::Trim(history, 6h, kNow);
  LONGS_EQUAL(1, history.size());
  LONGS_EQUAL(361, history["a"].size());
  DOUBLES_EQUAL(
    before.mTotal, Burn::ComputeWindowBurn(history, Availability(), 6h, kNow).mTotal, 1e-9);
}

// Guards against a page that loads external files, and against unescaped names.
TEST(BurnRate, RendersASelfContainedPage)
{
  Burn::History history;
  AddTraffic(history, "a", kNow - 7h, kNow, 50);
  Burn::Objective objective = Availability();
  objective.mService = "<script>";
  const Burn::Report report =
    Burn::MakeReport(history, { objective }, Burn::DefaultWindows(), { "a" }, kNow);
  const std::string html = Burn::ToHtml(report);
  CHECK_TRUE(absl::StrContains(html, "&lt;script&gt;"));
  CHECK_TRUE(absl::StrContains(html, "<svg") && absl::StrContains(html, "class=\"alert\""));
  for (const char* text : { "<script", "http:", "https:", "src=", "href=" }) {
    CHECK_FALSE_TEXT(absl::StrContains(html, text), text);
  }
  CHECK_TRUE(Burn::ToJson(report)["objectives"][0]["pairs"][0]["alerts"].get<bool>());
}
