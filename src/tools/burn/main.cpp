#include "base/jsontext.h"
#include "burn/burnrate.h"
#include "burn/burnsettings.h"
#include "burn/countersource.h"
#include "burn/historyfile.h"
#include "burn/htmlreport.h"
#include "burn/textreport.h"
#include "program/startup.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace {

using BurnTool::BurnSettings;

/// Spaces for each level of the JSON report.
constexpr int kReportIndent = 2;

std::vector<Burn::Series>
AllSelectors(const BurnSettings& aSettings)
{
  std::vector<Burn::Series> selectors;
  for (const Burn::Objective& objective : aSettings.mObjectives) {
    selectors.insert(selectors.end(), objective.mTotal.begin(), objective.mTotal.end());
    selectors.insert(selectors.end(), objective.mBad.begin(), objective.mBad.end());
  }
  return selectors;
}

void
AddCounters(const std::string& aInstance,
            Burn::WallTime aTime,
            const absl::StatusOr<std::string>& aText,
            const std::vector<Burn::Series>& aSelectors,
            Burn::History& aHistory)
{
  absl::Status status = aText.status();
  if (status.ok()) {
    const absl::StatusOr<Burn::Samples> samples = Burn::ParsePrometheusText(*aText);
    status = samples.status();
    if (samples.ok()) {
      aHistory[aInstance][aTime] = Burn::Select(*samples, aSelectors);
      return;
    }
  }
  // An instance without counters does not fail the report, which lists it as silent.
  LOG(WARNING) << "[burn] no counters from " << aInstance << ": " << status.message();
}

std::vector<std::string>
InstanceNames(const BurnSettings& aSettings)
{
  std::vector<std::string> names;
  for (const BurnTool::HttpSource& source : aSettings.mInstances) {
    names.push_back(source.mInstance);
  }
  for (const BurnTool::SavedSource& source : aSettings.mSaved) {
    names.push_back(source.mInstance);
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

absl::StatusOr<Burn::History>
LoadHistory(const std::string& aPath)
{
  const absl::StatusOr<std::string> text = BurnTool::ReadFile(aPath);
  return text.ok() ? BurnTool::ParseHistory(*text) : Burn::History();
}

std::chrono::seconds
LongestWindow(const BurnSettings& aSettings)
{
  std::chrono::seconds longest{ 0 };
  for (const Burn::WindowPair& pair : aSettings.mWindows) {
    longest = std::max(longest, pair.mLong);
  }
  return longest;
}

absl::Status
WriteReport(const BurnSettings& aSettings, const Burn::Report& aReport)
{
  absl::Status status;
  if (!aSettings.mJsonPath.empty()) {
    status = BurnTool::ReplaceFile(aSettings.mJsonPath,
                                   Base::DumpJson(Burn::ToJson(aReport), kReportIndent) + "\n");
  }
  if (status.ok() && !aSettings.mHtmlPath.empty()) {
    status = BurnTool::ReplaceFile(aSettings.mHtmlPath, Burn::ToHtml(aReport));
  }
  std::cout << Burn::ToText(aReport);
  return status;
}

absl::Status
Run(const BurnSettings& aSettings)
{
  const Burn::WallTime now = aSettings.mTime.value_or(std::chrono::duration_cast<Burn::WallTime>(
    std::chrono::system_clock::now().time_since_epoch()));
  const std::vector<Burn::Series> selectors = AllSelectors(aSettings);
  absl::StatusOr<Burn::History> history = LoadHistory(aSettings.mHistoryPath);
  if (!history.ok()) {
    return history.status();
  }
  for (const BurnTool::SavedSource& source : aSettings.mSaved) {
    const auto text = BurnTool::ReadFile(source.mPath);
    AddCounters(source.mInstance, source.mTime, text, selectors, *history);
  }
  for (const BurnTool::HttpSource& source : aSettings.mInstances) {
    const auto text = BurnTool::FetchCounters(source.mEndpoint);
    AddCounters(source.mInstance, now, text, selectors, *history);
  }
  Burn::Trim(*history, LongestWindow(aSettings), now);
  absl::Status status;
  if (!aSettings.mHistoryPath.empty()) {
    status = BurnTool::ReplaceFile(aSettings.mHistoryPath, BurnTool::FormatHistory(*history));
  }
  const Burn::Report report = Burn::MakeReport(
    *history, aSettings.mObjectives, aSettings.mWindows, InstanceNames(aSettings), now);
  const absl::Status written = WriteReport(aSettings, report);
  return status.ok() ? written : status;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(
    aArgc, aArgv, "lw-burn: error budget burn rates from the counters of instances");
  BurnSettings settings;
  const Program::Startup startup = Program::ReadSettings(
    [&](Settings::Reader& aReader) { return BurnTool::ReadBurnSettings(aReader, settings); });
  if (startup.mAction == Program::StartAction::Exit) {
    return startup.mExitCode;
  }
  const absl::Status status = Run(settings);
  if (!status.ok()) {
    std::cerr << status.message() << std::endl;
    return Program::kExitFailure;
  }
  return Program::kExitOk;
}
