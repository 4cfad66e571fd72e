#include "placement/tablecopy.h"

#include <algorithm>

namespace Placement {

namespace {

using lw::placement::PlacementMessage;

PlacementMessage
MessageFor(const TableCopy& aCopy)
{
  PlacementMessage message;
  message.set_generation(aCopy.mTable.mGeneration.mValue);
  return message;
}

void
RequestTable(const TableCopy& aCopy, Base::InstanceId aFrom, TableEffects& aEffects)
{
  PlacementMessage message = MessageFor(aCopy);
  message.mutable_table_request();
  aEffects.mSend.push_back({ aFrom, std::move(message) });
}

void
Confirm(const TableCopy& aCopy, Base::InstanceId aPublisher, TableEffects& aEffects)
{
  PlacementMessage message = MessageFor(aCopy);
  *message.mutable_confirm()->mutable_version() = Encode(NewestVersion(aCopy.mTable));
  aEffects.mSend.push_back({ aPublisher, std::move(message) });
}

void
ReportVersion(const TableCopy& aCopy, Base::InstanceId aTo, TableEffects& aEffects)
{
  PlacementMessage message = MessageFor(aCopy);
  lw::placement::VersionReport& report = *message.mutable_version_report();
  *report.mutable_active() = Encode(aCopy.mTable.mVersion);
  *report.mutable_prepared() = Encode(NewestVersion(aCopy.mTable));
  report.set_highest_epoch(aCopy.mHighestEpoch);
  aEffects.mSend.push_back({ aTo, std::move(message) });
}

// A stale publisher must not change the table after a newer publisher has been seen. The reply
// contains the newer version, from which the stale publisher synchronizes.
bool
IsStale(TableCopy& aCopy,
        const TableVersion& aVersion,
        Base::InstanceId aSender,
        TableEffects& aEffects)
{
  if (aVersion.mEpoch < aCopy.mHighestEpoch) {
    ReportVersion(aCopy, aSender, aEffects);
    return true;
  }
  aCopy.mHighestEpoch = aVersion.mEpoch;
  return false;
}

absl::StatusOr<TableEffects>
HandlePrepare(TableCopy& aCopy, Base::InstanceId aSender, const lw::placement::TableChange& aChange)
{
  absl::StatusOr<ReceivedChange> change = DecodeChange(aChange);
  if (!change.ok()) {
    return change.status();
  }
  TableEffects effects;
  SlotTable& table = aCopy.mTable;
  const TableVersion version = change->mChange.mVersion;
  if (IsStale(aCopy, version, aSender, effects)) {
    return effects;
  }
  if (!(NewestVersion(table) < version)) {
    Confirm(aCopy, aSender, effects);
    return effects;
  }
  if (change->mBase != table.mVersion || change->mUpstreams.size() < table.mUpstreams.size()) {
    RequestTable(aCopy, aSender, effects);
    return effects;
  }
  table.mUpstreams = std::move(change->mUpstreams);
  RestoreKeptEntries(table, change->mChange);
  Prepare(table, std::move(change->mChange));
  effects.mTableChanged = true;
  effects.mIsIncremental = true;
  Confirm(aCopy, aSender, effects);
  return effects;
}

TableEffects
AdoptActive(TableCopy& aCopy, Base::InstanceId aSender, const TableVersion& aActive)
{
  TableEffects effects;
  SlotTable& table = aCopy.mTable;
  if (!(table.mVersion < aActive)) {
    return effects;
  }
  if (table.mPrepared && table.mPrepared->mVersion == aActive) {
    Activate(table);
    effects.mTableChanged = true;
    effects.mIsIncremental = true;
    return effects;
  }
  RequestTable(aCopy, aSender, effects);
  return effects;
}

TableEffects
HandleReport(TableCopy& aCopy,
             Base::InstanceId aSender,
             const lw::placement::VersionReport& aReport)
{
  const TableVersion active = Decode(aReport.active());
  const TableVersion prepared = Decode(aReport.prepared());
  TableEffects effects;
  if (!aReport.from_publisher() || IsStale(aCopy, std::max(active, prepared), aSender, effects)) {
    return effects;
  }
  effects = AdoptActive(aCopy, aSender, active);
  const bool isMissingChange = NewestVersion(aCopy.mTable) < prepared;
  if (isMissingChange && effects.mSend.empty()) {
    RequestTable(aCopy, aSender, effects);
  }
  return effects;
}

absl::StatusOr<TableEffects>
HandleState(TableCopy& aCopy, Base::InstanceId aSender, const lw::placement::TableState& aState)
{
  absl::StatusOr<SlotTable> table = DecodeState(aState, aCopy.mTable.mGeneration);
  if (!table.ok()) {
    return table.status();
  }
  TableEffects effects;
  const bool isNewer = aCopy.mTable.mVersion < table->mVersion;
  const bool hasNewerChange =
    aCopy.mTable.mVersion == table->mVersion && NewestVersion(aCopy.mTable) < NewestVersion(*table);
  if (!isNewer && !hasNewerChange) {
    return effects;
  }
  aCopy.mHighestEpoch = std::max(aCopy.mHighestEpoch, NewestVersion(*table).mEpoch);
  aCopy.mTable = std::move(*table);
  effects.mTableChanged = true;
  if (aCopy.mTable.mPrepared) {
    Confirm(aCopy, aSender, effects);
  }
  return effects;
}

} // namespace

TableVersion
NewestVersion(const SlotTable& aTable)
{
  return aTable.mPrepared ? std::max(aTable.mVersion, aTable.mPrepared->mVersion) : aTable.mVersion;
}

absl::StatusOr<TableEffects>
HandleTableMessage(TableCopy& aCopy, Base::InstanceId aSender, const PlacementMessage& aMessage)
{
  TableEffects effects;
  PlacementMessage answer = MessageFor(aCopy);
  switch (aMessage.body_case()) {
    case PlacementMessage::kPrepare:
      return HandlePrepare(aCopy, aSender, aMessage.prepare());
    case PlacementMessage::kActivate: {
      const TableVersion version = Decode(aMessage.activate().version());
      return IsStale(aCopy, version, aSender, effects) ? effects
                                                       : AdoptActive(aCopy, aSender, version);
    }
    case PlacementMessage::kVersionReport:
      return HandleReport(aCopy, aSender, aMessage.version_report());
    case PlacementMessage::kTableState:
      return HandleState(aCopy, aSender, aMessage.table_state());
    case PlacementMessage::kVersionQuery:
      ReportVersion(aCopy, aSender, effects);
      return effects;
    case PlacementMessage::kTableRequest:
      if (aCopy.mTable.mVersion.mEpoch == 0) {
        return effects; // This instance has no table either.
      }
      *answer.mutable_table_state() = EncodeState(aCopy.mTable);
      effects.mSend.push_back({ aSender, std::move(answer) });
      return effects;
    default:
      return absl::InvalidArgumentError("no table message");
  }
}

} // namespace Placement
