#include "burn/burnsettings.h"

#include <set>

namespace BurnTool {

namespace {

constexpr int64_t kMaxWindowSeconds = 31LL * 24 * 3600;
constexpr Settings::Range kTimeRange{ 0, INT64_MAX / 2 };

std::vector<Burn::Series>
ReadSelectors(Settings::Reader& aReader, const std::string& aKey)
{
  std::vector<Burn::Series> selectors;
  for (const std::string& text : aReader.Strings(aKey)) {
    const absl::StatusOr<Burn::Series> series = Burn::ParseSeries(text);
    if (!series.ok()) {
      aReader.Fail(aKey, std::string(series.status().message()));
      continue;
    }
    selectors.push_back(*series);
  }
  return selectors;
}

void
ReadInstances(Settings::Reader& aReader, BurnSettings& aSettings)
{
  std::set<std::string> names;
  for (Settings::Reader& reader : aReader.Objects("instances")) {
    HttpSource source{ reader.String("name"), reader.Endpoint("endpoint") };
    if (!names.insert(source.mInstance).second) {
      reader.Fail("name", "is not unique");
    }
    aSettings.mInstances.push_back(source);
    reader.Finish().IgnoreError();
  }
}

void
ReadSavedSources(Settings::Reader& aReader, BurnSettings& aSettings)
{
  for (Settings::Reader& reader : aReader.Objects("saved")) {
    const std::string instance = reader.String("instance");
    const Burn::WallTime time(reader.Integer("time_seconds", kTimeRange));
    aSettings.mSaved.push_back({ instance, time, reader.String("path") });
    reader.Finish().IgnoreError();
  }
}

void
ReadObjectives(Settings::Reader& aReader, BurnSettings& aSettings)
{
  constexpr double kMinTarget = 0.5;
  constexpr double kMaxTarget = 0.999999;
  constexpr double kDefaultTarget = 0.999;
  for (Settings::Reader& reader : aReader.Objects("objectives")) {
    Burn::Objective objective;
    objective.mService = reader.String("service");
    objective.mName = reader.String("name");
    objective.mTarget = reader.NumberOr("target", kMinTarget, kMaxTarget, kDefaultTarget);
    objective.mTotal = ReadSelectors(reader, "total");
    objective.mBad = ReadSelectors(reader, "bad");
    aSettings.mObjectives.push_back(objective);
    reader.Finish().IgnoreError();
  }
}

void
ReadWindows(Settings::Reader& aReader, BurnSettings& aSettings)
{
  constexpr double kMaxThreshold = 1e6;
  for (Settings::Reader& reader : aReader.Objects("windows")) {
    Burn::WindowPair pair;
    pair.mShort = std::chrono::seconds(reader.Integer("short_seconds", { 1, kMaxWindowSeconds }));
    pair.mLong = std::chrono::seconds(reader.Integer("long_seconds", { 1, kMaxWindowSeconds }));
    pair.mThreshold = reader.NumberOr("threshold", 0, kMaxThreshold, 1);
    if (pair.mShort >= pair.mLong) {
      reader.Fail("short_seconds", "must be below long_seconds");
    }
    aSettings.mWindows.push_back(pair);
    reader.Finish().IgnoreError();
  }
}

} // namespace

absl::Status
ReadBurnSettings(Settings::Reader& aReader, BurnSettings& aSettings)
{
  aSettings.mWindows.clear();
  if (aReader.Has("instances")) {
    ReadInstances(aReader, aSettings);
  }
  if (aReader.Has("saved")) {
    ReadSavedSources(aReader, aSettings);
  }
  ReadObjectives(aReader, aSettings);
  if (aReader.Has("windows")) {
    ReadWindows(aReader, aSettings);
  }
  if (aSettings.mWindows.empty()) {
    aSettings.mWindows = Burn::DefaultWindows();
  }
  if (aReader.Has("time_seconds")) {
    aSettings.mTime = Burn::WallTime(aReader.Integer("time_seconds", kTimeRange));
  }
  aSettings.mHistoryPath = aReader.StringOr("history_path", "");
  aSettings.mJsonPath = aReader.StringOr("json_path", "");
  aSettings.mHtmlPath = aReader.StringOr("html_path", "");
  return aReader.Finish();
}

} // namespace BurnTool
