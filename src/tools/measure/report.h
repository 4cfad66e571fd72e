#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace Measure {

/// A measured value.
struct Figure
{
  std::string mName;
  double mValue = 0;
  std::string mUnit;
};

/// A table of a report. Each row has a name and one figure per column.
struct Section
{
  std::string mTitle;
  struct Row
  {
    std::string mName;
    std::vector<Figure> mFigures;
  };
  std::vector<Row> mRows;
};

/// The results of a subcommand.
struct Report
{
  std::string mSubcommand;
  uint64_t mSeed = 0;
  std::vector<Section> mSections;
};

/// Prints the report as tables with aligned columns.
void
PrintTable(const Report& aReport, std::ostream& aStream);

/// Prints the report as one JSON object.
void
PrintJson(const Report& aReport, std::ostream& aStream);

} // namespace Measure
