#pragma once

#include "consensus/node.h"
#include "storage/directory.h"

#include <functional>
#include <string>
#include <vector>

namespace Replication {

/// Callbacks through which a replica sends messages and accesses the state machine.
struct ReplicaPorts
{
  std::function<void(const Consensus::Message&)> mSend;
  /// Applies a committed entry; called in log order.
  std::function<void(const Consensus::Entry&)> mApply;
  /// Replaces the state machine with the state of a snapshot, or with the initial state if aState
  /// is empty.
  std::function<absl::Status(const std::string& aState)> mLoadState;
  std::function<std::string()> mSaveState;
  std::function<void(uint64_t aReadId, bool aConfirmed)> mFinishRead;
  /// Called when the data directory has failed. The replica stops participating after that.
  std::function<void(const absl::Status&)> mReportFailure;
};

/// A consensus node and its data directory. Owned by the thread that runs it.
struct Replica
{
  Consensus::Settings mSettings;
  Consensus::Node mNode;
  Storage::Directory mDirectory;
  Base::RandomSource mRandom;
  ReplicaPorts mPorts;
};

/// Opens the data directory and loads the snapshot, or the initial state if there is none, into the
/// state machine.
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
MakeContext(Replica& aReplica, Base::TimePoint aNow);

/// Carries out the actions in aOutput and those that result from them. A message that confirms a
/// term, a vote or an entry is sent only after that data is synced.
void
Perform(Replica& aReplica, Base::TimePoint aNow, Consensus::Output aOutput);

} // namespace Replication
