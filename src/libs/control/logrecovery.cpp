#include "control/logdriver.h"

#include "storage/directory.h"

#include <glog/logging.h>

#include <chrono>
#include <utility>

namespace Control {

namespace {

/// Interval between attempts to reopen a data directory after a failed write.
constexpr std::chrono::milliseconds kRecoveryInterval{ 500 };

} // namespace

absl::Status
LogDriver::OpenReplica(const Consensus::Settings& aSettings)
{
  std::vector<std::string> notices;
  absl::StatusOr<Replication::Replica> replica =
    Replication::OpenReplica(aSettings,
                             PosixFiles(),
                             mSettings.mDataDirectory,
                             MakePorts(),
                             Base::RandomSource{ Base::NextRandom(mRandom) },
                             Base::RuntimeClock::now(),
                             notices);
  for (const std::string& notice : notices) {
    LOG(WARNING) << "[storage] " << notice << ".";
  }
  if (!replica.ok()) {
    return replica.status();
  }
  mReplica = *std::move(replica);
  mFailure = absl::OkStatus();
  return absl::OkStatus();
}

void
LogDriver::UpdatePeerInstances()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!mNewPeerInstances.empty()) {
    mReplica.mSettings.mInstances = std::exchange(mNewPeerInstances, {});
  }
}

void
LogDriver::RecoverReplica()
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  if (!mReplica.mNode.mFailed || now < mNextRecovery) {
    return;
  }
  mNextRecovery = now + kRecoveryInterval;
  // The state of the data after a failed write is unknown, so the whole directory is read again.
  const absl::Status opened = OpenReplica(mReplica.mSettings);
  if (opened.ok()) {
    LOG(INFO) << "[storage] Recovered the data directory.";
  } else {
    LOG(WARNING) << "[storage] Cannot recover the data directory: " << opened.message() << ".";
  }
}

bool
LogDriver::IsRetirementNotice(const Consensus::Message& aMessage) const
{
  return aMessage.has_hello_reply() && aMessage.hello_reply().retired() &&
         aMessage.to_storage() == mReplica.mNode.mHardState.mStorage.mValue;
}

void
LogDriver::Rejoin()
{
  LOG(WARNING) << "[control] This replica was removed from the membership. Joining as a new one.";
  mPending.FailAll();
  absl::Status status = Storage::Clear(PosixFiles(), mSettings.mDataDirectory);
  if (status.ok()) {
    Consensus::Settings settings = mReplica.mSettings;
    settings.mCanFormCluster = false;
    status = OpenReplica(settings);
  }
  if (!status.ok()) {
    LOG(ERROR) << "[storage] Cannot restart as a new replica: " << status.message() << ".";
    mReplica.mNode.mFailed = true;
  }
}

} // namespace Control
