#pragma once

#include "absl/status/statusor.h"

#include <map>
#include <string>
#include <vector>

namespace Burn {

/// Name and labels of a time series. As a selector, it matches each series that has the name and at
/// least these labels.
struct Series
{
  std::string mName;
  std::map<std::string, std::string> mLabels;
};

bool
operator<(const Series& aLeft, const Series& aRight);

bool
Matches(const Series& aSelector, const Series& aSeries);

/// Values of the series of one instance at one time.
using Samples = std::map<Series, double>;

/// Parses a series such as refusals_total{reason="queue full"}.
/// \return the series, or InvalidArgument that quotes the text.
absl::StatusOr<Series>
ParseSeries(const std::string& aText);

/// \return text that ParseSeries parses as the same series.
std::string
FormatSeries(const Series& aSeries);

/// Parses the Prometheus text format. Comments and timestamps are ignored.
/// \return the values, or InvalidArgument with the line number.
absl::StatusOr<Samples>
ParsePrometheusText(const std::string& aText);

} // namespace Burn
