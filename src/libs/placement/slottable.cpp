#include "placement/slottable.h"

#include "absl/strings/str_cat.h"
#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace Placement {

namespace {

constexpr uint32_t kEpochShift = 32;

bool
ContainsOnly(const std::vector<HistoryEntry>& aHistory, uint16_t aUpstream)
{
  return std::all_of(aHistory.begin(), aHistory.end(), [aUpstream](const HistoryEntry& aEntry) {
    return aEntry.mUpstream == aUpstream && !aEntry.mUntilIdle;
  });
}

// Only the first entry of an upstream affects unknown flows, so one entry per upstream suffices,
// which limits the size of the history.
void
AddToHistory(std::vector<HistoryEntry>& aHistory, const HistoryEntry& aEntry)
{
  for (HistoryEntry& known : aHistory) {
    if (known.mUpstream == aEntry.mUpstream) {
      known.mUntilIdle = known.mUntilIdle || aEntry.mUntilIdle;
      return;
    }
  }
  aHistory.push_back(aEntry);
}

void
ActivateSlot(SlotTable& aTable, uint16_t aIndex, const SlotChange& aChange, TableVersion aVersion)
{
  Slot& slot = aTable.mSlots[aIndex];
  std::vector<HistoryEntry> history = aChange.mKept;
  if (slot.mCurrent != aChange.mTarget && slot.mCurrent != kNoUpstream) {
    AddToHistory(history, { slot.mCurrent, aVersion, aChange.mUntilIdle });
  }
  slot.mCurrent = aChange.mTarget;
  if (ContainsOnly(history, slot.mCurrent)) {
    aTable.mHistory.erase(aIndex);
    return;
  }
  aTable.mHistory[aIndex] = std::move(history);
}

} // namespace

bool
operator==(const TableVersion& aLeft, const TableVersion& aRight)
{
  return aLeft.mEpoch == aRight.mEpoch && aLeft.mCounter == aRight.mCounter;
}

bool
operator!=(const TableVersion& aLeft, const TableVersion& aRight)
{
  return !(aLeft == aRight);
}

bool
operator<(const TableVersion& aLeft, const TableVersion& aRight)
{
  return std::tie(aLeft.mEpoch, aLeft.mCounter) < std::tie(aRight.mEpoch, aRight.mCounter);
}

std::string
ToString(const TableVersion& aVersion)
{
  return absl::StrCat(aVersion.mEpoch >> kEpochShift,
                      ".",
                      aVersion.mCounter,
                      " by ",
                      static_cast<uint32_t>(aVersion.mEpoch));
}

uint64_t
MakeEpoch(uint64_t aHighest, Base::InstanceId aPublisher)
{
  return (((aHighest >> kEpochShift) + 1) << kEpochShift) | aPublisher.mValue;
}

uint16_t
SlotOf(Base::ServiceGeneration aGeneration,
       const Base::Endpoint& aCaller,
       const Base::Endpoint& aService)
{
  const uint64_t hash =
    Base::StableHash({ aGeneration.mValue, Base::Pack(aCaller), Base::Pack(aService) });
  return static_cast<uint16_t>(hash % kSlots);
}

void
Prepare(SlotTable& aTable, PreparedChange aChange)
{
  aTable.mPrepared = std::move(aChange);
  MarkAmbiguous(aTable);
}

void
RestoreKeptEntries(const SlotTable& aTable, PreparedChange& aChange)
{
  for (auto& [slot, change] : aChange.mSlots) {
    const auto history = aTable.mHistory.find(slot);
    if (history == aTable.mHistory.end()) {
      continue;
    }
    for (HistoryEntry& entry : change.mKept) {
      const auto known = std::find_if(
        history->second.begin(), history->second.end(), [&entry](const HistoryEntry& aKnown) {
          return aKnown.mUpstream == entry.mUpstream;
        });
      entry = known != history->second.end() ? *known : entry;
    }
  }
}

void
Activate(SlotTable& aTable)
{
  if (!aTable.mPrepared) {
    return;
  }
  const PreparedChange change = std::move(*aTable.mPrepared);
  aTable.mPrepared.reset();
  for (const auto& [index, slotChange] : change.mSlots) {
    ActivateSlot(aTable, index, slotChange, change.mVersion);
  }
  aTable.mVersion = change.mVersion;
  MarkAmbiguous(aTable);
}

std::vector<uint16_t>
DefaultOrder(const SlotTable& aTable, uint16_t aSlot)
{
  std::vector<uint16_t> order;
  const auto append = [&order](const std::vector<HistoryEntry>& aEntries) {
    for (const HistoryEntry& entry : aEntries) {
      order.push_back(entry.mUpstream);
    }
  };
  const SlotChange* change = nullptr;
  if (aTable.mPrepared) {
    const auto found = aTable.mPrepared->mSlots.find(aSlot);
    change = found != aTable.mPrepared->mSlots.end() ? &found->second : nullptr;
  }
  const auto history = aTable.mHistory.find(aSlot);
  if (change != nullptr) {
    append(change->mKept);
  } else if (history != aTable.mHistory.end()) {
    append(history->second);
  }
  if (aTable.mSlots[aSlot].mCurrent != kNoUpstream) {
    order.push_back(aTable.mSlots[aSlot].mCurrent);
  }
  return order;
}

void
MarkAmbiguous(SlotTable& aTable)
{
  for (Slot& slot : aTable.mSlots) {
    slot.mAmbiguous = false;
  }
  for (const auto& [index, history] : aTable.mHistory) {
    aTable.mSlots[index].mAmbiguous = !history.empty();
  }
  if (!aTable.mPrepared) {
    return;
  }
  for (const auto& [index, change] : aTable.mPrepared->mSlots) {
    aTable.mSlots[index].mAmbiguous = true;
  }
}

} // namespace Placement
