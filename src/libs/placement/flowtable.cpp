#include "placement/flowtable.h"

#include "base/hash.h"

#include <algorithm>

namespace Placement {

namespace {

constexpr uint32_t kNoNode = 0xFFFFFFFF;
constexpr uint32_t kInitialBucketCount = 64;

uint32_t
BucketOf(const FlowTable& aTable, const FlowKey& aKey)
{
  const uint64_t hash = Base::StableHash({ aKey.mGeneration.mValue, Base::Pack(aKey.mCaller) });
  return static_cast<uint32_t>(hash & (aTable.mBuckets.size() - 1));
}

bool
IsSame(const FlowKey& aLeft, const FlowKey& aRight)
{
  return aLeft.mGeneration == aRight.mGeneration && aLeft.mCaller == aRight.mCaller;
}

uint32_t
FindIndex(const FlowTable& aTable, const FlowKey& aKey)
{
  uint32_t index = aTable.mBuckets[BucketOf(aTable, aKey)];
  while (index != kNoNode && !IsSame(aTable.mNodes[index].mRecord.mKey, aKey)) {
    index = aTable.mNodes[index].mNextInBucket;
  }
  return index;
}

void
Unlink(FlowTable& aTable, uint32_t aIndex)
{
  const FlowTable::Node& node = aTable.mNodes[aIndex];
  uint32_t& fromNewer = node.mNewer == kNoNode ? aTable.mNewest : aTable.mNodes[node.mNewer].mOlder;
  uint32_t& fromOlder = node.mOlder == kNoNode ? aTable.mOldest : aTable.mNodes[node.mOlder].mNewer;
  fromNewer = node.mOlder;
  fromOlder = node.mNewer;
}

void
LinkAsNewest(FlowTable& aTable, uint32_t aIndex)
{
  FlowTable::Node& node = aTable.mNodes[aIndex];
  node.mNewer = kNoNode;
  node.mOlder = aTable.mNewest;
  uint32_t& fromOlder = node.mOlder == kNoNode ? aTable.mOldest : aTable.mNodes[node.mOlder].mNewer;
  fromOlder = aIndex;
  aTable.mNewest = aIndex;
}

void
AddToBucket(FlowTable& aTable, uint32_t aIndex)
{
  FlowTable::Node& node = aTable.mNodes[aIndex];
  uint32_t& head = aTable.mBuckets[BucketOf(aTable, node.mRecord.mKey)];
  node.mNextInBucket = head;
  head = aIndex;
}

void
Erase(FlowTable& aTable, uint32_t aIndex)
{
  FlowTable::Node& node = aTable.mNodes[aIndex];
  uint32_t* link = &aTable.mBuckets[BucketOf(aTable, node.mRecord.mKey)];
  while (*link != aIndex) {
    link = &aTable.mNodes[*link].mNextInBucket;
  }
  *link = node.mNextInBucket;
  Unlink(aTable, aIndex);
  node.mNextInBucket = aTable.mFree;
  aTable.mFree = aIndex;
  --aTable.mSize;
}

uint32_t
TakeNode(FlowTable& aTable)
{
  if (aTable.mFree != kNoNode) {
    const uint32_t index = aTable.mFree;
    aTable.mFree = aTable.mNodes[index].mNextInBucket;
    return index;
  }
  if (aTable.mNodes.size() == aTable.mNodes.capacity()) {
    // Doubling the capacity beyond the limit could waste half of the memory.
    const size_t doubled = std::max<size_t>(aTable.mNodes.size() * 2, kInitialBucketCount);
    aTable.mNodes.reserve(std::min<size_t>(doubled, aTable.mCapacity));
  }
  aTable.mNodes.emplace_back();
  return static_cast<uint32_t>(aTable.mNodes.size() - 1);
}

void
GrowBuckets(FlowTable& aTable)
{
  if (aTable.mSize < aTable.mBuckets.size()) {
    return;
  }
  aTable.mBuckets.assign(aTable.mBuckets.size() * 2, kNoNode);
  for (uint32_t index = aTable.mNewest; index != kNoNode; index = aTable.mNodes[index].mOlder) {
    AddToBucket(aTable, index);
  }
}

} // namespace

FlowTable::FlowTable(uint32_t aCapacity)
  : mCapacity(std::max<uint32_t>(aCapacity, 1))
  , mNewest(kNoNode)
  , mOldest(kNoNode)
  , mFree(kNoNode)
  , mBuckets(kInitialBucketCount, kNoNode)
{
}

FlowRecord*
Find(FlowTable& aTable, const FlowKey& aKey)
{
  const uint32_t index = FindIndex(aTable, aKey);
  return index == kNoNode ? nullptr : &aTable.mNodes[index].mRecord;
}

void
Touch(FlowTable& aTable, FlowRecord& aRecord, Base::TimePoint aNow)
{
  aRecord.mLastUsed = aNow;
  const auto* const record = reinterpret_cast<const char*>(&aRecord);
  const auto* const nodes = reinterpret_cast<const char*>(aTable.mNodes.data());
  const auto index = static_cast<uint32_t>((record - nodes) / sizeof(FlowTable::Node));
  if (index != aTable.mNewest) {
    Unlink(aTable, index);
    LinkAsNewest(aTable, index);
  }
}

bool
Insert(FlowTable& aTable, const FlowRecord& aRecord)
{
  const uint32_t known = FindIndex(aTable, aRecord.mKey);
  if (known != kNoNode) {
    Erase(aTable, known);
  }
  const bool evict = aTable.mSize >= aTable.mCapacity;
  if (evict) {
    Erase(aTable, aTable.mOldest);
    ++aTable.mEvicted;
  }
  GrowBuckets(aTable);
  const uint32_t index = TakeNode(aTable);
  aTable.mNodes[index].mRecord = aRecord;
  AddToBucket(aTable, index);
  LinkAsNewest(aTable, index);
  ++aTable.mSize;
  return evict;
}

uint32_t
EraseIf(FlowTable& aTable, const std::function<bool(const FlowRecord&)>& aMatches)
{
  uint32_t erased = 0;
  uint32_t index = aTable.mNewest;
  while (index != kNoNode) {
    const uint32_t older = aTable.mNodes[index].mOlder;
    if (aMatches(aTable.mNodes[index].mRecord)) {
      Erase(aTable, index);
      ++erased;
    }
    index = older;
  }
  return erased;
}

void
ForEach(const FlowTable& aTable, const std::function<void(const FlowRecord&)>& aVisit)
{
  for (uint32_t index = aTable.mNewest; index != kNoNode; index = aTable.mNodes[index].mOlder) {
    aVisit(aTable.mNodes[index].mRecord);
  }
}

uint64_t
MemoryBytes(const FlowTable& aTable)
{
  return aTable.mNodes.capacity() * sizeof(FlowTable::Node) +
         aTable.mBuckets.capacity() * sizeof(uint32_t);
}

} // namespace Placement
