#include "entry/requestpath.h"

#include "caller.pb.h"
#include "upstream.pb.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <map>
#include <set>
#include <thread>

namespace {

using std::chrono::milliseconds;

constexpr Base::Endpoint kService{ 0xC0000201, 7000 };
constexpr uint16_t kUpstreams = 5;
/// The others are in another availability zone.
constexpr uint16_t kUpstreamsOfFirstZone = 3;
constexpr uint16_t kCallers = 40;
constexpr uint64_t kRequests = 30;
constexpr int kThreads = 4;

/// Connects the instances, upstreams and callers without loss or delay. Packets are queued to avoid
/// reentrant calls.
struct Network
{
  struct Work
  {
    size_t mInstance;
    Base::Endpoint mUpstream;
    lw::upstream::Work mWork;
  };
  std::mutex mMutex;
  std::vector<Work> mWorks;
  std::vector<std::pair<size_t, std::string>> mPeerPayloads;
  std::map<uint16_t, lw::caller::FlowOpened> mOpened;
  /// Number of dispatches by request body.
  std::map<std::string, int> mDispatches;
  std::set<std::pair<uint16_t, uint64_t>> mAnswered;
  std::set<std::string> mWrongReplies;
};

/// One entry instance without sockets.
struct Instance
{
  Instance(Network& aNetwork, size_t aIndex)
    : mIndex(aIndex)
    , mPorts(MakePorts(aNetwork))
    , mView(std::make_shared<Membership::View>())
    , mServices(std::make_shared<Config::ServiceIndex>())
  {
    mSettings.mInstance = Base::InstanceId(static_cast<uint32_t>(aIndex + 1));
    mSettings.mRegionKey = "key of the region";
    mPath = std::make_unique<Entry::RequestPath>(
      mSettings, Incarnation(aIndex), mPorts, mView, mServices, mMetrics);
  }

  static Base::Incarnation Incarnation(size_t aIndex)
  {
    return Base::Incarnation((aIndex + 11) << 32U);
  }

  Entry::PacketPorts MakePorts(Network& aNetwork)
  {
    Entry::PacketPorts ports;
    ports.mToUpstream = [this, &aNetwork](const Base::Endpoint& aUpstream,
                                          const Wire::ProxyAddresses& /*aAddresses*/,
                                          absl::string_view aPayload) {
      lw::upstream::ToUpstream packet;
      packet.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size()));
      const std::lock_guard<std::mutex> lock(aNetwork.mMutex);
      if (packet.has_work()) {
        ++aNetwork.mDispatches[packet.work().body()];
        aNetwork.mWorks.push_back({ mIndex, aUpstream, packet.work() });
      }
    };
    ports.mToCaller = [&aNetwork](const Wire::ProxyAddresses& aAddresses,
                                  absl::string_view aPayload) {
      lw::caller::EntryPacket packet;
      packet.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size()));
      const uint16_t caller = aAddresses.mDestination.mPort;
      const std::lock_guard<std::mutex> lock(aNetwork.mMutex);
      if (packet.has_opened()) {
        aNetwork.mOpened.emplace(caller, packet.opened());
      } else if (packet.has_piece()) {
        const uint64_t number = packet.piece().number();
        const std::string body = std::to_string(caller) + "/" + std::to_string(number);
        if (packet.piece().body() != body) {
          aNetwork.mWrongReplies.insert(body);
        }
        aNetwork.mAnswered.insert({ caller, number });
      } else {
        aNetwork.mWrongReplies.insert(packet.refusal().reason());
      }
    };
    ports.mToPeer = [&aNetwork](const Base::Endpoint& aPeer,
                                lw::peer::Channel /*aChannel*/,
                                absl::string_view aPayload) {
      const std::lock_guard<std::mutex> lock(aNetwork.mMutex);
      aNetwork.mPeerPayloads.emplace_back(aPeer.mPort - 1U, std::string(aPayload));
    };
    return ports;
  }

  size_t mIndex;
  Entry::EntrySettings mSettings;
  Entry::PacketPorts mPorts;
  Base::Snapshot<Membership::View> mView;
  Base::Snapshot<Config::ServiceIndex> mServices;
  Metrics::Registry mMetrics;
  std::unique_ptr<Entry::RequestPath> mPath;
};

} // namespace

