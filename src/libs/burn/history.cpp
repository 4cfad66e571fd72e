#include "burn/history.h"

#include <algorithm>

namespace Burn {

namespace {

using TimedSamples = std::map<WallTime, Samples>;

// Returns the last sample at or before the time, or the first one after it.
TimedSamples::const_iterator
FirstSampleOfWindow(const TimedSamples& aSamples, WallTime aTime)
{
  const auto after = aSamples.upper_bound(aTime);
  return after == aSamples.begin() ? after : std::prev(after);
}

bool
MatchesAny(const std::vector<Series>& aSelectors, const Series& aSeries)
{
  return std::any_of(aSelectors.begin(), aSelectors.end(), [&](const Series& aSelector) {
    return Matches(aSelector, aSeries);
  });
}

double
IncreaseBetween(const Samples& aOlder, const Samples& aNewer, const std::vector<Series>& aSelectors)
{
  double sum = 0;
  for (const auto& [series, value] : aNewer) {
    if (!MatchesAny(aSelectors, series)) {
      continue;
    }
    // A counter that is missing in the older sample was 0 then.
    const auto older = aOlder.find(series);
    const double before = older == aOlder.end() ? 0 : older->second;
    sum += value >= before ? value - before : value;
  }
  return sum;
}

} // namespace

Increase
IncreaseOver(const History& aHistory,
             const std::vector<Series>& aSelectors,
             std::chrono::seconds aWindow,
             WallTime aEnd)
{
  Increase increase;
  increase.mCoverage = aHistory.empty() ? 0 : 1;
  for (const auto& [instance, samples] : aHistory) {
    const auto end = samples.upper_bound(aEnd);
    auto sample = FirstSampleOfWindow(samples, aEnd - aWindow);
    if (end == samples.begin() || sample == end) {
      increase.mCoverage = 0;
      continue;
    }
    const WallTime from = std::max(sample->first, aEnd - aWindow);
    const WallTime until = std::prev(end)->first;
    const std::chrono::duration<double> covered = std::max(until - from, std::chrono::seconds(0));
    increase.mCoverage = std::min(increase.mCoverage, covered / aWindow);
    for (auto next = std::next(sample); next != end; sample = next, ++next) {
      increase.mValue += IncreaseBetween(sample->second, next->second, aSelectors);
    }
  }
  return increase;
}

Samples
Select(const Samples& aSamples, const std::vector<Series>& aSelectors)
{
  Samples selected;
  for (const auto& [series, value] : aSamples) {
    if (MatchesAny(aSelectors, series)) {
      selected[series] = value;
    }
  }
  return selected;
}

void
Trim(History& aHistory, std::chrono::seconds aLongest, WallTime aNow)
{
  for (auto instance = aHistory.begin(); instance != aHistory.end();) {
    TimedSamples& samples = instance->second;
    if (samples.empty() || samples.rbegin()->first < aNow - aLongest) {
      instance = aHistory.erase(instance);
      continue;
    }
    samples.erase(samples.begin(), FirstSampleOfWindow(samples, aNow - aLongest));
    ++instance;
  }
}

} // namespace Burn
