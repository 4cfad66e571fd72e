#include "directory/announcements.h"
#include "steering/steering.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::Action;
using Steering::PacketKind;

namespace {

// Deployment T of docs/design/hard-load.md, section 1: one availability zone of three.
constexpr size_t kEntries = 42;
constexpr size_t kControls = 6;
constexpr size_t kUpstreams = 50;
constexpr uint32_t kSlots = 2;
constexpr double kLongFlowRequestsPerMs = 1.138 / 3;
constexpr double kNewFlowsPerMs = (0.325 + 0.0975) / 3;
constexpr milliseconds kRequestTime{ 39 };
constexpr milliseconds kRoundTrip{ 8 };
constexpr milliseconds kOutage{ 1300 };
/// Time from the return of power to the start of an entry instance.
constexpr milliseconds kMinStart{ 200 };
constexpr milliseconds kMaxStart{ 900 };
/// Time from the start of an entry instance to the first reply of a control instance.
constexpr milliseconds kMinFirstReply{ 100 };
constexpr milliseconds kMaxFirstReply{ 300 };
constexpr milliseconds kPollInterval{ 400 };
constexpr milliseconds kReleaseInterval{ 10 };
constexpr milliseconds kExpiryInterval{ 100 };
constexpr milliseconds kDeadline{ 3000 };
constexpr milliseconds kOpeningLifetime{ 1400 };
constexpr milliseconds kOpeningCopies[] = { milliseconds(0), milliseconds(200), milliseconds(600) };
constexpr milliseconds kDataCopies[] = { milliseconds(0),
                                         milliseconds(200),
                                         milliseconds(600),
                                         milliseconds(1400) };
constexpr milliseconds kLastRequest{ 4000 };
constexpr milliseconds kDuration{ 8000 };
constexpr uint32_t kServiceAddress = 0x0a000001;
constexpr uint16_t kServicePort = 80;

struct Request
{
  bool mIsOpening = false;
  size_t mEntry = 0;
  Directory::RouteTag mTag;
  Base::TimePoint mSentAt;
  /// A copy arrived at a running entry instance.
  bool mReceived = false;
  bool mServed = false;
};

/// The entry instances of an availability zone after a loss of power, while callers send requests
/// on open flows and open new ones. The callers' packets are lost until an instance has started.
/// Each control instance reports a part of the upstreams. The queues of the upstreams are not
/// simulated (tst_herd does that).
class PowerLoss
{
public:
  PowerLoss(uint64_t aSeed, bool aWithStore)
    : mWithStore(aWithStore)
    , mRandom{ aSeed }
    , mEntries(kEntries)
    , mStartsAt(kEntries)
    , mTables(kControls)
  {
    mSettings.mAvailabilityZone = "a";
    mSettings.mLease = seconds(5);
    mSettings.mMaxConfigAge = seconds(1);
    mSettings.mOpeningLifetime = kOpeningLifetime;
    for (size_t id = 1; id <= kUpstreams; ++id) {
      Directory::Announcement announcement;
      announcement.mUpstream.mId = Directory::UpstreamId(id);
      announcement.mUpstream.mStartedAtMs = 1;
      announcement.mUpstream.mAddress = { static_cast<uint32_t>(id), 1 };
      announcement.mUpstream.mService = "desk";
      announcement.mUpstream.mAvailabilityZone = "a";
      announcement.mUpstream.mSlots = kSlots;
      Directory::Announce(mTables[id % kControls], announcement, mNow);
    }
    for (size_t entry = 0; entry < kEntries; ++entry) {
      mEntries[entry].mRandom.mState = Base::NextRandom(mRandom);
      mEntries[entry].mInstances = kEntries;
      mStartsAt[entry] = mNow + kOutage + Between(kMinStart, kMaxStart);
      for (size_t control = 0; control < kControls; ++control) {
        const Base::TimePoint repliesAt =
          mStartsAt[entry] + Between(kMinFirstReply, kMaxFirstReply);
        At(repliesAt, [this, entry, control] { Poll(entry, control); });
      }
    }
  }

