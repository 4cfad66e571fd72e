#include "placement/planner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace std::chrono_literals;
using Placement::SlotTable;
using Placement::Upstreams;
using Placement::UpstreamStatus;

namespace {

const Base::TimePoint kNow(1000s);

UpstreamStatus
MakeUpstream(uint32_t aAddress, uint32_t aWeight = 3)
{
  UpstreamStatus status;
  status.mEndpoint = { aAddress, 1 };
  status.mWeight = aWeight;
  status.mUsableFrom = kNow - 100s;
  status.mLeaseEnd = kNow + 5s;
  return status;
}

Upstreams
MakeUpstreams(uint32_t aCount)
{
  Upstreams upstreams;
  for (uint32_t i = 1; i <= aCount; ++i) {
    upstreams.push_back(MakeUpstream(i));
  }
  return upstreams;
}

/// Plans and applies a change.
/// \return the number of slots that moved.
uint32_t
ApplyPlan(SlotTable& aTable, const Upstreams& aUpstreams, Base::TimePoint aNow = kNow)
{
  const std::vector<bool> idle(Placement::kSlots, false);
  auto change = Placement::PlanChange(aTable, aUpstreams, idle, Placement::Settings(), aNow);
  if (!change) {
    return 0;
  }
  Placement::AddPlannedUpstreams(aTable, aUpstreams);
  const std::vector<Placement::Slot> before = aTable.mSlots;
  change->mVersion = { 1, aTable.mVersion.mCounter + 1 };
  Placement::Prepare(aTable, std::move(*change));
  Placement::Activate(aTable);
  uint32_t moved = 0;
  for (uint32_t slot = 0; slot < Placement::kSlots; ++slot) {
    moved += before[slot].mCurrent != aTable.mSlots[slot].mCurrent ? 1 : 0;
  }
  return moved;
}

std::vector<uint32_t>
CountSlots(const SlotTable& aTable)
{
  std::vector<uint32_t> counts(aTable.mUpstreams.size(), 0);
  for (const Placement::Slot& slot : aTable.mSlots) {
    ++counts[slot.mCurrent];
  }
  return counts;
}

} // namespace

TEST_GROUP(Planner){
  void CheckEven(const SlotTable& aTable, uint32_t aUpstreams){ uint32_t lowest = Placement::kSlots;
uint32_t highest = 0;
uint32_t used = 0;
for (const uint32_t count : CountSlots(aTable)) {
  if (count > 0) {
    lowest = std::min(lowest, count);
    highest = std::max(highest, count);
    ++used;
  }
}
LONGS_EQUAL(aUpstreams, used);
CHECK_TRUE(highest - lowest <= 1);
}
}
;

// Guards against uneven shares, and against more moves than the share of the upstream that joins or
// drains.
TEST(Planner, MovesOnlyTheShareOfOneUpstream)
{
  SlotTable table;
  Upstreams upstreams = MakeUpstreams(14);
  ApplyPlan(table, upstreams);
  CheckEven(table, 14);
  LONGS_EQUAL(0, ApplyPlan(table, upstreams));
  CHECK_TRUE(table.mHistory.empty());

  upstreams.push_back(MakeUpstream(15));
  LONGS_EQUAL(273, ApplyPlan(table, upstreams));
  CheckEven(table, 15);

  const uint32_t share = CountSlots(table)[3];
  upstreams[3].mDraining = true;
  upstreams[3].mDrainingSince = kNow;
  LONGS_EQUAL(share, ApplyPlan(table, upstreams));
  CheckEven(table, 14);
}

// Guards against slots that do not return to an upstream whose drain is cancelled.
TEST(Planner, MovesSlotsBackAfterACancelledDrain)
{
  SlotTable table;
  Upstreams upstreams = MakeUpstreams(5);
  ApplyPlan(table, upstreams);
  upstreams[0].mDraining = true;
  upstreams[0].mDrainingSince = kNow;
  ApplyPlan(table, upstreams);
  upstreams[0].mDraining = false;
  ApplyPlan(table, upstreams);
  CheckEven(table, 5);
  uint32_t elsewhere = 0;
  for (const auto& [slot, history] : table.mHistory) {
    LONGS_EQUAL(0, history.front().mUpstream);
    elsewhere += table.mSlots[slot].mCurrent != 0 ? 1 : 0;
  }
  CHECK_TRUE(elsewhere <= 1); // Its share may be one slot smaller due to rounding.
}

