#pragma once

#include "consensus/node.h"
#include "storage/directory.h"

#include <functional>
#include <string>
#include <vector>

namespace Replication {

/// Where a replica's decisions go.
struct ReplicaPorts
{
  std::function<void(const Consensus::Message&)> mSend;
  /// Applies a committed entry; called in log order.
  std::function<void(const Consensus::Entry&)> mApply;
  /// Replaces the state machine by a snapshot's state.
  std::function<absl::Status(const std::string& aState)> mLoadState;
  std::function<std::string()> mSaveState;
  std::function<void(uint64_t aReadId, bool aConfirmed)> mFinishRead;
  /// The data directory has failed; the replica takes part in nothing any more.
  std::function<void(const absl::Status&)> mReportFailure;
};

/// A consensus node with its data directory. Owned by the thread that drives it.
struct Replica
{
  Consensus::Settings mSettings;
  Consensus::Node mNode;
  Storage::Directory mDirectory;
  Base::RandomSource mRandom;
  ReplicaPorts mPorts;
};

/// Opens the data directory and loads the snapshot into the state machine.
/// \param aNotices receives one line for each repair.
/// \return the replica, or the error of the storage or of mLoadState.
absl::StatusOr<Replica>
OpenReplica(const Consensus::Settings& aSettings,
            const Storage::FilePort& aFiles,
            const std::string& aPath,
            const ReplicaPorts& aPorts,
            Base::RandomSource aRandom,
            Base::TimePoint aNow,
            std::vector<std::string>& aNotices);

Consensus::Context
ContextOf(Replica& aReplica, Base::TimePoint aNow);

/// Carries out what a step of the node asks for, and the steps that follow from it. Messages that
/// promise something leave only after it is synced.
void
Perform(Replica& aReplica, Base::TimePoint aNow, Consensus::Output aOutput);

} // namespace Replication
