#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace Placement {

/// Identifies a flow. Contains the service generation, so that a record never applies to another
/// service that reuses the address.
struct FlowKey
{
  Base::ServiceGeneration mGeneration;
  Base::Endpoint mCaller;
};

struct FlowRecord
{
  FlowKey mKey;
  Base::Endpoint mUpstream;
  uint16_t mSlot = 0;
  Base::TimePoint mOpened;
  Base::TimePoint mLastUsed;
};

/// LRU table of at most mCapacity flow records; the longest idle one is evicted first. An instance
/// has one for the flows that it placed as slot owner, which a new owner rebuilds from the caches
/// of its peers if the instance fails, and one that caches other owners' answers, which is refilled
/// by forwarding packets to the owners.
struct FlowTable
{
  struct Node
  {
    FlowRecord mRecord;
    uint32_t mNewer = 0;
    uint32_t mOlder = 0;
    uint32_t mNextInBucket = 0;
  };

  explicit FlowTable(uint32_t aCapacity);

  uint32_t mCapacity;
  uint64_t mEvicted = 0;
  uint32_t mSize = 0;
  uint32_t mNewest;
  uint32_t mOldest;
  uint32_t mFree;
  std::vector<uint32_t> mBuckets;
  std::vector<Node> mNodes;
};

/// \return the record, or nullptr. The pointer is valid until the next insertion.
FlowRecord*
Find(FlowTable& aTable, const FlowKey& aKey);

/// Updates a record's time of use and makes it the newest.
/// \param aRecord must be a record that Find returned for this table.
void
Touch(FlowTable& aTable, FlowRecord& aRecord, Base::TimePoint aNow);

/// Inserts or replaces a record and makes it the newest.
/// \return true if the longest idle record was evicted.
bool
Insert(FlowTable& aTable, const FlowRecord& aRecord);

/// Removes all records that match.
/// \return the number of removed records.
uint32_t
EraseIf(FlowTable& aTable, const std::function<bool(const FlowRecord&)>& aMatches);

/// Visits all records, newest first.
void
ForEach(const FlowTable& aTable, const std::function<void(const FlowRecord&)>& aVisit);

/// \return the allocated memory in bytes, without allocator overhead.
uint64_t
MemoryBytes(const FlowTable& aTable);

} // namespace Placement
