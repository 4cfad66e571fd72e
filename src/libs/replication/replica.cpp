#include "replication/replica.h"

#include <utility>

namespace Replication {

namespace {

/// Applies committed entries and completes reads.
void
ApplyAndFinishReads(Replica& aReplica, const Consensus::Output& aOutput)
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

/// Stops the replica if aStatus is an error.
/// \return true if aStatus is OK.
bool
StopOnFailure(Replica& aReplica, const absl::Status& aStatus)
{
  if (!aStatus.ok() && !aReplica.mNode.mFailed) {
    ApplyAndFinishReads(aReplica, Consensus::StorageFailed(aReplica.mNode));
    aReplica.mPorts.mReportFailure(aStatus);
  }
  return aStatus.ok();
}

bool
StoreAndLoadSnapshot(Replica& aReplica, const Consensus::Output& aOutput)
{
  const Consensus::Snapshot& snapshot = *aOutput.mInstall;
  return StopOnFailure(
           aReplica,
           Storage::InstallSnapshot(aReplica.mDirectory, snapshot, aOutput.mInstallKeepsLog)) &&
         StopOnFailure(aReplica, aReplica.mPorts.mLoadState(snapshot.state()));
}

void
TakeSnapshotIfDue(Replica& aReplica)
{
  if (aReplica.mNode.mFailed || !Consensus::IsSnapshotDue(aReplica.mNode, aReplica.mSettings)) {
    return;
  }
  Consensus::Snapshot snapshot =
    Consensus::MakeSnapshot(aReplica.mNode, aReplica.mPorts.mSaveState());
  const Consensus::LogIndex compacted =
    Consensus::CompactionIndex(aReplica.mNode, aReplica.mSettings, snapshot);
  if (StopOnFailure(aReplica, Storage::SaveSnapshot(aReplica.mDirectory, snapshot, compacted))) {
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
  absl::StatusOr<Storage::OpenResult> opened = Storage::Open(aFiles, aPath, newStorage);
  if (!opened.ok()) {
    return opened.status();
  }
  aNotices = std::move(opened->mNotices);
  // Also without a snapshot: after a failed write the directory is opened again, and the entries
  // must not be applied to a state that contains them already.
  const absl::Status loaded = aPorts.mLoadState(opened->mRestored.mSnapshot.state());
  if (!loaded.ok()) {
    return loaded;
  }
  Replica replica;
  replica.mSettings = aSettings;
  replica.mDirectory = std::move(opened->mDirectory);
  replica.mRandom = aRandom;
  replica.mPorts = aPorts;
  replica.mNode = Consensus::Restore(MakeContext(replica, aNow), std::move(opened->mRestored));
  return replica;
}

Consensus::Context
MakeContext(Replica& aReplica, Base::TimePoint aNow)
{
  return { aNow, aReplica.mSettings, aReplica.mRandom };
}

void
Perform(Replica& aReplica, Base::TimePoint aNow, Consensus::Output aOutput)
{
  // Each output contains at most one write, of entries or of a snapshot. Reporting its completion
  // produces the next output, so the loop ends when nothing is left to write.
  for (bool more = true; more;) {
    more = false;
    if (aOutput.mHardState.has_value() &&
        !StopOnFailure(aReplica,
                       Storage::SaveHardState(aReplica.mDirectory, *aOutput.mHardState))) {
      return;
    }
    // Sent before the entries are synced, so that the followers write at the same time. No message
    // in this output confirms these entries.
    for (const Consensus::Message& message : aOutput.mMessages) {
      aReplica.mPorts.mSend(message);
    }
    ApplyAndFinishReads(aReplica, aOutput);
    const Consensus::Context context = MakeContext(aReplica, aNow);
    if (aOutput.mInstall.has_value()) {
      if (!StoreAndLoadSnapshot(aReplica, aOutput)) {
        return;
      }
      aOutput = Consensus::SnapshotInstalled(aReplica.mNode, context, *aOutput.mInstall);
      more = true;
    } else if (!aOutput.mAppend.empty()) {
      const Consensus::Entry last = aOutput.mAppend.back();
      if (!StopOnFailure(aReplica, Storage::AppendEntries(aReplica.mDirectory, aOutput.mAppend))) {
        return;
      }
      aOutput = Consensus::EntriesSynced(aReplica.mNode, context, last.index(), last.term());
      more = true;
    }
  }
  TakeSnapshotIfDue(aReplica);
}

} // namespace Replication
