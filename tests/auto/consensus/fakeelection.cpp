#include "fakeelection.h"

#include <algorithm>

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr microseconds kStep(100);
/// Interval between the ticks of the driver (src/libs/control/logdriver.cpp).
constexpr milliseconds kTickInterval(25);
constexpr uint64_t kStoragePerInstance = 100;

Consensus::Restored
MakeRestored(uint32_t aInstance, uint32_t aReplicas)
{
  Consensus::Entry first;
  first.set_term(1);
  first.set_index(1);
  first.set_kind(lw::consensus::MEMBERSHIP);
  for (uint32_t instance = 1; instance <= aReplicas; ++instance) {
    lw::consensus::Replica* replica = first.mutable_membership()->add_replicas();
    replica->set_instance(instance);
    replica->set_storage(instance * kStoragePerInstance);
    replica->set_voter(true);
  }
  Consensus::Restored restored;
  restored.mHardState = { Consensus::StorageId(aInstance * kStoragePerInstance),
                          FakeElection::kStartTerm,
                          Consensus::StorageId() };
  restored.mEntries = { first };
  return restored;
}

} // namespace

FakeElection::FakeElection(uint64_t aSeed, const ElectionModel& aModel)
  : mModel(aModel)
  , mRandom{ aSeed }
{
  for (uint32_t instance = 1; instance <= aModel.mReplicas; ++instance) {
    Process& process = mProcesses[instance];
    process.mSettings.mSelf = Base::InstanceId(instance);
    for (uint32_t other = 1; other <= aModel.mReplicas; ++other) {
      process.mSettings.mInstances.emplace_back(other);
    }
    process.mRandom.mState = Base::NextRandom(mRandom);
    process.mStart = mNow + Between(Base::Duration(0), aModel.mStartSpread);
  }
}

Consensus::Context
FakeElection::Context(Process& aProcess)
{
  return { mNow, aProcess.mSettings, aProcess.mRandom };
}

Base::Duration
FakeElection::Between(Base::Duration aMin, Base::Duration aMax)
{
  const auto spread = static_cast<uint64_t>((aMax - aMin).count());
  return aMin + Base::Duration(static_cast<int64_t>(Base::NextBelow(mRandom, spread + 1)));
}

void
FakeElection::Step()
{
  mNow += kStep;
  DeliverMessages();
  for (auto& [instance, process] : mProcesses) {
    Run(process);
  }
  CheckLeaders();
}

bool
FakeElection::RunUntilLeader(Base::Duration aBound)
{
  const Base::TimePoint end = mNow + aBound;
  while (Leader() == 0 && mNow < end) {
    Step();
  }
  return Leader() != 0;
}

bool
FakeElection::RunUntilCommitted(Base::Duration aBound)
{
  const Base::TimePoint end = mNow + aBound;
  const auto committed = [this] {
    return Leader() != 0 && Node(Leader()).mCommitIndex >= Node(Leader()).mTermStartIndex;
  };
  while (!committed() && mNow < end) {
    Step();
  }
  return committed();
}

uint32_t
FakeElection::RunUntilVoteIsGranted()
{
  for (;; Step()) {
    for (const auto& [instance, process] : mProcesses) {
      const auto votedFor =
        static_cast<uint32_t>(process.mNode.mHardState.mVotedFor.mValue / kStoragePerInstance);
      if (votedFor != 0 && votedFor != instance) {
        return votedFor;
      }
    }
  }
}

void
FakeElection::Crash(uint32_t aInstance)
{
  mProcesses.at(aInstance).mCrashed = true;
}

void
FakeElection::DelayStart(uint32_t aInstance, Base::Duration aDelay)
{
  mProcesses.at(aInstance).mStart += aDelay;
}

void
FakeElection::DeliverMessages()
{
  while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
    const Consensus::Message message = mInFlight.begin()->second;
    mInFlight.erase(mInFlight.begin());
    Process& receiver = mProcesses.at(message.to());
    if (receiver.mStarted && !mProcesses.at(message.from()).mCrashed) {
      receiver.mInbox.push_back(message);
    }
  }
}

void
FakeElection::Run(Process& aProcess)
{
  if (aProcess.mCrashed || mNow < aProcess.mStart || mNow < aProcess.mBusyUntil) {
    return;
  }
  if (!aProcess.mStarted) {
    aProcess.mStarted = true;
    const uint32_t instance = aProcess.mSettings.mSelf.mValue;
    aProcess.mNode =
      Consensus::Restore(Context(aProcess), MakeRestored(instance, mModel.mReplicas));
  }
  if (aProcess.mSyncing.has_value()) {
    const Consensus::Entry synced = *aProcess.mSyncing;
    aProcess.mSyncing.reset();
    Perform(
      aProcess,
      Consensus::EntriesSynced(aProcess.mNode, Context(aProcess), synced.index(), synced.term()));
  }
  while (!aProcess.mInbox.empty() && mNow >= aProcess.mBusyUntil) {
    const Consensus::Message message = aProcess.mInbox.front();
    aProcess.mInbox.erase(aProcess.mInbox.begin());
    Perform(aProcess, Consensus::Receive(aProcess.mNode, Context(aProcess), message));
  }
  if (mNow >= aProcess.mNextTick && mNow >= aProcess.mBusyUntil) {
    aProcess.mNextTick = mNow + kTickInterval;
    Perform(aProcess, Consensus::Tick(aProcess.mNode, Context(aProcess)));
  }
}

void
FakeElection::Perform(Process& aProcess, const Consensus::Output& aOutput)
{
  if (aOutput.mHardState.has_value()) {
    aProcess.mBusyUntil = mNow + Between(mModel.mMinSync, mModel.mMaxSync);
  }
  const Base::TimePoint sent = std::max(mNow, aProcess.mBusyUntil);
  for (const Consensus::Message& message : aOutput.mMessages) {
    const Base::Duration delay = Between(mModel.mMinDelay, mModel.mMaxDelay);
    if (Base::NextBelow(mRandom, 1000) >= mModel.mLossPermille) {
      mInFlight.emplace(sent + delay, message);
    }
  }
  if (!aOutput.mAppend.empty()) {
    aProcess.mSyncing = aOutput.mAppend.back();
    aProcess.mBusyUntil = sent + Between(mModel.mMinSync, mModel.mMaxSync);
  }
}

void
FakeElection::CheckLeaders()
{
  for (const auto& [instance, process] : mProcesses) {
    if (process.mNode.mRole != Consensus::Role::Leader) {
      continue;
    }
    const Consensus::Term term = process.mNode.mHardState.mTerm;
    const auto [position, first] = mLeaderOfTerm.try_emplace(term, instance);
    mTwoLeaders = mTwoLeaders || position->second != instance;
  }
}

uint32_t
FakeElection::Leader() const
{
  uint32_t leader = 0;
  Consensus::Term term = 0;
  for (const auto& [instance, process] : mProcesses) {
    const Consensus::Node& node = process.mNode;
    if (!process.mCrashed && node.mRole == Consensus::Role::Leader &&
        node.mHardState.mTerm > term) {
      leader = instance;
      term = node.mHardState.mTerm;
    }
  }
  return leader;
}

Base::Duration
FakeElection::SinceMajority() const
{
  std::vector<Base::TimePoint> starts;
  for (const auto& [instance, process] : mProcesses) {
    starts.push_back(process.mStart);
  }
  std::sort(starts.begin(), starts.end());
  return mNow - starts[mModel.mReplicas / 2];
}
