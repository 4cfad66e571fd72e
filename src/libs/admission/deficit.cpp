#include "admission/deficit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Admission {

namespace {

// Slot time in seconds that a queue of weight 1 receives per round. Smaller than typical work, so
// that a queue does not occupy the upstream with several items in a row.
constexpr double kQuantum = 0.001;

size_t
FindFirstFrom(const std::vector<DeficitEntry>& aEntries, const std::string& aCursor)
{
  const auto found =
    std::find_if(aEntries.begin(), aEntries.end(), [&aCursor](const DeficitEntry& aEntry) {
      return *aEntry.mName >= aCursor;
    });
  return found == aEntries.end() ? 0 : static_cast<size_t>(found - aEntries.begin());
}

void
AddRounds(const std::vector<DeficitEntry>& aEntries)
{
  double rounds = std::numeric_limits<double>::max();
  for (const DeficitEntry& entry : aEntries) {
    rounds = std::min(rounds, std::floor(-*entry.mDeficit / (kQuantum * entry.mWeight)) + 1);
  }
  for (const DeficitEntry& entry : aEntries) {
    *entry.mDeficit += rounds * kQuantum * entry.mWeight;
  }
}

} // namespace

size_t
PickByDeficit(const std::vector<DeficitEntry>& aEntries, std::string& aCursor)
{
  const auto hasCredit = [](const DeficitEntry& aEntry) { return *aEntry.mDeficit > 0; };
  if (std::none_of(aEntries.begin(), aEntries.end(), hasCredit)) {
    AddRounds(aEntries);
  }
  size_t index = FindFirstFrom(aEntries, aCursor);
  for (size_t tried = 0; tried < aEntries.size() && !hasCredit(aEntries[index]); ++tried) {
    index = (index + 1) % aEntries.size();
  }
  aCursor = *aEntries[index].mName;
  return index;
}

} // namespace Admission
