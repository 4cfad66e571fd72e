#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Admission {

/// A backlogged queue in a deficit round robin.
struct DeficitEntry
{
  const std::string* mName = nullptr;
  /// Remaining slot time of the queue in this round, in seconds; owned by the queue.
  double* mDeficit = nullptr;
  double mWeight = 1;
};

/// Selects the next queue by deficit round robin over service time. Rounds in which no queue can be
/// served are skipped in one step, so the cost does not depend on how negative the deficits are.
/// \param aEntries must not be empty and is sorted by name.
/// \param aCursor is the name of the queue served last; updated to the selected one.
/// \return index of the selected entry.
size_t
PickByDeficit(const std::vector<DeficitEntry>& aEntries, std::string& aCursor);

} // namespace Admission
