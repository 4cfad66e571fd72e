#include "measure/report.h"

#include "absl/strings/str_format.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Measure {

namespace {

std::string
ValueText(const Figure& aFigure)
{
  const bool isWhole = aFigure.mValue == static_cast<double>(static_cast<int64_t>(aFigure.mValue));
  return isWhole ? absl::StrFormat("%d", static_cast<int64_t>(aFigure.mValue))
                 : absl::StrFormat("%.3f", aFigure.mValue);
}

std::string
ColumnTitle(const Figure& aFigure)
{
  return aFigure.mUnit.empty() ? aFigure.mName : aFigure.mName + " [" + aFigure.mUnit + "]";
}

void
PrintSection(const Section& aSection, std::ostream& aStream)
{
  aStream << "\n" << aSection.mTitle << "\n";
  size_t nameWidth = 0;
  std::vector<size_t> widths;
  for (const Section::Row& row : aSection.mRows) {
    nameWidth = std::max(nameWidth, row.mName.size());
    widths.resize(std::max(widths.size(), row.mFigures.size()), 0);
    for (size_t i = 0; i < row.mFigures.size(); ++i) {
      widths[i] = std::max(
        { widths[i], ColumnTitle(row.mFigures[i]).size(), ValueText(row.mFigures[i]).size() });
    }
  }
  if (aSection.mRows.empty()) {
    return;
  }
  aStream << std::string(nameWidth, ' ');
  for (size_t i = 0; i < aSection.mRows.front().mFigures.size(); ++i) {
    aStream << absl::StrFormat("  %*s", widths[i], ColumnTitle(aSection.mRows[0].mFigures[i]));
  }
  aStream << "\n";
  for (const Section::Row& row : aSection.mRows) {
    aStream << row.mName << std::string(nameWidth - row.mName.size(), ' ');
    for (size_t i = 0; i < row.mFigures.size(); ++i) {
      aStream << absl::StrFormat("  %*s", widths[i], ValueText(row.mFigures[i]));
    }
    aStream << "\n";
  }
}

} // namespace

void
PrintTable(const Report& aReport, std::ostream& aStream)
{
  aStream << aReport.mSubcommand << ", seed " << aReport.mSeed << "\n";
  for (const Section& section : aReport.mSections) {
    PrintSection(section, aStream);
  }
}

void
PrintJson(const Report& aReport, std::ostream& aStream)
{
  nlohmann::ordered_json root;
  root["subcommand"] = aReport.mSubcommand;
  root["seed"] = aReport.mSeed;
  for (const Section& section : aReport.mSections) {
    nlohmann::ordered_json rows;
    for (const Section::Row& row : section.mRows) {
      for (const Figure& figure : row.mFigures) {
        rows[row.mName][figure.mName] = { { "value", figure.mValue }, { "unit", figure.mUnit } };
      }
    }
    root["sections"][section.mTitle] = std::move(rows);
  }
  aStream << root.dump(2) << "\n";
}

} // namespace Measure
