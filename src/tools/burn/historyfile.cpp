#include "burn/historyfile.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/jsontext.h"

#include <nlohmann/json.hpp>

namespace BurnTool {

namespace {

absl::Status
InvalidLine(size_t aNumber)
{
  return absl::DataLossError(absl::StrCat("line ", aNumber, " of the history is invalid"));
}

// Parses one line into the history.
// \return false if it is invalid.
bool
AddLine(const nlohmann::json& aLine, Burn::History& aHistory)
{
  if (!aLine.is_object() || !aLine.contains("time") || !aLine["time"].is_number_integer() ||
      !aLine.contains("instance") || !aLine["instance"].is_string() || !aLine.contains("values") ||
      !aLine["values"].is_object()) {
    return false;
  }
  const Burn::WallTime time(aLine["time"].get<int64_t>());
  Burn::Samples& samples = aHistory[aLine["instance"].get<std::string>()][time];
  for (const auto& [text, value] : aLine["values"].items()) {
    const absl::StatusOr<Burn::Series> series = Burn::ParseSeries(text);
    if (!series.ok() || !value.is_number()) {
      return false;
    }
    samples[*series] = value.get<double>();
  }
  return true;
}

} // namespace

std::string
FormatHistory(const Burn::History& aHistory)
{
  std::string text;
  for (const auto& [instance, times] : aHistory) {
    for (const auto& [time, samples] : times) {
      nlohmann::json values = nlohmann::json::object();
      for (const auto& [series, value] : samples) {
        values[Burn::FormatSeries(series)] = value;
      }
      const nlohmann::json line = { { "time", time.count() },
                                    { "instance", instance },
                                    { "values", values } };
      absl::StrAppend(&text, Base::DumpJson(line), "\n");
    }
  }
  return text;
}

absl::StatusOr<Burn::History>
ParseHistory(const std::string& aText)
{
  Burn::History history;
  size_t number = 0;
  const std::vector<std::string> lines = absl::StrSplit(aText, '\n');
  for (const std::string& line : lines) {
    ++number;
    if (line.empty()) {
      continue;
    }
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    if (json.is_discarded() || !AddLine(json, history)) {
      return InvalidLine(number);
    }
  }
  return history;
}

} // namespace BurnTool
