#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Admission {

/// A backlogged queue that takes part in a deficit round robin.
struct DeficitEntry
{
  const std::string* mName = nullptr;
  /// Seconds of slot time that the queue may still use in this round; owned by the queue.
  double* mDeficit = nullptr;
  double mWeight = 1;
};

/// Selects the next queue of a deficit round robin over service time. Rounds in which no queue
/// could be served are added at once, so the cost does not depend on how far a queue is in debt.
/// \param aEntries must not be empty and is sorted by name.
/// \param aCursor is the name of the queue that was served last and is updated.
/// \return index of the selected entry.
size_t
PickByDeficit(const std::vector<DeficitEntry>& aEntries, std::string& aCursor);

} // namespace Admission