TEST_GROUP(RequestPath)
{
  Network mNetwork;
  std::vector<std::unique_ptr<Instance>> mInstances;
  /// Share of new work of the upstreams of the first availability zone.
  double mFirstZoneShare = 1;
  std::shared_ptr<Config::ServiceView> mService = std::make_shared<Config::ServiceView>();

  void setup() override
  {
    mService->mName = "counter";
    mService->mAddress = kService;
    mService->mGeneration = Base::ServiceGeneration(1);
    auto services = std::make_shared<Config::ServiceIndex>();
    services->mByAddress[kService] = mService;
    for (size_t i = 0; i < 2; ++i) {
      mInstances.push_back(std::make_unique<Instance>(mNetwork, i));
      mInstances[i]->mServices.Publish(services);
    }
    PublishViews(Membership::MemberState::Alive, 2);
  }

  /// Publishes a view with the first instance in the given state.
  void PublishViews(Membership::MemberState aFirst, size_t aMembers)
  {
    for (const auto& instance : mInstances) {
      auto view = std::make_shared<Membership::View>();
      view->mSelf = instance->mSettings.mInstance;
      for (size_t i = 2 - aMembers; i < 2; ++i) {
        Membership::Member member;
        member.mId = Base::InstanceId(static_cast<uint32_t>(i + 1));
        member.mIncarnation = Instance::Incarnation(i);
        member.mPeerEndpoint = { 0x7F000001, static_cast<uint16_t>(i + 1) };
        member.mState = i == 0 ? aFirst : Membership::MemberState::Alive;
        view->mMembers.push_back(member);
      }
      for (uint16_t port = 1; port <= kUpstreams; ++port) {
        Membership::Upstream upstream;
        upstream.mEndpoint = { 0x7F000101, port };
        upstream.mGeneration = Base::ServiceGeneration(1);
        upstream.mSlots = 4;
        upstream.mLeaseEnd = Base::TimePoint::max();
        upstream.mAvailabilityZone = port <= kUpstreamsOfFirstZone ? "a" : "b";
        upstream.mNewWorkShare = port <= kUpstreamsOfFirstZone ? mFirstZoneShare : 1;
        view->mUpstreams.push_back(upstream);
      }
      instance->mView.Publish(view);
    }
  }

  void Send(size_t aInstance, uint16_t aCaller, const lw::caller::CallerPacket& aPacket)
  {
    const Wire::ProxyAddresses addresses{ { 0x7F000301, aCaller }, kService };
    mInstances[aInstance]->mPath->HandleCallerPacket(
      *mService, addresses, aPacket.SerializeAsString());
  }

  void SendRequest(size_t aInstance, uint16_t aCaller, uint64_t aNumber)
  {
    lw::caller::CallerPacket packet;
    lw::caller::Request& request = *packet.mutable_request();
    {
      const std::lock_guard<std::mutex> lock(mNetwork.mMutex);
      request.set_ticket(mNetwork.mOpened.at(aCaller).ticket());
    }
    request.set_number(aNumber);
    request.set_deadline_ms(60000);
    request.set_body(std::to_string(aCaller) + "/" + std::to_string(aNumber));
    Send(aInstance, aCaller, packet);
  }

  /// Delivers the queued packets to peers and upstreams.
  /// \return false if the queues were empty.
  bool Deliver()
  {
    std::vector<Network::Work> works;
    std::vector<std::pair<size_t, std::string>> payloads;
    {
      const std::lock_guard<std::mutex> lock(mNetwork.mMutex);
      works.swap(mNetwork.mWorks);
      payloads.swap(mNetwork.mPeerPayloads);
    }
    for (const auto& [target, payload] : payloads) {
      mInstances[target]->mPath->HandlePeerPayload({}, payload);
    }
    for (const Network::Work& work : works) {
      lw::upstream::FromUpstream packet;
      lw::upstream::WorkPiece& piece = *packet.mutable_piece();
      *piece.mutable_id() = work.mWork.id();
      piece.set_total(1);
      piece.set_body(work.mWork.body());
      mInstances[work.mInstance]->mPath->HandleUpstreamPacket(
        *mService, work.mUpstream, packet.SerializeAsString());
    }
    return !works.empty() || !payloads.empty();
  }

  void OpenAll(uint16_t aFirst = 1)
  {
    for (uint16_t caller = aFirst; caller < aFirst + kCallers; ++caller) {
      lw::caller::CallerPacket packet;
      packet.mutable_open()->set_open_id(caller);
      Send(caller % 2, caller, packet);
    }
    while (Deliver()) {
    }
    UNSIGNED_LONGS_EQUAL(aFirst + kCallers - 1, mNetwork.mOpened.size());
  }

  /// Sends a request of each of the callers and answers it.
  /// \return the number of requests that were dispatched to the first availability zone.
  int CountDispatchedToFirstZone(uint16_t aFirst, uint64_t aNumber)
  {
    for (uint16_t caller = aFirst; caller < aFirst + kCallers; ++caller) {
      SendRequest(caller % 2, caller, aNumber);
    }
    int dispatched = 0;
    do {
      const std::lock_guard<std::mutex> lock(mNetwork.mMutex);
      for (const Network::Work& work : mNetwork.mWorks) {
        dispatched += work.mUpstream.mPort <= kUpstreamsOfFirstZone ? 1 : 0;
      }
    } while (Deliver());
    return dispatched;
  }

  /// Waits until the callers have received aCount answers. The time limit makes the test fail if an
  /// answer is lost.
  void AwaitAnswers(size_t aCount)
  {
    const Base::TimePoint limit = Base::RuntimeClock::now() + std::chrono::seconds(20);
    while (Base::RuntimeClock::now() < limit) {
      {
        const std::lock_guard<std::mutex> lock(mNetwork.mMutex);
        if (mNetwork.mAnswered.size() >= aCount) {
          return;
        }
      }
      std::this_thread::yield();
    }
  }

  /// Sends every request twice, from two threads and to both instances, while another thread
  /// delivers packets and calls Tick(). Each caller has only one outstanding request, so that no
  /// queue exceeds its limit.
  void SendFromThreads(uint64_t aFirst, uint64_t aLast)
  {
    std::atomic<bool> isDone{ false };
    std::thread deliverer([&] {
      while (!isDone) {
        Deliver();
        mInstances[0]->mPath->Tick();
        mInstances[1]->mPath->Tick();
      }
    });
    std::vector<std::thread> senders;
    senders.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      senders.emplace_back([&, thread] {
        for (uint64_t number = aFirst; number <= aLast; ++number) {
          for (uint16_t caller = 1; caller <= kCallers; ++caller) {
            // Two of the threads send the requests of each caller.
            if ((caller + thread) % 2 == 0) {
              SendRequest(static_cast<size_t>(thread) / 2, caller, number);
            }
          }
          AwaitAnswers(kCallers * number);
        }
      });
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
    isDone = true;
    deliverer.join();
    while (Deliver()) {
    }
  }

  void CheckAll(uint64_t aLast)
  {
    UNSIGNED_LONGS_EQUAL(kCallers * aLast, mNetwork.mAnswered.size());
    UNSIGNED_LONGS_EQUAL(kCallers * aLast, mNetwork.mDispatches.size());
    for (const auto& [body, count] : mNetwork.mDispatches) {
      LONGS_EQUAL(1, count);
    }
    CHECK_TRUE(mNetwork.mWrongReplies.empty());
  }
};

