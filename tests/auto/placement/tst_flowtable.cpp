#include "placement/flowtable.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Placement::FlowKey;
using Placement::FlowRecord;
using Placement::FlowTable;

namespace {

FlowRecord
MakeRecord(uint32_t aCaller, uint64_t aGeneration = 1)
{
  FlowRecord record;
  record.mKey = { Base::ServiceGeneration(aGeneration), { aCaller, 1 } };
  record.mUpstream = { aCaller, 2 };
  return record;
}

} // namespace

TEST_GROUP(FlowTable){};

// Guards against a table that exceeds its capacity or evicts a recently used flow.
TEST(FlowTable, EvictsTheLongestIdleRecordWhenFull)
{
  FlowTable table(1000);
  for (uint32_t caller = 0; caller < 1000; ++caller) {
    CHECK_FALSE(Placement::Insert(table, MakeRecord(caller)));
  }
  FlowRecord* first = Placement::Find(table, MakeRecord(0).mKey);
  CHECK_TRUE(first != nullptr);
  Placement::Touch(table, *first, Base::TimePoint(1s));
  CHECK_TRUE(Placement::Insert(table, MakeRecord(5000)));
  LONGS_EQUAL(1000, table.mSize);
  LONGS_EQUAL(1, table.mEvicted);
  CHECK_TRUE(Placement::Find(table, MakeRecord(0).mKey) != nullptr);
  CHECK_TRUE(Placement::Find(table, MakeRecord(1).mKey) == nullptr);
}

// Guards against records that apply to another service with the same address.
TEST(FlowTable, DistinguishesServiceGenerations)
{
  FlowTable table(10);
  Placement::Insert(table, MakeRecord(1, 1));
  CHECK_TRUE(Placement::Find(table, MakeRecord(1, 2).mKey) == nullptr);
}

// Guards against links to removed records.
TEST(FlowTable, ReusesNodesOfErasedRecords)
{
  FlowTable table(2000);
  for (uint32_t round = 0; round < 5; ++round) {
    for (uint32_t caller = 0; caller < 2000; ++caller) {
      Placement::Insert(table, MakeRecord(caller));
    }
    const uint32_t erased = Placement::EraseIf(
      table, [](const FlowRecord& aRecord) { return aRecord.mKey.mCaller.mAddress % 3 != 0; });
    LONGS_EQUAL(1333, erased);
    LONGS_EQUAL(667, table.mSize);
    uint32_t visited = 0;
    Placement::ForEach(table, [&](const FlowRecord& aRecord) {
      ++visited;
      LONGS_EQUAL(aRecord.mKey.mCaller.mAddress, aRecord.mUpstream.mAddress);
    });
    LONGS_EQUAL(667, visited);
  }
  LONGS_EQUAL(2000, table.mNodes.size());
}
