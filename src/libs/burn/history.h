#pragma once

#include "burn/prometheustext.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Burn {

/// Wall time since the Unix epoch; samples of several runs are compared.
using WallTime = std::chrono::seconds;

/// Samples by instance and time. Owned by the program that reads them; Trim bounds it. If it is
/// lost, windows fill again from new samples.
using History = std::map<std::string, std::map<WallTime, Samples>>;

/// Increase of counters over a window, summed over instances.
struct Increase
{
  double mValue = 0;
  /// Smallest part of the window, over all instances, that samples cover; from 0 to 1.
  double mCoverage = 0;
};

/// Sums the increase of all series that match one of the selectors. A value below the one before is
/// a restart of the instance, and counting starts again from 0.
/// \param aEnd is the end of the window; later samples are ignored.
Increase
IncreaseOver(const History& aHistory,
             const std::vector<Series>& aSelectors,
             std::chrono::seconds aWindow,
             WallTime aEnd);

/// \return the series that match one of the selectors.
Samples
Select(const Samples& aSamples, const std::vector<Series>& aSelectors);

/// Removes samples that no window up to aLongest needs any more.
void
Trim(History& aHistory, std::chrono::seconds aLongest, WallTime aNow);

} // namespace Burn