// Guards against races between threads that dispatch a request twice or lose it.
TEST(RequestPath, ThreadsDispatchEachRequestOnce)
{
  OpenAll();
  SendFromThreads(1, kRequests);
  CheckAll(kRequests);
}

// Guards against a shutdown that does not hand over the flows of one of the shards.
TEST(RequestPath, ShutdownHandsAllShardsOver)
{
  OpenAll();
  SendFromThreads(1, kRequests);
  PublishViews(Membership::MemberState::Leaving, 2);
  mInstances[0]->mPath->BeginShutdown();
  const Base::TimePoint limit = Base::RuntimeClock::now() + std::chrono::seconds(20);
  while (!mInstances[0]->mPath->IsDrained() && Base::RuntimeClock::now() < limit) {
    mInstances[0]->mPath->Tick();
    Deliver();
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK_TRUE(mInstances[0]->mPath->IsDrained());
  PublishViews(Membership::MemberState::Leaving, 1);
  for (uint16_t caller = 1; caller <= kCallers; ++caller) {
    SendRequest(1, caller, kRequests);
    SendRequest(1, caller, kRequests + 1);
  }
  while (Deliver()) {
  }
  CheckAll(kRequests + 1);
}

// Guards against new flows at upstreams of an evacuated availability zone, against open flows there
// that are not served any more, and against a readmitted zone that gets all new flows at once or
// none.
TEST(RequestPath, NewFlowsAvoidAnEvacuatedZone)
{
  OpenAll();
  const int open = CountDispatchedToFirstZone(1, 1);
  CHECK_TRUE(open > 0 && open < kCallers);
  mFirstZoneShare = 0;
  PublishViews(Membership::MemberState::Alive, 2);
  OpenAll(kCallers + 1);
  LONGS_EQUAL(0, CountDispatchedToFirstZone(kCallers + 1, 1));
  LONGS_EQUAL(open, CountDispatchedToFirstZone(1, 2));
  mFirstZoneShare = 0.25;
  PublishViews(Membership::MemberState::Alive, 2);
  OpenAll(2 * kCallers + 1);
  const int readmitted = CountDispatchedToFirstZone(2 * kCallers + 1, 1);
  CHECK_TRUE(readmitted > 0 && readmitted < kCallers / 2);
}
