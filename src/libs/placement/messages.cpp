#include "placement/messages.h"

namespace Placement {

namespace {

constexpr uint32_t kPortBits = 16;

absl::Status
InvalidMessage(const char* aWhat)
{
  return absl::InvalidArgumentError(aWhat);
}

std::vector<Base::Endpoint>
DecodeUpstreams(const google::protobuf::RepeatedField<uint64_t>& aPacked)
{
  std::vector<Base::Endpoint> upstreams;
  for (const uint64_t packed : aPacked) {
    upstreams.push_back(UnpackEndpoint(packed));
  }
  return upstreams;
}

void
AddHistory(lw::placement::SlotHistories& aHistories, uint16_t aSlot, const HistoryEntry& aEntry)
{
  aHistories.add_slots(aSlot);
  aHistories.add_upstreams(aEntry.mUpstream);
  aHistories.add_epochs(aEntry.mReplacedIn.mEpoch);
  aHistories.add_counters(aEntry.mReplacedIn.mCounter);
  aHistories.add_until_idle(aEntry.mUntilIdle);
}

absl::Status
DecodeHistories(const lw::placement::SlotHistories& aHistories, SlotTable& aTable)
{
  const int count = aHistories.slots_size();
  if (aHistories.upstreams_size() != count || aHistories.epochs_size() != count ||
      aHistories.counters_size() != count || aHistories.until_idle_size() != count) {
    return InvalidMessage("history lists of different length");
  }
  for (int i = 0; i < count; ++i) {
    if (aHistories.slots(i) >= kSlots || aHistories.upstreams(i) >= aTable.mUpstreams.size()) {
      return InvalidMessage("history index out of range");
    }
    const TableVersion version = { aHistories.epochs(i), aHistories.counters(i) };
    aTable.mHistory[static_cast<uint16_t>(aHistories.slots(i))].push_back(
      { static_cast<uint16_t>(aHistories.upstreams(i)), version, aHistories.until_idle(i) });
  }
  return absl::OkStatus();
}

} // namespace

Base::Endpoint
UnpackEndpoint(uint64_t aPacked)
{
  Base::Endpoint endpoint;
  endpoint.mAddress = static_cast<uint32_t>(aPacked >> kPortBits);
  endpoint.mPort = static_cast<uint16_t>(aPacked);
  return endpoint;
}

lw::placement::TableVersion
Encode(const TableVersion& aVersion)
{
  lw::placement::TableVersion message;
  message.set_epoch(aVersion.mEpoch);
  message.set_counter(aVersion.mCounter);
  return message;
}

TableVersion
Decode(const lw::placement::TableVersion& aVersion)
{
  return { aVersion.epoch(), aVersion.counter() };
}

lw::placement::TableChange
EncodePrepared(const SlotTable& aTable)
{
  lw::placement::TableChange message;
  *message.mutable_base() = Encode(aTable.mVersion);
  *message.mutable_version() = Encode(aTable.mPrepared->mVersion);
  for (const Base::Endpoint& upstream : aTable.mUpstreams) {
    message.add_upstreams(Base::Pack(upstream));
  }
  for (const auto& [slot, change] : aTable.mPrepared->mSlots) {
    message.add_slots(slot);
    message.add_targets(change.mTarget);
    message.add_until_idle(change.mUntilIdle);
    message.add_kept_counts(static_cast<uint32_t>(change.mKept.size()));
    for (const HistoryEntry& entry : change.mKept) {
      message.add_kept(entry.mUpstream);
    }
  }
  return message;
}

absl::StatusOr<ReceivedChange>
DecodeChange(const lw::placement::TableChange& aChange)
{
  const int count = aChange.slots_size();
  if (aChange.targets_size() != count || aChange.until_idle_size() != count ||
      aChange.kept_counts_size() != count) {
    return InvalidMessage("change lists of different length");
  }
  ReceivedChange result;
  result.mBase = Decode(aChange.base());
  result.mUpstreams = DecodeUpstreams(aChange.upstreams());
  result.mChange.mVersion = Decode(aChange.version());
  int kept = 0;
  for (int i = 0; i < count; ++i) {
    const bool isTarget =
      aChange.targets(i) < result.mUpstreams.size() || aChange.targets(i) == kNoUpstream;
    const bool isKept = aChange.kept_counts(i) <= static_cast<uint32_t>(aChange.kept_size() - kept);
    if (aChange.slots(i) >= kSlots || !isTarget || !isKept) {
      return InvalidMessage("change index out of range");
    }
    SlotChange& change = result.mChange.mSlots[static_cast<uint16_t>(aChange.slots(i))];
    change.mTarget = static_cast<uint16_t>(aChange.targets(i));
    change.mUntilIdle = aChange.until_idle(i);
    for (uint32_t entry = 0; entry < aChange.kept_counts(i); ++entry, ++kept) {
      if (aChange.kept(kept) >= result.mUpstreams.size()) {
        return InvalidMessage("kept upstream out of range");
      }
      change.mKept.push_back({ static_cast<uint16_t>(aChange.kept(kept)), {}, false });
    }
  }
  return result;
}

lw::placement::TableState
EncodeState(const SlotTable& aTable)
{
  lw::placement::TableState message;
  *message.mutable_version() = Encode(aTable.mVersion);
  for (const Base::Endpoint& upstream : aTable.mUpstreams) {
    message.add_upstreams(Base::Pack(upstream));
  }
  for (const Slot& slot : aTable.mSlots) {
    message.add_current(slot.mCurrent);
  }
  for (const auto& [slot, history] : aTable.mHistory) {
    for (const HistoryEntry& entry : history) {
      AddHistory(*message.mutable_histories(), slot, entry);
    }
  }
  if (aTable.mPrepared) {
    *message.mutable_prepared() = EncodePrepared(aTable);
  }
  return message;
}

absl::StatusOr<SlotTable>
DecodeState(const lw::placement::TableState& aState, Base::ServiceGeneration aGeneration)
{
  SlotTable table;
  table.mGeneration = aGeneration;
  table.mVersion = Decode(aState.version());
  table.mUpstreams = DecodeUpstreams(aState.upstreams());
  if (aState.current_size() != static_cast<int>(kSlots)) {
    return InvalidMessage("table with a wrong number of slots");
  }
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    const uint32_t current = aState.current(static_cast<int>(slot));
    if (current >= table.mUpstreams.size() && current != kNoUpstream) {
      return InvalidMessage("table index out of range");
    }
    table.mSlots[slot].mCurrent = static_cast<uint16_t>(current);
  }
  absl::Status status = DecodeHistories(aState.histories(), table);
  if (!status.ok()) {
    return status;
  }
  if (aState.has_prepared()) {
    absl::StatusOr<ReceivedChange> change = DecodeChange(aState.prepared());
    if (!change.ok()) {
      return change.status();
    }
    if (change->mUpstreams.size() != table.mUpstreams.size()) {
      return InvalidMessage("prepared change with other upstreams than its table");
    }
    RestoreKeptEntries(table, change->mChange);
    table.mPrepared = std::move(change->mChange);
  }
  MarkAmbiguous(table);
  return table;
}

} // namespace Placement
