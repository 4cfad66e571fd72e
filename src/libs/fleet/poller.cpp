#include "fleet/poller.h"

#include "absl/strings/str_cat.h"
#include "base/endpoint.h"

#include <glog/logging.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

/// A control instance without a reply for this long is reported as lost, and its connection is
/// reopened, because a connection can hang forever while a new one works.
constexpr milliseconds kReplyTimeout{ 1300 };
/// After this time without routes, the next control instance is asked for them. The transfer of a
/// few hundred routes takes about 100 ms on the slowest links.
constexpr milliseconds kRouteFetchTimeout{ 600 };
/// Time for the packet thread to apply the received routes, so that they are not fetched again.
constexpr milliseconds kRouteFetchPause{ 20 };
/// A control instance that was found or regained is expected to be connected to the log by then.
constexpr std::chrono::seconds kStartTime{ 2 };
/// The kernel retransmits a SYN only after one second. Shorter attempts reconnect sooner after an
/// attempt to reach a machine that was powered off.
constexpr int kConnectTimeoutMs = 250;
constexpr int kReconnectMs = 50;
/// Limits the number of polled instances to the maximum number of voters of the log.
constexpr size_t kMaxTargets = 9;

} // namespace

Poller::Poller(const PollerSettings& aSettings, std::function<void(PollEvent)> aOnEvent)
  : mSettings(aSettings)
  , mOnEvent(std::move(aOnEvent))
{
}

Poller::~Poller()
{
  Stop();
}

void
Poller::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
Poller::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
Poller::SetSeeds(std::vector<Base::InstanceId> aSeeds)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSeeds = std::move(aSeeds);
}

void
Poller::Run()
{
  while (!mStopping) {
    const Base::TimePoint now = Base::RuntimeClock::now();
    try {
      UpdateTargets(now);
      SendDuePolls(now);
      WaitForReplies(now);
    } catch (const zmq::error_t& error) {
      // A signal has interrupted a call. The next iteration repeats what has not been done.
      if (error.num() != EINTR) {
        throw;
      }
    }
  }
  mTargets.clear();
}

void
Poller::UpdateTargets(Base::TimePoint aNow)
{
  std::vector<Base::InstanceId> expected = mMembers;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    expected.insert(expected.end(), mSeeds.begin(), mSeeds.end());
  }
  for (auto& [control, target] : mTargets) {
    target.mExpected = std::find(expected.begin(), expected.end(), control) != expected.end();
  }
  for (const Base::InstanceId control : expected) {
    if (mTargets.size() >= kMaxTargets && mTargets.count(control) == 0) {
      break;
    }
    const auto [item, added] = mTargets.try_emplace(control);
    if (added) {
      item->second.mStartingUntil = aNow + kStartTime;
      OpenSocket(control, item->second, aNow);
    }
  }
  for (auto item = mTargets.begin(); item != mTargets.end();) {
    Target& target = item->second;
    const Base::TimePoint since = std::max(target.mLastReply, target.mOpenedAt);
    if (aNow - since < kReplyTimeout) {
      ++item;
      continue;
    }
    if (std::exchange(target.mResponding, false)) {
      mOnEvent({ item->first, std::nullopt, false });
    }
    if (!target.mExpected) {
      item = mTargets.erase(item);
      continue;
    }
    OpenSocket(item->first, target, aNow);
    ++item;
  }
}

void
Poller::OpenSocket(Base::InstanceId aControl, Target& aTarget, Base::TimePoint aNow)
{
  zmq::socket_t socket(mContext, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::immediate, 1);
  socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  const Base::Endpoint endpoint{ aControl.mValue, mSettings.mPollPort };
  socket.connect(absl::StrCat("tcp://", Base::ToString(endpoint)));
  aTarget.mSocket = std::move(socket);
  aTarget.mOpenedAt = aNow;
  aTarget.mPendingSince.reset();
  aTarget.mUnsent = false;
  aTarget.mNextPoll = aNow;
}

void
Poller::SendDuePolls(Base::TimePoint aNow)
{
  for (auto& [control, target] : mTargets) {
    // A second poll before the reply would only transfer the same data again over a slow link.
    const bool due = target.mPendingSince.has_value()
                       ? aNow - *target.mPendingSince >= kReplyTimeout
                       : aNow >= target.mNextPoll;
    if (due) {
      SendPoll(target, false, aNow);
    }
  }
}

Base::Duration
Poller::PollInterval(const Target& aTarget, Base::TimePoint aNow) const
{
  const bool starting = !aTarget.mConnected && aNow < aTarget.mStartingUntil;
  return mDeclaredVersion == 0 || starting ? mSettings.mStartInterval : mSettings.mInterval;
}

Base::TimePoint
Poller::NextPoll(Base::TimePoint aLimit) const
{
  Base::TimePoint next = aLimit;
  for (const auto& [control, target] : mTargets) {
    if (!target.mPendingSince.has_value()) {
      next = std::min(next, target.mNextPoll);
    }
  }
  return next;
}

