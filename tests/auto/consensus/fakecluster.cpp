#include "fakecluster.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include <algorithm>

namespace {

constexpr std::chrono::milliseconds kStep(5);
constexpr uint64_t kMaxDelayMs = 20;

} // namespace

FakeCluster::FakeCluster(uint64_t aSeed, uint32_t aInstances)
  : mRandom{ aSeed }
{
  mSettings.mSnapshotInterval = 50;
  mSettings.mRetainedEntries = 20;
  mSettings.mSnapshotPieceBytes = 256;
  for (uint32_t instance = 1; instance <= aInstances; ++instance) {
    mSettings.mInstances.emplace_back(instance);
    mDisks[instance] = std::make_unique<FakeDisk>(aSeed * 10 + instance);
  }
}

void
FakeCluster::Run(Base::Duration aDuration)
{
  const Base::TimePoint end = mNow + aDuration;
  while (mNow < end) {
    Step();
  }
}

bool
FakeCluster::RunUntil(const std::function<bool()>& aCondition, Base::Duration aBound)
{
  const Base::TimePoint end = mNow + aBound;
  while (!aCondition() && mNow < end) {
    Step();
  }
  return aCondition();
}

Replication::ReplicaPorts
FakeCluster::MakePorts(uint32_t aInstance, Process& aProcess)
{
  Replication::ReplicaPorts ports;
  ports.mSend = [this](const Consensus::Message& aMessage) { Send(aMessage); };
  ports.mApply = [this, &aProcess](const Consensus::Entry& aEntry) { Apply(aProcess, aEntry); };
  ports.mLoadState = [&aProcess](const std::string& aState) {
    aProcess.mApplied = absl::StrSplit(aState, ',', absl::SkipEmpty());
    return absl::OkStatus();
  };
  ports.mSaveState = [&aProcess] { return absl::StrJoin(aProcess.mApplied, ","); };
  ports.mFinishRead = [this, &aProcess, aInstance](uint64_t aRead, bool aConfirmed) {
    const size_t expected = aProcess.mReadsInProgress[aRead];
    aProcess.mReadsInProgress.erase(aRead);
    mReads += aConfirmed ? 1 : 0;
    if (aConfirmed && aProcess.mApplied.size() < expected) {
      RecordViolation(absl::StrCat("read at ", aInstance, " is older than an acknowledged change"));
    }
  };
  ports.mReportFailure = [&aProcess](const absl::Status&) { aProcess.mPendingProposals.clear(); };
  return ports;
}

void
FakeCluster::Start(uint32_t aInstance)
{
  auto process = std::make_unique<Process>();
  Consensus::Settings settings = mSettings;
  settings.mSelf = Base::InstanceId(aInstance);
  std::vector<std::string> notices;
  absl::StatusOr<Replication::Replica> replica =
    Replication::OpenReplica(settings,
                             mDisks[aInstance]->Port(),
                             "/data",
                             MakePorts(aInstance, *process),
                             Base::RandomSource{ Base::NextRandom(mRandom) },
                             mNow,
                             notices);
  if (!replica.ok()) {
    RecordViolation(
      absl::StrCat("instance ", aInstance, " cannot start: ", replica.status().message()));
    return;
  }
  process->mReplica = *std::move(replica);
  mProcesses[aInstance] = std::move(process);
}

void
FakeCluster::Crash(uint32_t aInstance)
{
  mProcesses.erase(aInstance);
  mDisks[aInstance]->Crash();
}

void
FakeCluster::Leave(uint32_t aInstance, Base::Duration aBound)
{
  Replication::Replica& replica = mProcesses.at(aInstance)->mReplica;
  const Consensus::StorageId storage = replica.mNode.mHardState.mStorage;
  Consensus::StartLeaving(replica.mNode, Replication::MakeContext(replica, mNow));
  const auto hasLeft = [&] {
    const bool leads = replica.mNode.mRole == Consensus::Role::Leader;
    if (leads) {
      Replication::Perform(
        replica,
        mNow,
        Consensus::TransferLeadership(replica.mNode, Replication::MakeContext(replica, mNow)));
    }
    const bool removed =
      Leader() != 0 && Consensus::IsRetired(Consensus::CurrentMembership(Node(Leader())), storage);
    return removed || (!leads && !Consensus::AwaitsRemoval(replica.mNode, replica.mSettings));
  };
  RunUntil(hasLeft, aBound);
  Crash(aInstance);
}

bool
FakeCluster::IsRunning(uint32_t aInstance) const
{
  return mProcesses.count(aInstance) != 0;
}

void
FakeCluster::SetIsolated(uint32_t aInstance, bool aIsolated)
{
  if (aIsolated) {
    mIsolated.insert(aInstance);
  } else {
    mIsolated.erase(aInstance);
  }
}

bool
FakeCluster::Propose(uint32_t aInstance)
{
  if (!IsRunning(aInstance)) {
    return false;
  }
  Process& process = *mProcesses[aInstance];
  const std::string command = absl::StrCat("c", ++mNextCommand);
  Consensus::Output output;
  const absl::StatusOr<Consensus::LogIndex> index = Consensus::Propose(
    process.mReplica.mNode, Replication::MakeContext(process.mReplica, mNow), { command }, output);
  if (!index.ok()) {
    return false;
  }
  process.mPendingProposals[*index] = command;
  Replication::Perform(process.mReplica, mNow, std::move(output));
  return true;
}

