#pragma once

#include "steering/flowtable.h"

#include <deque>
#include <unordered_map>

namespace Steering {

/// Entries for flows that are removed after a fixed time, or earlier if there are too many. Entry
/// has a member mAddedAt, the time at which it was stored.
template<typename Entry>
struct ExpiringFlows
{
  struct Expiry
  {
    FlowKey mFlow;
    Base::TimePoint mAddedAt;
  };
  std::unordered_map<FlowKey, Entry, FlowKeyHash> mByFlow;
  /// All entries in the order of their expiry, and those that were replaced since.
  std::deque<Expiry> mExpiries;
};

namespace Internal {

template<typename Entry>
void
RemoveOldest(ExpiringFlows<Entry>& aFlows)
{
  const auto& oldest = aFlows.mExpiries.front();
  const auto entry = aFlows.mByFlow.find(oldest.mFlow);
  // A later flow with the same addresses has an expiry of its own.
  if (entry != aFlows.mByFlow.end() && entry->second.mAddedAt == oldest.mAddedAt) {
    aFlows.mByFlow.erase(entry);
  }
  aFlows.mExpiries.pop_front();
}

/// Makes room for an entry that was added at aAddedAt, and schedules its expiry.
/// \return the entry to be filled in. It holds the values of an earlier one for the same addresses.
template<typename Entry>
Entry&
AddEntry(ExpiringFlows<Entry>& aFlows,
         const FlowKey& aFlow,
         Base::TimePoint aAddedAt,
         size_t aMaxFlows)
{
  if (aFlows.mExpiries.size() >= aMaxFlows) {
    RemoveOldest(aFlows);
  }
  aFlows.mExpiries.push_back({ aFlow, aAddedAt });
  return aFlows.mByFlow[aFlow];
}

template<typename Entry>
void
RemoveExpired(ExpiringFlows<Entry>& aFlows, Base::Duration aLifetime, Base::TimePoint aNow)
{
  while (!aFlows.mExpiries.empty() && aNow - aFlows.mExpiries.front().mAddedAt > aLifetime) {
    RemoveOldest(aFlows);
  }
}

} // namespace Internal

} // namespace Steering