void
Poller::SendPoll(Target& aTarget, bool aWantsRoutes, Base::TimePoint aNow)
{
  lw::fleet::Poll poll;
  poll.set_number(++mNextNumber);
  poll.set_instance(mSettings.mInstance);
  poll.set_availability_zone(mSettings.mAvailabilityZone);
  poll.set_declared_version(mDeclaredVersion);
  poll.set_wants_routes(aWantsRoutes);
  poll.set_directory_epoch(aTarget.mEpoch);
  poll.set_directory_revision(aTarget.mRevision);
  poll.set_peers_hash(mPeersHash);
  poll.set_evacuation_revision(mEvacuationRevision);
  aTarget.mNextPoll = aNow + PollInterval(aTarget, aNow);
  // Without a connection, send() fails instead of queueing the poll. The first poll always fails,
  // because a connection takes a round trip. Waiting for the next interval instead of for the
  // connection would delay the first configuration by that interval.
  const std::string bytes = poll.SerializeAsString();
  aTarget.mUnsent = !aTarget.mSocket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  if (!aTarget.mUnsent) {
    aTarget.mPendingSince = aNow;
  }
}

bool
Poller::HasLocalSource(Base::TimePoint aNow) const
{
  return std::any_of(mTargets.begin(), mTargets.end(), [&](const auto& aItem) {
    const Target& target = aItem.second;
    return target.mAvailabilityZone == mSettings.mAvailabilityZone &&
           target.mDeclaredVersion > mDeclaredVersion && aNow - target.mLastReply < kReplyTimeout;
  });
}

bool
Poller::FetchRoutes(Target& aTarget, Base::TimePoint aNow)
{
  const bool local = aTarget.mAvailabilityZone == mSettings.mAvailabilityZone;
  if (aTarget.mDeclaredVersion <= mDeclaredVersion || aNow < mNextRouteFetch ||
      (!local && HasLocalSource(aNow))) {
    return false;
  }
  mNextRouteFetch = aNow + kRouteFetchTimeout;
  SendPoll(aTarget, true, aNow);
  return true;
}

void
Poller::WaitForReplies(Base::TimePoint aSince)
{
  while (!mStopping) {
    const Base::TimePoint now = Base::RuntimeClock::now();
    const Base::TimePoint until = NextPoll(aSince + mSettings.mInterval);
    if (now >= until) {
      return;
    }
    std::vector<zmq::pollitem_t> items;
    items.reserve(mTargets.size());
    for (auto& [control, target] : mTargets) {
      const int events = target.mUnsent ? ZMQ_POLLIN | ZMQ_POLLOUT : ZMQ_POLLIN;
      items.push_back({ target.mSocket.handle(), 0, static_cast<short>(events), 0 });
    }
    const auto left = std::chrono::duration_cast<milliseconds>(until - now) + milliseconds(1);
    if (items.empty()) {
      std::this_thread::sleep_for(left);
      return;
    }
    zmq::poll(items, left);
    size_t position = 0;
    for (auto& [control, target] : mTargets) {
      const short ready = items[position++].revents;
      if ((ready & ZMQ_POLLIN) != 0) {
        ReceiveFrom(control, target);
      }
      if ((ready & ZMQ_POLLOUT) != 0 && target.mUnsent) {
        SendPoll(target, false, Base::RuntimeClock::now());
      }
    }
  }
}

void
Poller::ReceiveFrom(Base::InstanceId aControl, Target& aTarget)
{
  zmq::message_t bytes;
  while (aTarget.mSocket.recv(bytes, zmq::recv_flags::dontwait)) {
    lw::fleet::PollReply reply;
    if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
      LOG(WARNING) << "[directory] Ignored a malformed reply from control instance " << aControl
                   << ".";
      continue;
    }
    aTarget.mEpoch = reply.directory_epoch();
    aTarget.mRevision = reply.directory_revision();
    aTarget.mLastReply = Base::RuntimeClock::now();
    aTarget.mPendingSince.reset();
    aTarget.mConnected = reply.connected();
    aTarget.mDeclaredVersion = reply.declared_version();
    aTarget.mAvailabilityZone = reply.availability_zone();
    bool polled = false;
    if (reply.has_routes()) {
      mNextRouteFetch = aTarget.mLastReply + kRouteFetchPause;
    } else {
      polled = FetchRoutes(aTarget, aTarget.mLastReply);
    }
    if (reply.more() && !polled) {
      SendPoll(aTarget, false, aTarget.mLastReply);
    }
    const bool regained = !std::exchange(aTarget.mResponding, true);
    if (regained) {
      aTarget.mStartingUntil = aTarget.mLastReply + kStartTime;
    }
    if (reply.connected()) {
      mMembers.clear();
      for (const uint32_t member : reply.control_instances()) {
        mMembers.emplace_back(member);
      }
    }
    if (reply.peers_size() > 0) {
      mPeersHash = reply.peers_hash();
    }
    mOnEvent({ aControl, std::move(reply), regained });
  }
}

} // namespace Fleet