void
FakeCluster::Read(uint32_t aInstance)
{
  if (!IsRunning(aInstance)) {
    return;
  }
  Process& process = *mProcesses[aInstance];
  const uint64_t read = ++mNextRead;
  process.mReadsInProgress[read] = mAcknowledgedLength;
  Replication::Perform(process.mReplica,
                       mNow,
                       Consensus::RequestRead(process.mReplica.mNode,
                                              Replication::MakeContext(process.mReplica, mNow),
                                              read));
}

void
FakeCluster::Apply(Process& aProcess, const Consensus::Entry& aEntry)
{
  const std::string& command = aEntry.command();
  const auto [position, first] = mCommitted.try_emplace(aEntry.index(), command);
  if (position->second != command) {
    RecordViolation(absl::StrCat(
      "index ", aEntry.index(), " was applied as ", position->second, " and as ", command));
  }
  if (aEntry.kind() == lw::consensus::COMMAND) {
    aProcess.mApplied.push_back(command);
  }
  const auto waiting = aProcess.mPendingProposals.find(aEntry.index());
  if (waiting == aProcess.mPendingProposals.end()) {
    return;
  }
  if (waiting->second == command) {
    ++mAcknowledged;
    mAcknowledgedAt[aEntry.index()] = command;
    mAcknowledgedLength = std::max(mAcknowledgedLength, aProcess.mApplied.size());
  }
  aProcess.mPendingProposals.erase(waiting);
}

void
FakeCluster::Send(const Consensus::Message& aMessage)
{
  ++mMessages;
  mMessageBytes += aMessage.ByteSizeLong();
  const uint64_t copies = Base::NextBelow(mRandom, 1000) < mDuplicatePermille ? 2 : 1;
  for (uint64_t i = 0; i < copies; ++i) {
    const std::chrono::milliseconds delay(1 + Base::NextBelow(mRandom, kMaxDelayMs));
    if (Base::NextBelow(mRandom, 1000) >= mLossPermille) {
      mInFlight.emplace(mNow + delay, aMessage);
    }
  }
}

void
FakeCluster::Step()
{
  mNow += kStep;
  while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
    const Consensus::Message message = mInFlight.begin()->second;
    mInFlight.erase(mInFlight.begin());
    const auto receiver = mProcesses.find(message.to());
    if (receiver == mProcesses.end() || mIsolated.count(message.to()) != 0 ||
        mIsolated.count(message.from()) != 0) {
      continue;
    }
    Replication::Replica& replica = receiver->second->mReplica;
    Replication::Perform(
      replica,
      mNow,
      Consensus::Receive(replica.mNode, Replication::MakeContext(replica, mNow), message));
    CheckLeaders();
  }
  for (const auto& [instance, process] : mProcesses) {
    Replication::Replica& replica = process->mReplica;
    Replication::Perform(
      replica, mNow, Consensus::Tick(replica.mNode, Replication::MakeContext(replica, mNow)));
  }
  CheckLeaders();
}

void
FakeCluster::CheckLeaders()
{
  for (const auto& [instance, process] : mProcesses) {
    const Consensus::Node& node = process->mReplica.mNode;
    if (node.mRole != Consensus::Role::Leader) {
      continue;
    }
    const uint64_t storage = node.mHardState.mStorage.mValue;
    const auto [position, first] = mLeaderOfTerm.try_emplace(node.mHardState.mTerm, storage);
    if (position->second != storage) {
      RecordViolation(absl::StrCat("two leaders in term ", node.mHardState.mTerm));
    }
  }
}

uint32_t
FakeCluster::Leader() const
{
  uint32_t leader = 0;
  Consensus::Term term = 0;
  for (const auto& [instance, process] : mProcesses) {
    const Consensus::Node& node = process->mReplica.mNode;
    if (node.mRole == Consensus::Role::Leader && node.mHardState.mTerm > term &&
        mIsolated.count(instance) == 0) {
      leader = instance;
      term = node.mHardState.mTerm;
    }
  }
  return leader;
}

Consensus::Term
FakeCluster::Term(uint32_t aInstance) const
{
  return Node(aInstance).mHardState.mTerm;
}

const Consensus::Node&
FakeCluster::Node(uint32_t aInstance) const
{
  return mProcesses.at(aInstance)->mReplica.mNode;
}

bool
FakeCluster::HasConverged() const
{
  std::vector<std::string> commands;
  for (const auto& [index, command] : mCommitted) {
    if (!command.empty()) {
      commands.push_back(command);
    }
  }
  for (const auto& [index, command] : mAcknowledgedAt) {
    if (mCommitted.at(index) != command) {
      return false;
    }
  }
  return std::all_of(mProcesses.begin(), mProcesses.end(), [&](const auto& aItem) {
    return aItem.second->mApplied == commands;
  });
}

void
FakeCluster::RecordViolation(const std::string& aViolation)
{
  if (mViolation.empty()) {
    mViolation = aViolation;
  }
}