// Guards against shares that are not proportional to the weights.
TEST(Planner, FollowsWeights)
{
  SlotTable table;
  Upstreams upstreams = { MakeUpstream(1, 1), MakeUpstream(2, 2), MakeUpstream(3, 5) };
  ApplyPlan(table, upstreams);
  const std::vector<uint32_t> counts = CountSlots(table);
  LONGS_EQUAL(512, counts[0]);
  LONGS_EQUAL(1024, counts[1]);
  LONGS_EQUAL(2560, counts[2]);
}

// Guards against a cold upstream that gets its full share at once.
TEST(Planner, RampsUpAColdUpstream)
{
  SlotTable table;
  Upstreams upstreams = MakeUpstreams(4);
  ApplyPlan(table, upstreams);
  upstreams.push_back(MakeUpstream(5));
  upstreams.back().mUsableFrom = kNow;
  uint32_t previous = 0;
  for (const Base::Duration age : { 0ms, 2500ms, 5000ms, 7500ms }) {
    for (UpstreamStatus& upstream : upstreams) {
      upstream.mLeaseEnd = kNow + age + 5s;
    }
    ApplyPlan(table, upstreams, kNow + age);
    const uint32_t count = CountSlots(table)[4];
    CHECK_TRUE(count > previous && count - previous < 250);
    previous = count;
  }
  CheckEven(table, 5);
}

// Guards against a readmitted availability zone whose upstreams get all their slots back at once,
// or never.
TEST(Planner, RampsUpAReadmittedZone)
{
  SlotTable table;
  Upstreams upstreams = MakeUpstreams(4);
  ApplyPlan(table, upstreams);
  upstreams[3].mDraining = true;
  upstreams[3].mNewWorkShare = 0;
  ApplyPlan(table, upstreams);
  UNSIGNED_LONGS_EQUAL(0, CountSlots(table)[3]);
  upstreams[3].mDraining = false;
  uint32_t previous = 0;
  for (const double share : { 0.25, 0.5, 0.75, 1.0 }) {
    upstreams[3].mNewWorkShare = share;
    ApplyPlan(table, upstreams);
    const uint32_t count = CountSlots(table)[3];
    CHECK_TRUE(count > previous && count - previous < 350);
    previous = count;
  }
  CheckEven(table, 4);
}

// Guards against flows that break because an owner placed them elsewhere after an upstream was
// lost: the slots must stay ambiguous although the older upstream is gone.
TEST(Planner, KeepsSlotsOfALostUpstreamAmbiguousUntilIdle)
{
  SlotTable table;
  Upstreams upstreams = MakeUpstreams(4);
  ApplyPlan(table, upstreams);
  upstreams.erase(upstreams.begin());
  LONGS_EQUAL(1024, ApplyPlan(table, upstreams));
  LONGS_EQUAL(0, ApplyPlan(table, upstreams));
  LONGS_EQUAL(1024, table.mHistory.size());
  const std::vector<bool> idle(Placement::kSlots, true);
  const auto change = Placement::PlanChange(table, upstreams, idle, Placement::Settings(), kNow);
  LONGS_EQUAL(1024, change->mSlots.size());
}

// Guards against an index that is reused for another upstream while slots still refer to it.
TEST(Planner, ReusesOnlyIndexesThatNothingRefersTo)
{
  SlotTable table;
  Upstreams upstreams = MakeUpstreams(3);
  ApplyPlan(table, upstreams);
  upstreams[0].mDraining = true;
  upstreams[0].mDrainingSince = kNow;
  ApplyPlan(table, upstreams);
  upstreams.erase(upstreams.begin());
  upstreams.push_back(MakeUpstream(9));
  ApplyPlan(table, upstreams); // Drops the history and adds the new upstream.
  LONGS_EQUAL(4, table.mUpstreams.size());
  upstreams.push_back(MakeUpstream(10));
  ApplyPlan(table, upstreams);
  LONGS_EQUAL(4, table.mUpstreams.size());
  LONGS_EQUAL(10, table.mUpstreams[0].mAddress);
  CheckEven(table, 4);
}
