#include "burn/prometheustext.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Burn {

namespace {

absl::Status
InvalidSeries(absl::string_view aText)
{
  return absl::InvalidArgumentError(absl::StrCat("\"", aText, "\" is not a valid series"));
}

bool
IsNameCharacter(char aCharacter)
{
  return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) || aCharacter == '_' ||
         aCharacter == ':';
}

// Consumes a name at the start of the text.
std::string
ConsumeName(absl::string_view& aText)
{
  const auto* const end = std::find_if_not(aText.begin(), aText.end(), IsNameCharacter);
  const std::string name(aText.begin(), end);
  aText.remove_prefix(name.size());
  return name;
}

bool
ConsumeCharacter(absl::string_view& aText, char aCharacter)
{
  aText = absl::StripLeadingAsciiWhitespace(aText);
  if (aText.empty() || aText.front() != aCharacter) {
    return false;
  }
  aText.remove_prefix(1);
  return true;
}

// Consumes a quoted value with the escapes \\, \" and \n.
bool
ConsumeQuoted(absl::string_view& aText, std::string& aValue)
{
  if (!ConsumeCharacter(aText, '"')) {
    return false;
  }
  while (!aText.empty()) {
    char next = aText.front();
    aText.remove_prefix(1);
    if (next == '"') {
      return true;
    }
    if (next == '\\') {
      if (aText.empty()) {
        return false;
      }
      next = aText.front() == 'n' ? '\n' : aText.front();
      aText.remove_prefix(1);
    }
    aValue.push_back(next);
  }
  return false;
}

bool
ConsumeLabels(absl::string_view& aText, Series& aSeries)
{
  if (!ConsumeCharacter(aText, '{')) {
    return true;
  }
  while (!ConsumeCharacter(aText, '}')) {
    aText = absl::StripLeadingAsciiWhitespace(aText);
    const std::string label = ConsumeName(aText);
    std::string value;
    if (label.empty() || !ConsumeCharacter(aText, '=') || !ConsumeQuoted(aText, value)) {
      return false;
    }
    aSeries.mLabels[label] = value;
    if (!ConsumeCharacter(aText, ',') && (aText.empty() || aText.front() != '}')) {
      return false;
    }
  }
  return true;
}

bool
ConsumeSeries(absl::string_view& aText, Series& aSeries)
{
  aText = absl::StripLeadingAsciiWhitespace(aText);
  aSeries.mName = ConsumeName(aText);
  return !aSeries.mName.empty() && ConsumeLabels(aText, aSeries);
}

} // namespace

bool
operator<(const Series& aLeft, const Series& aRight)
{
  return std::tie(aLeft.mName, aLeft.mLabels) < std::tie(aRight.mName, aRight.mLabels);
}

bool
Matches(const Series& aSelector, const Series& aSeries)
{
  return aSelector.mName == aSeries.mName &&
         std::all_of(aSelector.mLabels.begin(), aSelector.mLabels.end(), [&](const auto& aLabel) {
           const auto found = aSeries.mLabels.find(aLabel.first);
           return found != aSeries.mLabels.end() && found->second == aLabel.second;
         });
}

absl::StatusOr<Series>
ParseSeries(const std::string& aText)
{
  absl::string_view rest = aText;
  Series series;
  if (!ConsumeSeries(rest, series) || !absl::StripAsciiWhitespace(rest).empty()) {
    return InvalidSeries(aText);
  }
  return series;
}

std::string
FormatSeries(const Series& aSeries)
{
  std::string labels;
  for (const auto& [label, value] : aSeries.mLabels) {
    const std::string escaped =
      absl::StrReplaceAll(value, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } });
    absl::StrAppend(&labels, labels.empty() ? "" : ",", label, "=\"", escaped, "\"");
  }
  return labels.empty() ? aSeries.mName : absl::StrCat(aSeries.mName, "{", labels, "}");
}

absl::StatusOr<Samples>
ParsePrometheusText(const std::string& aText)
{
  Samples samples;
  size_t number = 0;
  for (absl::string_view line : absl::StrSplit(aText, '\n')) {
    ++number;
    line = absl::StripAsciiWhitespace(line);
    if (line.empty() || line.front() == '#') {
      continue;
    }
    Series series;
    double value = 0;
    if (!ConsumeSeries(line, series)) {
      return absl::InvalidArgumentError(absl::StrCat("line ", number, " has no valid series"));
    }
    const std::vector<std::string> fields =
      absl::StrSplit(line, absl::ByAnyChar(" \t"), absl::SkipEmpty());
    const bool isNumber = !fields.empty() && absl::SimpleAtod(fields[0], &value);
    if (!isNumber || !std::isfinite(value)) {
      return absl::InvalidArgumentError(absl::StrCat("line ", number, " has no finite value"));
    }
    samples[series] = value;
  }
  return samples;
}

} // namespace Burn
