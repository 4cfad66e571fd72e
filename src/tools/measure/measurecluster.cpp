#include "measurecluster.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Measure {

namespace {

constexpr uint32_t kInstances = 3;
constexpr std::chrono::milliseconds kTickInterval{ 25 };
/// Number of services that the changes cycle through: the number of addresses in the target.
constexpr uint64_t kServices = 1800;

/// \return a change of typical size: a service with two kinds of work and one client.
std::string
MakeCommand(uint64_t aNumber)
{
  lw::config::Change change;
  change.set_base_version(aNumber - 1);
  change.set_operator_id("measure");
  change.set_request_number(aNumber);
  const uint64_t service = aNumber % kServices;
  lw::config::Service* put = change.mutable_put_service();
  put->set_name(absl::StrCat("service-", service));
  put->set_address(absl::StrCat("192.0.2.1:", 10000 + service));
  put->set_kind(lw::config::REQUEST);
  for (const char* name : { "lookup", "buyback" }) {
    lw::config::WorkKind* kind = put->add_work_kinds();
    kind->set_name(name);
    kind->set_share_permille(400);
  }
  put->add_clients()->set_client(absl::StrCat("client-", aNumber));
  return Config::MakeCommand(change, aNumber);
}

} // namespace

MeasureCluster::MeasureCluster(uint64_t aSeed,
                               std::function<Storage::FilePort(uint32_t)> aFiles,
                               std::string aFolder,
                               Base::Duration aDelay)
  : mRandom{ aSeed }
  , mFiles(std::move(aFiles))
  , mFolder(std::move(aFolder))
  , mDelay(aDelay)
{
}

Replication::ReplicaPorts
MeasureCluster::PortsOf(Process& aProcess)
{
  Replication::ReplicaPorts ports;
  ports.mSend = [this](const Consensus::Message& aMessage) {
    ++mMessages;
    mMessageBytes += aMessage.ByteSizeLong();
    mInFlight.emplace(mNow + mDelay, aMessage);
  };
  ports.mApply = [&aProcess](const Consensus::Entry& aEntry) {
    if (aEntry.kind() == lw::consensus::COMMAND) {
      Config::ApplyCommand(aProcess.mState, aEntry.command()).IgnoreError();
    }
  };
  ports.mLoadState = [&aProcess](const std::string& aState) {
    absl::StatusOr<Config::LogState> state = Config::LoadLogState(aState);
    if (!state.ok()) {
      return state.status();
    }
    aProcess.mState = *std::move(state);
    return absl::OkStatus();
  };
  ports.mSaveState = [&aProcess] { return Config::SaveLogState(aProcess.mState); };
  ports.mFinishRead = [](uint64_t, bool) {};
  ports.mReportFailure = [](const absl::Status&) {};
  return ports;
}

absl::Status
MeasureCluster::Start(uint32_t aInstance, Base::TimePoint aNow)
{
  Consensus::Settings settings;
  settings.mSelf = Base::InstanceId(aInstance);
  for (uint32_t instance = 1; instance <= kInstances; ++instance) {
    settings.mInstances.emplace_back(instance);
  }
  auto process = std::make_unique<Process>();
  std::vector<std::string> notices;
  absl::StatusOr<Replication::Replica> replica =
    Replication::OpenReplica(settings,
                             mFiles(aInstance),
                             absl::StrCat(mFolder, "/", aInstance),
                             PortsOf(*process),
                             Base::RandomSource{ Base::NextRandom(mRandom) },
                             aNow,
                             notices);
  if (!replica.ok()) {
    return replica.status();
  }
  process->mReplica = *std::move(replica);
  mProcesses[aInstance] = std::move(process);
  return absl::OkStatus();
}

void
MeasureCluster::Stop(uint32_t aInstance)
{
  mProcesses.erase(aInstance);
}

Base::TimePoint
MeasureCluster::NextEvent() const
{
  return mInFlight.empty() ? mNextTick : std::min(mNextTick, mInFlight.begin()->first);
}

void
MeasureCluster::Step(Base::TimePoint aNow)
{
  mNow = aNow;
  while (!mInFlight.empty() && mInFlight.begin()->first <= aNow) {
    const Consensus::Message message = mInFlight.begin()->second;
    mInFlight.erase(mInFlight.begin());
    const auto found = mProcesses.find(message.to());
    if (found != mProcesses.end()) {
      Replication::Replica& replica = found->second->mReplica;
      const Consensus::Context context = Replication::MakeContext(replica, aNow);
      Replication::Perform(replica, aNow, Consensus::Receive(replica.mNode, context, message));
    }
  }
  if (aNow < mNextTick) {
    return;
  }
  mNextTick = aNow + kTickInterval;
  for (const auto& [instance, process] : mProcesses) {
    Replication::Replica& replica = process->mReplica;
    const Consensus::Context context = Replication::MakeContext(replica, aNow);
    Replication::Perform(replica, aNow, Consensus::Tick(replica.mNode, context));
  }
}

uint32_t
MeasureCluster::Leader() const
{
  uint32_t leader = 0;
  Consensus::Term term = 0;
  for (const auto& [instance, process] : mProcesses) {
    const Consensus::Node& node = process->mReplica.mNode;
    if (node.mRole == Consensus::Role::Leader && node.mHardState.mTerm > term) {
      leader = instance;
      term = node.mHardState.mTerm;
    }
  }
  return leader;
}

bool
MeasureCluster::Propose(uint64_t aCount, Base::TimePoint aNow)
{
  const uint32_t leader = Leader();
  if (leader == 0) {
    return false;
  }
  mNow = aNow;
  std::vector<std::string> commands;
  for (uint64_t i = 0; i < aCount; ++i) {
    commands.push_back(MakeCommand(++mProposed));
  }
  Replication::Replica& replica = mProcesses[leader]->mReplica;
  Consensus::Output output;
  const bool proposed =
    Consensus::Propose(replica.mNode, Replication::MakeContext(replica, aNow), commands, output)
      .ok();
  Replication::Perform(replica, aNow, std::move(output));
  return proposed;
}

uint64_t
MeasureCluster::AppliedVersion() const
{
  const uint32_t leader = Leader();
  return leader == 0 ? 0 : mProcesses.at(leader)->mState.mState.version();
}

} // namespace Measure