  void Run()
  {
    for (milliseconds elapsed{ 0 }; elapsed < kDuration; elapsed += milliseconds(1)) {
      mNow += milliseconds(1);
      if (elapsed < kLastRequest) {
        SendRequests();
      }
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        const std::function<void()> event = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        event();
      }
      DriveEntries(elapsed);
    }
    for (const Request& request : mRequests) {
      mReceived += request.mReceived ? 1 : 0;
      mServed += request.mServed ? 1 : 0;
    }
  }

  size_t mReceived = 0;
  size_t mServed = 0;
  size_t mResets = 0;
  size_t mMostHeld = 0;

private:
  milliseconds Between(milliseconds aFrom, milliseconds aTo)
  {
    return aFrom + milliseconds(Base::NextBelow(mRandom, (aTo - aFrom).count() + 1));
  }

  void At(Base::TimePoint aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  void SendRequests()
  {
    if (Base::NextUnit(mRandom) < kLongFlowRequestsPerMs) {
      SendCopies(false, kDataCopies);
    }
    if (Base::NextUnit(mRandom) < kNewFlowsPerMs) {
      SendCopies(true, kOpeningCopies);
    }
  }

  template<size_t kCopies>
  void SendCopies(bool aIsOpening, const milliseconds (&aAges)[kCopies])
  {
    Request request;
    request.mIsOpening = aIsOpening;
    request.mEntry = Base::NextBelow(mRandom, kEntries);
    request.mSentAt = mNow;
    if (!aIsOpening) {
      const Directory::UpstreamId upstream(1 + Base::NextBelow(mRandom, kUpstreams));
      request.mTag = Directory::TagOf(upstream, 1);
    }
    const size_t number = mRequests.size();
    mRequests.push_back(request);
    for (const milliseconds age : aAges) {
      At(mNow + age, [this, number, age] { SendCopy(number, age); });
    }
  }

  void SendCopy(size_t aNumber, milliseconds aAge)
  {
    Request& request = mRequests[aNumber];
    if (request.mServed || mNow < mStartsAt[request.mEntry]) {
      return;
    }
    request.mReceived = true;
    Steering::Packet packet = MakePacket(aNumber);
    packet.mAge = request.mIsOpening ? aAge : milliseconds(0);
    Steering::State& entry = mEntries[request.mEntry];
    const Steering::Decision decision = Steering::Steer(entry, mSettings, packet, mNow);
    if (Steering::IsHeldEarly(decision) && !mWithStore) {
      Steering::RemoveEarly(entry.mEarlyPackets, packet);
    }
    mMostHeld = std::max(mMostHeld, entry.mEarlyPackets.mPackets.size());
    Execute(aNumber, decision);
  }

  Steering::Packet MakePacket(size_t aNumber) const
  {
    const Request& request = mRequests[aNumber];
    Steering::Packet packet;
    packet.mFlow = { { 0x64400001, static_cast<uint16_t>(aNumber) },
                     { kServiceAddress, kServicePort } };
    packet.mKind = request.mIsOpening ? PacketKind::Opening : PacketKind::MidFlow;
    packet.mTag = request.mTag;
    packet.mCarriesData = !request.mIsOpening;
    packet.mDatagram = "packet";
    return packet;
  }

  void Execute(size_t aNumber, const Steering::Decision& aDecision)
  {
    Request& request = mRequests[aNumber];
    mResets += aDecision.mAction == Action::Reset ? 1 : 0;
    if (aDecision.mAction != Action::Forward) {
      return;
    }
    request.mServed = mNow + kRequestTime + kRoundTrip <= request.mSentAt + kDeadline;
    if (request.mIsOpening) {
      const Directory::RouteTag tag = aDecision.mTag;
      At(mNow + kRoundTrip,
         [this, aNumber, tag] { SendTagged(aNumber, tag, PacketKind::MidFlow); });
      At(mNow + kRoundTrip + kRequestTime,
         [this, aNumber, tag] { SendTagged(aNumber, tag, PacketKind::Closing); });
    }
  }

  void SendTagged(size_t aNumber, Directory::RouteTag aTag, PacketKind aKind)
  {
    Steering::Packet packet = MakePacket(aNumber);
    packet.mKind = aKind;
    packet.mTag = aTag;
    packet.mCarriesData = aKind == PacketKind::MidFlow;
    const Steering::Decision decision =
      Steering::Steer(mEntries[mRequests[aNumber].mEntry], mSettings, packet, mNow);
    mResets += decision.mAction == Action::Reset ? 1 : 0;
  }

  void Poll(size_t aEntry, size_t aControl)
  {
    Steering::State& entry = mEntries[aEntry];
    lw::fleet::Poll poll;
    poll.set_declared_version(entry.mRoutes.mVersion);
    auto& position = mPositions[{ aEntry, aControl }];
    poll.set_directory_epoch(mTables[aControl].mEpoch);
    poll.set_directory_revision(position);
    lw::fleet::PollReply reply;
    reply.set_connected(true);
    Directory::FillReply(mTables[aControl], poll, mNow, reply);
    position = reply.directory_revision();
    const bool first = entry.mRoutes.mVersion == 0;
    if (first) {
      reply.mutable_routes()->set_version(1);
      lw::config::Route* route = reply.mutable_routes()->add_routes();
      route->set_address(kServiceAddress);
      route->set_port(kServicePort);
      route->add_services()->set_service("desk");
    }
    Steering::ApplyPollReply(
      entry, Base::InstanceId(static_cast<uint32_t>(aControl + 1)), reply, mNow);
    if (first || reply.upstreams_size() > 0) {
      Execute(Steering::ReleaseEarlyPackets(entry, mSettings, mNow));
    }
    At(mNow + kPollInterval, [this, aEntry, aControl] { Poll(aEntry, aControl); });
  }

  void Execute(const std::vector<Steering::ReleasedPacket>& aReleased)
  {
    for (const Steering::ReleasedPacket& released : aReleased) {
      Execute(released.mFlow.mCaller.mPort, released.mDecision);
    }
  }

  void DriveEntries(milliseconds aElapsed)
  {
    for (Steering::State& entry : mEntries) {
      if (aElapsed % kExpiryInterval == milliseconds(0)) {
        Steering::Expire(entry, mNow);
        Steering::ExpireEarlyPackets(entry, mNow);
      }
      if (aElapsed % kReleaseInterval == milliseconds(0)) {
        Execute(Steering::ReleaseOpenings(entry, mSettings, mNow));
      }
    }
  }

  const bool mWithStore;
  Base::RandomSource mRandom;
  Base::TimePoint mNow{ seconds(1000) };
  Steering::Settings mSettings;
  std::vector<Steering::State> mEntries;
  std::vector<Base::TimePoint> mStartsAt;
  std::vector<Directory::AnnouncementTable> mTables;
  std::map<std::pair<size_t, size_t>, uint64_t> mPositions;
  std::vector<Request> mRequests;
  std::multimap<Base::TimePoint, std::function<void()>> mEvents;
};

} // namespace

