#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace Placement {

/// A flow of a service generation. The generation identifies the service, so that a record never
/// applies to another service behind the same address.
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

/// Records of flows, at most mCapacity. A new record replaces the one that has been idle longest.
/// The slot owner has one for the flows that it placed (lost with the owner, then rebuilt from the
/// caches of its peers); each instance has another as cache of owners' answers (rebuilt by asking).
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

/// Marks a record as used now.
/// \param aRecord must be one that Find returned for this table.
void
Touch(FlowTable& aTable, FlowRecord& aRecord, Base::TimePoint aNow);

/// Inserts or replaces a record and makes it the newest.
/// \return true if the longest idle record was evicted for it.
bool
Insert(FlowTable& aTable, const FlowRecord& aRecord);

/// Removes all records that match.
/// \return how many were removed.
uint32_t
EraseIf(FlowTable& aTable, const std::function<bool(const FlowRecord&)>& aMatches);

/// Visits all records, newest first.
void
ForEach(const FlowTable& aTable, const std::function<void(const FlowRecord&)>& aVisit);

/// \return memory in use, in bytes, without allocator overhead.
uint64_t
MemoryBytes(const FlowTable& aTable);

} // namespace Placement
