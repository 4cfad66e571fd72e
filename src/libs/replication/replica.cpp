#include "replication/replica.h"

#include <utility>

namespace Replication {

namespace {

/// Passes on what needs no write.
void
Deliver(Replica& aReplica, const Consensus::Output& aOutput)
{
  for (const Consensus::Entry& entry : aOutput.mApply) {
    aReplica.mPorts.mApply(entry);
  }
  for (const uint64_t read : aOutput.mConfirmedReads) {
    aReplica.mPorts.mFinishRead(read, true);
  }
  for (const uint64_t read : aOutput.mFailedReads) {
    aReplica.mPorts.mFinishRead(read, false);
  }
}

/// \return false after a failure, with which the replica stops.
bool
Check(Replica& aReplica, const absl::Status& aStatus)
{
  if (!aStatus.ok() && !aReplica.mNode.mFailed) {
    Deliver(aReplica, Consensus::StorageFailed(aReplica.mNode));
    aReplica.mPorts.mReportFailure(aStatus);
  }
  return aStatus.ok();
}

bool
Install(Replica& aReplica, const Consensus::Output& aOutput)
{
  const Consensus::Snapshot& snapshot = *aOutput.mInstall;
  return Check(aReplica,
               Storage::InstallSnapshot(aReplica.mDirectory, snapshot, aOutput.mInstallKeepsLog)) &&
         Check(aReplica, aReplica.mPorts.mLoadState(snapshot.state()));
}

void
SnapshotIfDue(Replica& aReplica)
{
  if (aReplica.mNode.mFailed || !Consensus::IsSnapshotDue(aReplica.mNode, aReplica.mSettings)) {
    return;
  }
  Consensus::Snapshot snapshot =
    Consensus::MakeSnapshot(aReplica.mNode, aReplica.mPorts.mSaveState());
  const Consensus::LogIndex compacted = Consensus::CompactionIndex(aReplica.mSettings, snapshot);
  if (Check(aReplica, Storage::SaveSnapshot(aReplica.mDirectory, snapshot, compacted))) {
    Consensus::SnapshotStored(aReplica.mNode, aReplica.mSettings, std::move(snapshot));
  }
}

} // namespace

absl::StatusOr<Replica>
OpenReplica(const Consensus::Settings& aSettings,
            const Storage::FilePort& aFiles,
            const std::string& aPath,
            const ReplicaPorts& aPorts,
            Base::RandomSource aRandom,
            Base::TimePoint aNow,
            std::vector<std::string>& aNotices)
{
  const Consensus::StorageId newStorage(Base::NextRandom(aRandom) | 1U);
  absl::StatusOr<Storage::Opened> opened = Storage::Open(aFiles, aPath, newStorage);
  if (!opened.ok()) {
    return opened.status();
  }
  aNotices = std::move(opened->mNotices);
  const Consensus::Snapshot& snapshot = opened->mRestored.mSnapshot;
  if (snapshot.index() > 0) {
    const absl::Status loaded = aPorts.mLoadState(snapshot.state());
    if (!loaded.ok()) {
      return loaded;
    }
  }
  Replica replica;
  replica.mSettings = aSettings;
  replica.mDirectory = std::move(opened->mDirectory);
  replica.mRandom = aRandom;
  replica.mPorts = aPorts;
  replica.mNode = Consensus::Restore(ContextOf(replica, aNow), std::move(opened->mRestored));
  return replica;
}

Consensus::Context
ContextOf(Replica& aReplica, Base::TimePoint aNow)
{
  return { aNow, aReplica.mSettings, aReplica.mRandom };
}

void
Perform(Replica& aReplica, Base::TimePoint aNow, Consensus::Output aOutput)
{
  // Each step asks for at most one write of entries or of a snapshot, whose completion is the next
  // step, so the loop ends when there is nothing left to write.
  for (bool more = true; more;) {
    more = false;
    if (aOutput.mHardState.has_value() &&
        !Check(aReplica, Storage::SaveHardState(aReplica.mDirectory, *aOutput.mHardState))) {
      return;
    }
    // Sent before the entries are synced: the followers' writes run at the same time, and no
    // message of this step confirms these entries.
    for (const Consensus::Message& message : aOutput.mMessages) {
      aReplica.mPorts.mSend(message);
    }
    Deliver(aReplica, aOutput);
    const Consensus::Context context = ContextOf(aReplica, aNow);
    if (aOutput.mInstall.has_value()) {
      if (!Install(aReplica, aOutput)) {
        return;
      }
      aOutput = Consensus::SnapshotInstalled(aReplica.mNode, context, *aOutput.mInstall);
      more = true;
    } else if (!aOutput.mAppend.empty()) {
      const Consensus::Entry last = aOutput.mAppend.back();
      if (!Check(aReplica, Storage::AppendEntries(aReplica.mDirectory, aOutput.mAppend))) {
        return;
      }
      aOutput = Consensus::EntriesSynced(aReplica.mNode, context, last.index(), last.term());
      more = true;
    }
  }
  SnapshotIfDue(aReplica);
}

} // namespace Replication