TEST_GROUP(PowerLoss){};

// Guards against requests that fail because the last copy of their packet within the deadline
// arrives after an entry instance has started but before it knows routes and upstreams. Every
// request of which an instance receives a copy must be served; without the store, many are not.
TEST(PowerLoss, EveryReceivedRequestIsServedWithinItsDeadline)
{
  constexpr uint64_t kSeeds = 5;
  constexpr size_t kMinLostWithoutStore = 50;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PowerLoss withStore(seed, true);
    withStore.Run();
    PowerLoss withoutStore(seed, false);
    withoutStore.Run();
    const size_t lost = withoutStore.mReceived - withoutStore.mServed;
    UT_PRINT(StringFromFormat("seed %d: %d received, %d lost with the store, %d without, "
                              "at most %d held at an instance",
                              static_cast<int>(seed),
                              static_cast<int>(withStore.mReceived),
                              static_cast<int>(withStore.mReceived - withStore.mServed),
                              static_cast<int>(lost),
                              static_cast<int>(withStore.mMostHeld)));
    CHECK_TRUE(withStore.mReceived > 0);
    LONGS_EQUAL(withStore.mReceived, withStore.mServed);
    LONGS_EQUAL(0, withStore.mResets);
    CHECK_TRUE(lost >= kMinLostWithoutStore);
  }
}
