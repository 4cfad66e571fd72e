#include "fleet/poller.h"

#include "absl/strings/str_cat.h"
#include "base/endpoint.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

/// A control instance without a reply for this long is lost, and its connection is opened again:
/// a connection may be silent for good while a new one works.
constexpr milliseconds kReplyLimit{ 1300 };
/// Another control instance is asked for routes after this time. A complete configuration of some
/// hundred routes takes a tenth of a second on the slowest links.
constexpr milliseconds kFetchLimit{ 600 };
/// Time for the routes that have arrived to come into force here.
constexpr milliseconds kFetchPause{ 20 };
/// The kernel repeats the first packet of a connection only after a second, so an attempt that met
/// a machine without power is given up and made again before that.
constexpr int kConnectTimeoutMs = 250;
constexpr int kReconnectMs = 50;
/// Bounds the polls; the log has no more voters than that.
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
    UpdateTargets(now);
    SendPolls(now);
    WaitForReplies(now + (mDeclaredVersion == 0 ? mSettings.mStartInterval : mSettings.mInterval));
  }
  mTargets.clear();
}

void
Poller::UpdateTargets(Base::TimePoint aNow)
{
  std::vector<Base::InstanceId> wanted = mMembers;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    wanted.insert(wanted.end(), mSeeds.begin(), mSeeds.end());
  }
  for (auto& [control, target] : mTargets) {
    target.mWanted = std::find(wanted.begin(), wanted.end(), control) != wanted.end();
  }
  for (const Base::InstanceId control : wanted) {
    if (mTargets.size() >= kMaxTargets && mTargets.count(control) == 0) {
      break;
    }
    const auto [item, added] = mTargets.try_emplace(control);
    if (added) {
      OpenSocket(control, item->second, aNow);
    }
  }
  for (auto item = mTargets.begin(); item != mTargets.end();) {
    Target& target = item->second;
    const Base::TimePoint since = std::max(target.mLastReply, target.mOpenedAt);
    if (aNow - since < kReplyLimit) {
      ++item;
      continue;
    }
    if (std::exchange(target.mAnswers, false)) {
      mOnEvent({ item->first, std::nullopt, false });
    }
    if (!target.mWanted) {
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
  aTarget.mAwaitedSince.reset();
}

void
Poller::SendPolls(Base::TimePoint aNow)
{
  for (auto& [control, target] : mTargets) {
    // A second poll before the reply would bring the same again over a link that is slow already.
    if (!target.mAwaitedSince.has_value() || aNow - *target.mAwaitedSince >= kReplyLimit) {
      SendPoll(target, false, aNow);
    }
  }
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
  // Without a connection nothing is queued; the next interval polls again.
  if (aTarget.mSocket.send(zmq::buffer(poll.SerializeAsString()), zmq::send_flags::dontwait)) {
    aTarget.mAwaitedSince = aNow;
  }
}

bool
Poller::HasNearSource(Base::TimePoint aNow) const
{
  return std::any_of(mTargets.begin(), mTargets.end(), [&](const auto& aItem) {
    const Target& target = aItem.second;
    return target.mAvailabilityZone == mSettings.mAvailabilityZone &&
           target.mDeclaredVersion > mDeclaredVersion && aNow - target.mLastReply < kReplyLimit;
  });
}

bool
Poller::FetchRoutes(Target& aTarget, Base::TimePoint aNow)
{
  const bool near = aTarget.mAvailabilityZone == mSettings.mAvailabilityZone;
  if (aTarget.mDeclaredVersion <= mDeclaredVersion || aNow < mNextFetch ||
      (!near && HasNearSource(aNow))) {
    return false;
  }
  mNextFetch = aNow + kFetchLimit;
  SendPoll(aTarget, true, aNow);
  return true;
}

void
Poller::WaitForReplies(Base::TimePoint aUntil)
{
  while (!mStopping) {
    const Base::TimePoint now = Base::RuntimeClock::now();
    if (now >= aUntil) {
      return;
    }
    std::vector<zmq::pollitem_t> items;
    items.reserve(mTargets.size());
    for (auto& [control, target] : mTargets) {
      items.push_back({ target.mSocket.handle(), 0, ZMQ_POLLIN, 0 });
    }
    const auto left = std::chrono::duration_cast<milliseconds>(aUntil - now) + milliseconds(1);
    if (items.empty()) {
      std::this_thread::sleep_for(left);
      return;
    }
    zmq::poll(items, left);
    size_t position = 0;
    for (auto& [control, target] : mTargets) {
      if ((items[position++].revents & ZMQ_POLLIN) != 0) {
        ReceiveFrom(control, target);
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
      LOG(WARNING) << "[directory] Malformed reply of control instance " << aControl << " ignored.";
      continue;
    }
    aTarget.mEpoch = reply.directory_epoch();
    aTarget.mRevision = reply.directory_revision();
    aTarget.mLastReply = Base::RuntimeClock::now();
    aTarget.mAwaitedSince.reset();
    aTarget.mDeclaredVersion = reply.declared_version();
    aTarget.mAvailabilityZone = reply.availability_zone();
    bool polled = false;
    if (reply.has_routes()) {
      mNextFetch = aTarget.mLastReply + kFetchPause;
    } else {
      polled = FetchRoutes(aTarget, aTarget.mLastReply);
    }
    if (reply.more() && !polled) {
      SendPoll(aTarget, false, aTarget.mLastReply);
    }
    const bool regained = !std::exchange(aTarget.mAnswers, true);
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
