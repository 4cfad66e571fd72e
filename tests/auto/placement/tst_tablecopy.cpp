#include "placement/tablecopy.h"

#include <CppUTest/TestHarness.h>

using lw::placement::PlacementMessage;
using Placement::SlotTable;
using Placement::TableCopy;

namespace {

const Base::InstanceId kPublisher(1);

SlotTable
MakeTable()
{
  SlotTable table;
  table.mVersion = { Placement::MakeEpoch(0, kPublisher), 5 };
  table.mUpstreams = { { 1, 1 }, { 2, 1 } };
  for (Placement::Slot& slot : table.mSlots) {
    slot.mCurrent = 0;
  }
  table.mHistory[9] = { { 1, { 1, 1 }, true } };
  Placement::MarkAmbiguous(table);
  return table;
}

Placement::PreparedChange
MakeChange(const Placement::TableVersion& aVersion)
{
  Placement::PreparedChange change;
  change.mVersion = aVersion;
  change.mSlots[7].mTarget = 1;
  change.mSlots[9].mTarget = 1;
  change.mSlots[9].mKept = { { 1, {}, false } };
  return change;
}

PlacementMessage
PrepareMessage(SlotTable aTable, const Placement::TableVersion& aVersion)
{
  Placement::Prepare(aTable, MakeChange(aVersion));
  PlacementMessage message;
  *message.mutable_prepare() = Placement::EncodePrepared(aTable);
  return message;
}

PlacementMessage
ActivateMessage(const Placement::TableVersion& aVersion)
{
  PlacementMessage message;
  *message.mutable_activate()->mutable_version() = Placement::Encode(aVersion);
  return message;
}

} // namespace

TEST_GROUP(TableCopy)
{
  TableCopy mCopy;
  uint64_t mEpoch = Placement::MakeEpoch(0, kPublisher);

  void setup() override
  {
    mCopy.mTable = MakeTable();
  }

  Placement::TableEffects Handle(const PlacementMessage& aMessage)
  {
    auto effects = Placement::HandleTableMessage(mCopy, kPublisher, aMessage);
    CHECK_TRUE(effects.ok());
    return *effects;
  }
};

// Guards against a change that takes effect before its activation or loses the history.
TEST(TableCopy, AppliesAChangeInTwoSteps)
{
  const Placement::TableEffects prepared = Handle(PrepareMessage(mCopy.mTable, { mEpoch, 6 }));
  CHECK_TRUE(prepared.mTableChanged && prepared.mIsIncremental);
  CHECK_TRUE(prepared.mSend.front().mMessage.has_confirm());
  CHECK_TRUE(mCopy.mTable.mSlots[7].mAmbiguous);
  LONGS_EQUAL(0, mCopy.mTable.mSlots[7].mCurrent);
  Handle(ActivateMessage({ mEpoch, 6 }));
  LONGS_EQUAL(1, mCopy.mTable.mSlots[7].mCurrent);
  LONGS_EQUAL(0, mCopy.mTable.mHistory[7].front().mUpstream);
  LONGS_EQUAL(2, mCopy.mTable.mHistory[9].size());
  CHECK_TRUE(mCopy.mTable.mHistory[9].front().mUntilIdle);
}

// Guards against a newer version that is replaced by an older one, for example by the messages of a
// publisher from the other side of a partition.
TEST(TableCopy, IgnoresOlderPublishers)
{
  const uint64_t newer = Placement::MakeEpoch(mEpoch, Base::InstanceId(2));
  CHECK_TRUE(mEpoch < newer);
  Handle(PrepareMessage(mCopy.mTable, { newer, 1 }));
  SlotTable old = mCopy.mTable;
  old.mPrepared.reset();
  CHECK_FALSE(Handle(PrepareMessage(old, { mEpoch, 7 })).mTableChanged);
  CHECK_FALSE(Handle(ActivateMessage({ mEpoch, 7 })).mTableChanged);
  CHECK_TRUE(mCopy.mTable.mPrepared->mVersion.mEpoch == newer);
  Handle(ActivateMessage({ newer, 1 }));
  PlacementMessage state;
  *state.mutable_table_state() = Placement::EncodeState(old);
  CHECK_FALSE(Handle(state).mTableChanged);
  CHECK_TRUE(mCopy.mTable.mVersion.mEpoch == newer);
}

// Guards against a change that is applied to a table other than its base version.
TEST(TableCopy, RequestsTheTableWhenTheBaseDiffers)
{
  SlotTable other = mCopy.mTable;
  other.mVersion.mCounter = 6;
  const Placement::TableEffects effects = Handle(PrepareMessage(other, { mEpoch, 7 }));
  CHECK_FALSE(effects.mTableChanged);
  CHECK_TRUE(effects.mSend.front().mMessage.has_table_request());
}

// Guards against a table that loses its history or its prepared change in the transfer to a
// restarted instance.
TEST(TableCopy, TransfersAWholeTable)
{
  SlotTable source = MakeTable();
  Placement::Prepare(source, MakeChange({ mEpoch, 6 }));
  PlacementMessage state;
  *state.mutable_table_state() = Placement::EncodeState(source);
  mCopy.mTable = SlotTable();
  const Placement::TableEffects effects = Handle(state);
  CHECK_TRUE(effects.mTableChanged);
  CHECK_FALSE(effects.mIsIncremental);
  CHECK_TRUE(mCopy.mTable.mHistory[9].front().mUntilIdle);
  CHECK_TRUE(mCopy.mTable.mPrepared->mSlots[9].mKept.front().mUntilIdle);
  CHECK_TRUE(mCopy.mTable.mSlots[7].mAmbiguous && mCopy.mTable.mSlots[9].mAmbiguous);
  CHECK_FALSE(mCopy.mTable.mSlots[8].mAmbiguous);
}

// Guards against messages with out-of-range indexes.
TEST(TableCopy, RejectsIndexesOutOfRange)
{
  PlacementMessage badSlot = PrepareMessage(mCopy.mTable, { mEpoch, 6 });
  badSlot.mutable_prepare()->set_slots(0, Placement::kSlots);
  PlacementMessage badTarget = PrepareMessage(mCopy.mTable, { mEpoch, 6 });
  badTarget.mutable_prepare()->set_targets(0, 2);
  PlacementMessage badKept = PrepareMessage(mCopy.mTable, { mEpoch, 6 });
  badKept.mutable_prepare()->set_kept_counts(1, 0xFFFFFFFF);
  PlacementMessage badState;
  *badState.mutable_table_state() = Placement::EncodeState(mCopy.mTable);
  badState.mutable_table_state()->set_current(4, 77);
  for (const PlacementMessage& message : { badSlot, badTarget, badKept, badState }) {
    CHECK_FALSE(Placement::HandleTableMessage(mCopy, kPublisher, message).ok());
  }
}
