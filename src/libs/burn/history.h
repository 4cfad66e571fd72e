#pragma once

#include "burn/prometheustext.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Burn {

/// Time since the Unix epoch, comparable between runs of the program.
using WallTime = std::chrono::seconds;

/// Samples by instance and time. Trim bounds its size. If the history is lost, the windows fill
/// again from new samples.
using History = std::map<std::string, std::map<WallTime, Samples>>;

/// Increase of counters over a window, summed over instances.
struct Increase
{
  double mValue = 0;
  /// Fraction of the window that samples cover, from 0 to 1; the minimum over all instances.
  double mCoverage = 0;
};

/// Sums the increase of all series that match one of the selectors. A value below the
/// previous one is a counter reset by a restart of the instance, and counts from 0.
/// \param aEnd is the end of the window; later samples are ignored.
Increase
IncreaseOver(const History& aHistory,
             const std::vector<Series>& aSelectors,
             std::chrono::seconds aWindow,
             WallTime aEnd);

/// \return the series that match one of the selectors.
Samples
Select(const Samples& aSamples, const std::vector<Series>& aSelectors);

/// Removes samples that no window up to aLongest needs.
void
Trim(History& aHistory, std::chrono::seconds aLongest, WallTime aNow);

} // namespace Burn
