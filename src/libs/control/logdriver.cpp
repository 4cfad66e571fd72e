#include "control/logdriver.h"

#include "absl/strings/str_cat.h"
#include "base/zmqpoll.h"
#include "config/validation.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace Control {

namespace {

using std::chrono::milliseconds;

/// A quarter of the default heartbeat interval.
constexpr milliseconds kTickInterval{ 25 };
constexpr milliseconds kReleaseInterval{ 1000 };
/// Limits how long a stop waits for another leader and for the removal from the membership.
constexpr milliseconds kStopTimeout{ 2000 };
/// Maximum number of messages handled before timers and requests are processed.
constexpr int kMaxMessagesPerIteration = 256;

absl::Status
NotLeaderError()
{
  return absl::UnavailableError("this control instance is not the leader");
}

uint64_t
WallClockMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

LogDriver::LogDriver(const ControlSettings& aSettings, ConfigStore& aStore, uint64_t aSeed)
  : mSettings(aSettings)
  , mStore(aStore)
  , mRandom{ aSeed }
{
}

LogDriver::~LogDriver()
{
  Stop();
}

absl::Status
LogDriver::Start()
{
  const absl::Status locked = mLock.Acquire(mSettings.mDataDirectory);
  if (!locked.ok()) {
    return locked;
  }
  const absl::Status opened = OpenReplica(mSettings.mConsensus);
  if (!opened.ok()) {
    return opened;
  }
  try {
    mPeers = std::make_unique<PeerSockets>(mContext, mSettings);
  } catch (const zmq::error_t& error) {
    return absl::UnavailableError(
      absl::StrCat("cannot listen on ", Base::ToString(mSettings.mPeerListen), ": ", error.what()));
  }
  ConnectToMembers();
  PublishStatus();
  mThread = std::thread([this] { Run(); });
  return absl::OkStatus();
}

void
LogDriver::ConnectToMembers()
{
  for (const lw::consensus::Replica& member :
       Consensus::CurrentMembership(mReplica.mNode).replicas()) {
    mPeers->Connect(Base::InstanceId(member.instance()));
  }
}

void
LogDriver::Stop()
{
  mStopping = true;
  mQueue.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

ChangeOutcome
LogDriver::Apply(const lw::config::Change& aChange, Base::Duration aLimit)
{
  return mQueue.Submit(Config::MakeCommand(aChange, WallClockMs()), aLimit);
}

void
LogDriver::Apply(const lw::config::Change& aChange,
                 FinishCallback aFinish,
                 WithdrawalCheck aIsWithdrawn)
{
  mQueue.Submit(
    Config::MakeCommand(aChange, WallClockMs()), std::move(aFinish), std::move(aIsWithdrawn));
}

void
LogDriver::ConfirmRead(FinishCallback aFinish)
{
  mQueue.Submit("", std::move(aFinish));
}

void
LogDriver::SetPeerInstances(std::vector<Base::InstanceId> aInstances)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mNewPeerInstances = std::move(aInstances);
}

bool
LogDriver::IsResponsive(Base::Duration aLimit) const
{
  const Base::TimePoint turn(Base::Duration(mLastIteration.load()));
  return Base::RuntimeClock::now() - turn < aLimit;
}

absl::Status
LogDriver::ConfirmRead(Base::Duration aLimit)
{
  return mQueue.Submit("", aLimit).mStatus;
}

Replication::ReplicaPorts
LogDriver::MakePorts()
{
  Replication::ReplicaPorts ports;
  ports.mSend = [this](const Consensus::Message& aMessage) { mPeers->Send(aMessage); };
  ports.mApply = [this](const Consensus::Entry& aEntry) { Apply(aEntry); };
  ports.mLoadState = [this](const std::string& aState) { return mStore.Load(aState); };
  ports.mSaveState = [this] { return mStore.Save(); };
  ports.mFinishRead = [this](uint64_t aReadId, bool aConfirmed) {
    FinishRead(aReadId, aConfirmed);
  };
  ports.mReportFailure = [this](const absl::Status& aStatus) {
    mFailure = aStatus;
    LOG(ERROR) << "[storage] " << aStatus.message() << ". Nothing is acknowledged any more.";
  };
  return ports;
}

void
LogDriver::Run()
{
  while (!mDone) {
    WaitForEvents();
    mLastIteration = Base::RuntimeClock::now().time_since_epoch().count();
    UpdatePeerInstances();
    RecoverReplica();
    ReceiveMessages();
    TakeRequests();
    if (Base::RuntimeClock::now() >= mNextTick) {
      Tick();
    }
    if (mReplica.mNode.mRole != Consensus::Role::Leader) {
      mPending.FailAll();
    }
    PublishStatus();
  }
  RejectPendingRequests();
}

void
LogDriver::WaitForEvents()
{
  zmq::pollitem_t items[] = {
    { mPeers->Incoming().handle(), 0, ZMQ_POLLIN, 0 },
    { nullptr, mQueue.Descriptor(), ZMQ_POLLIN, 0 },
  };
  const auto left = std::chrono::duration_cast<milliseconds>(mNextTick - Base::RuntimeClock::now());
  Base::PollSockets(items, 2, std::max(left, milliseconds(0)));
}

void
LogDriver::ReceiveMessages()
{
  for (int i = 0; i < kMaxMessagesPerIteration; ++i) {
    const std::optional<Consensus::Message> message = mPeers->Receive();
    if (!message.has_value()) {
      return;
    }
    if (message->has_reports()) {
      mStore.AddReports(message->reports());
      continue;
    }
    if (IsRetirementNotice(*message)) {
      if (mStopping) {
        LOG(INFO) << "[control] Left the membership before the stop.";
        mDone = true;
      } else {
        Rejoin();
      }
      return;
    }
    const Base::TimePoint now = Base::RuntimeClock::now();
    Replication::Perform(
      mReplica,
      now,
      Consensus::Receive(mReplica.mNode, Replication::MakeContext(mReplica, now), *message));
  }
}

void
LogDriver::TakeRequests()
{
  std::vector<RequestPtr> changes;
  std::vector<RequestPtr> reads;
  for (RequestPtr& request : mQueue.Take()) {
    if (request->mIsWithdrawn && request->mIsWithdrawn()) {
      request->mFinish({ absl::CancelledError("the requester has withdrawn the change"), {}, 0 });
      continue;
    }
    (request->mCommand.empty() ? reads : changes).push_back(std::move(request));
  }
  if (!changes.empty()) {
    ProposeChanges(changes);
  }
  if (!reads.empty()) {
    StartReads(std::move(reads));
  }
}

void
LogDriver::ProposeChanges(const std::vector<RequestPtr>& aRequests)
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  std::vector<std::string> commands;
  commands.reserve(aRequests.size());
  for (const RequestPtr& request : aRequests) {
    commands.push_back(request->mCommand);
  }
  Consensus::Output output;
  const absl::StatusOr<Consensus::LogIndex> first =
    Consensus::Propose(mReplica.mNode, Replication::MakeContext(mReplica, now), commands, output);
  Consensus::LogIndex index = first.value_or(0);
  for (const RequestPtr& request : aRequests) {
    if (first.ok()) {
      mPending.Add(index++, mReplica.mNode.mHardState.mTerm, request);
    } else {
      request->mFinish({ NotLeaderError(), {}, 0 });
    }
  }
  Replication::Perform(mReplica, now, std::move(output));
}

