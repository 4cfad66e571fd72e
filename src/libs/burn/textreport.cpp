#include "burn/textreport.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

#include <nlohmann/json.hpp>

namespace Burn {

namespace {

nlohmann::json
WindowJson(const WindowBurn& aBurn)
{
  return { { "window_seconds", aBurn.mWindow.count() },
           { "total", aBurn.mTotal },
           { "bad", aBurn.mBad },
           { "rate", aBurn.mRate },
           { "coverage", aBurn.mCoverage } };
}

std::string
WindowText(const WindowBurn& aBurn)
{
  constexpr double kPercent = 100;
  return absl::StrFormat("%s %.2f (%.0f of %.0f bad, %.0f%% covered)",
                         WindowName(aBurn.mWindow),
                         aBurn.mRate,
                         aBurn.mBad,
                         aBurn.mTotal,
                         aBurn.mCoverage * kPercent);
}

} // namespace

std::string
WindowName(std::chrono::seconds aWindow)
{
  constexpr int64_t kMinute = 60;
  constexpr int64_t kHour = 3600;
  const int64_t seconds = aWindow.count();
  if (seconds % kHour == 0) {
    return absl::StrCat(seconds / kHour, " h");
  }
  return seconds % kMinute == 0 ? absl::StrCat(seconds / kMinute, " min")
                                : absl::StrCat(seconds, " s");
}

std::string
ToText(const Report& aReport)
{
  std::string text;
  for (const ObjectiveBurn& burn : aReport.mObjectives) {
    absl::StrAppendFormat(&text,
                          "%s %s, target %g\n",
                          burn.mObjective.mService,
                          burn.mObjective.mName,
                          burn.mObjective.mTarget);
    for (const PairBurn& pair : burn.mPairs) {
      absl::StrAppendFormat(&text,
                            "  %s  %s; %s; threshold %g\n",
                            pair.mAlerts ? "ALERT" : "ok   ",
                            WindowText(pair.mShort),
                            WindowText(pair.mLong),
                            pair.mThreshold);
    }
  }
  if (!aReport.mSilentInstances.empty()) {
    absl::StrAppend(
      &text, "no recent counters: ", absl::StrJoin(aReport.mSilentInstances, ", "), "\n");
  }
  return text;
}

nlohmann::json
ToJson(const Report& aReport)
{
  nlohmann::json objectives = nlohmann::json::array();
  for (const ObjectiveBurn& burn : aReport.mObjectives) {
    nlohmann::json pairs = nlohmann::json::array();
    for (const PairBurn& pair : burn.mPairs) {
      pairs.push_back({ { "short", WindowJson(pair.mShort) },
                        { "long", WindowJson(pair.mLong) },
                        { "threshold", pair.mThreshold },
                        { "alerts", pair.mAlerts } });
    }
    objectives.push_back({ { "service", burn.mObjective.mService },
                           { "name", burn.mObjective.mName },
                           { "target", burn.mObjective.mTarget },
                           { "pairs", pairs } });
  }
  return { { "time_seconds", aReport.mTime.count() },
           { "objectives", objectives },
           { "silent_instances", aReport.mSilentInstances } };
}

} // namespace Burn