void
LogDriver::StartReads(std::vector<RequestPtr> aRequests)
{
  const uint64_t readId = ++mNextReadId;
  mReads[readId] = std::move(aRequests);
  const Base::TimePoint now = Base::RuntimeClock::now();
  Replication::Perform(
    mReplica,
    now,
    Consensus::RequestRead(mReplica.mNode, Replication::MakeContext(mReplica, now), readId));
}

void
LogDriver::Tick()
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  mNextTick = now + kTickInterval;
  Replication::Perform(
    mReplica, now, Consensus::Tick(mReplica.mNode, Replication::MakeContext(mReplica, now)));
  ShareReports();
  if (now >= mNextRelease) {
    mNextRelease = now + kReleaseInterval;
    ReleaseAddresses();
  }
  if (mStopping) {
    AdvanceStop();
  }
}

void
LogDriver::ShareReports()
{
  const lw::consensus::Reports reports = mStore.TakeReportsToShare();
  if (reports.reports().empty()) {
    return;
  }
  for (const Base::InstanceId peer : mReplica.mSettings.mInstances) {
    Consensus::Message message;
    message.set_from(mSettings.mInstance.mValue);
    message.set_to(peer.mValue);
    *message.mutable_reports() = reports;
    mPeers->Send(message);
  }
}

void
LogDriver::ReleaseAddresses()
{
  if (mReplica.mNode.mRole != Consensus::Role::Leader) {
    return;
  }
  const lw::config::ReleasedAddresses released = mStore.ReleasableAddresses();
  if (released.addresses().empty()) {
    return;
  }
  lw::config::Change change;
  change.set_operator_id(Config::kControlOperatorId);
  *change.mutable_release_addresses() = released;
  auto request = std::make_shared<Request>();
  request->mCommand = Config::MakeCommand(change, WallClockMs());
  ProposeChanges({ request });
  LOG(INFO) << "[control] Releasing " << released.addresses_size() << " retired addresses.";
}

void
LogDriver::AdvanceStop()
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  const Consensus::Context context = Replication::MakeContext(mReplica, now);
  if (mStopDeadline == Base::TimePoint()) {
    mStopDeadline = now + kStopTimeout;
    Consensus::StartLeaving(mReplica.mNode, context);
  }
  const bool alone = Consensus::CurrentMembership(mReplica.mNode).replicas_size() <= 1;
  const bool leads = mReplica.mNode.mRole == Consensus::Role::Leader;
  const bool awaitsRemoval = Consensus::AwaitsRemoval(mReplica.mNode, mReplica.mSettings);
  if (alone || now >= mStopDeadline || (!leads && !awaitsRemoval)) {
    mDone = true;
    return;
  }
  if (leads) {
    Replication::Perform(mReplica, now, Consensus::TransferLeadership(mReplica.mNode, context));
  }
}

void
LogDriver::Apply(const Consensus::Entry& aEntry)
{
  absl::StatusOr<Base::ConfigVersion> version = Base::ConfigVersion();
  if (aEntry.kind() == lw::consensus::COMMAND) {
    version = mStore.ApplyCommand(aEntry.command());
  }
  mPending.Finish(aEntry.index(),
                  aEntry.term(),
                  { version.status(), version.value_or(Base::ConfigVersion()), mStore.Version() });
}

void
LogDriver::FinishRead(uint64_t aReadId, bool aConfirmed)
{
  const auto found = mReads.find(aReadId);
  if (found == mReads.end()) {
    return;
  }
  for (const RequestPtr& request : found->second) {
    request->mFinish({ aConfirmed ? absl::OkStatus() : NotLeaderError(), {}, 0 });
  }
  mReads.erase(found);
}

void
LogDriver::RejectPendingRequests()
{
  mPending.FailAll();
  while (!mReads.empty()) {
    FinishRead(mReads.begin()->first, false);
  }
  for (const RequestPtr& request : mQueue.Take()) {
    request->mFinish({ NotLeaderError(), {}, 0 });
  }
}

} // namespace Control
