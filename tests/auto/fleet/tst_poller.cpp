#include "fleet/poller.h"
#include "fleet/pollserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <set>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using std::chrono::hours;
using std::chrono::seconds;

namespace {

constexpr uint32_t kLoopback = 0x7f000001;
constexpr seconds kWaitTimeout{ 30 };

/// \return a loopback address with a free port, so that test runs do not disturb each other.
Base::Endpoint
FreeLoopbackEndpoint()
{
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor(context,
                                                { boost::asio::ip::address_v4(kLoopback), 0 });
  return { kLoopback, acceptor.local_endpoint().port() };
}

/// Sends signals that interrupt the calls of other threads.
struct SignalSender
{
  SignalSender()
  {
    struct sigaction handled
    {};
    handled.sa_handler = [](int) {};
    sigaction(SIGUSR1, &handled, &mPrevious);
    sigemptyset(&mSignals);
    sigaddset(&mSignals, SIGUSR1);
  }
  ~SignalSender()
  {
    sigaction(SIGUSR1, &mPrevious, nullptr);
    pthread_sigmask(SIG_UNBLOCK, &mSignals, nullptr);
  }
  SignalSender(const SignalSender&) = delete;
  SignalSender& operator=(const SignalSender&) = delete;

  /// Threads that were started before take the signals; this one does not.
  void Send() const
  {
    constexpr int kSignals = 50;
    pthread_sigmask(SIG_BLOCK, &mSignals, nullptr);
    for (int i = 0; i < kSignals; ++i) {
      kill(getpid(), SIGUSR1);
      std::this_thread::sleep_for(std::chrono::milliseconds(3));
    }
  }

  struct sigaction mPrevious
  {};
  sigset_t mSignals{};
};

} // namespace

// A poller and a poll server over loopback.
TEST_GROUP(Poller)
{
  Control::ControlSettings mSettings;
  Control::ConfigStore mStore{ hours(1) };
  Control::LogDriver mLog{ mSettings, mStore, 1 };
  Fleet::DirectoryService mService{ mStore, mLog, { "zone-a", 7, seconds(300) } };
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::set<uint64_t> mUpstreams;
  size_t mReplies = 0;
  size_t mLost = 0;

  void HandlePollEvent(const Fleet::PollEvent& aEvent)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLost += aEvent.mReply.has_value() ? 0 : 1;
    mReplies += aEvent.mReply.has_value() ? 1 : 0;
    if (aEvent.mReply.has_value()) {
      for (const lw::fleet::Upstream& upstream : aEvent.mReply->upstreams()) {
        mUpstreams.insert(upstream.id());
      }
    }
    mChanged.notify_all();
  }

  bool WaitUntil(const std::function<bool()>& aCondition)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    return mChanged.wait_for(lock, kWaitTimeout, aCondition);
  }
};

// Guards against a large directory that arrives incompletely, or with only one part per poll
// interval.
TEST(Poller, LargeDirectoryArrivesAtOnceInParts)
{
  constexpr size_t kUpstreams = 40 * Directory::kMaxUpstreamsInReply;
  for (uint64_t id = 1; id <= kUpstreams; ++id) {
    Directory::Announcement announcement;
    announcement.mUpstream.mId = Directory::UpstreamId(id);
    announcement.mUpstream.mStartedAtMs = 1;
    mService.Announce(announcement);
  }
  const Base::Endpoint listen = FreeLoopbackEndpoint();
  Fleet::PollServer server(mService, listen);
  CHECK_TRUE(server.Start().ok());
  Fleet::PollerSettings settings;
  settings.mPollPort = listen.mPort;
  // With one part per interval, the transfer would exceed kWaitTimeout.
  settings.mInterval = settings.mStartInterval = seconds(1);
  Fleet::Poller poller(settings,
                       [this](const Fleet::PollEvent& aEvent) { HandlePollEvent(aEvent); });
  poller.SetSeeds({ Base::InstanceId(kLoopback) });
  poller.Start();
  CHECK_TRUE(WaitUntil([this] { return mUpstreams.size() == kUpstreams; }));
  poller.Stop();
}

// Guards against a poller that does not report the revision of the evacuations in force, so that
// every reply would contain the whole list again.
TEST(Poller, PollsContainTheEvacuationRevision)
{
  constexpr uint64_t kRevision = 7;
  const Base::Endpoint listen = FreeLoopbackEndpoint();
  zmq::context_t context;
  zmq::socket_t server(context, zmq::socket_type::router);
  server.set(zmq::sockopt::linger, 0);
  server.set(zmq::sockopt::rcvtimeo, 30000);
  server.bind("tcp://" + Base::ToString(listen));
  Fleet::PollerSettings settings;
  settings.mPollPort = listen.mPort;
  Fleet::Poller poller(settings,
                       [this](const Fleet::PollEvent& aEvent) { HandlePollEvent(aEvent); });
  poller.SetEvacuationRevision(kRevision);
  poller.SetSeeds({ Base::InstanceId(kLoopback) });
  poller.Start();
  zmq::message_t sender;
  zmq::message_t bytes;
  CHECK_TRUE(server.recv(sender).has_value() && server.recv(bytes).has_value());
  lw::fleet::Poll poll;
  CHECK_TRUE(poll.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
  LONGS_EQUAL(kRevision, poll.evacuation_revision());
  poller.Stop();
}

// Guards against a signal that interrupts the server's thread and ends the process, for example
// when the process continues after it was stopped.
TEST(Poller, InterruptedServerContinues)
{
  const Base::Endpoint listen = FreeLoopbackEndpoint();
  Fleet::PollServer server(mService, listen);
  const SignalSender signals;
  CHECK_TRUE(server.Start().ok());
  signals.Send();
  Fleet::PollerSettings settings;
  settings.mPollPort = listen.mPort;
  settings.mInterval = settings.mStartInterval = std::chrono::milliseconds(50);
  Fleet::Poller poller(settings,
                       [this](const Fleet::PollEvent& aEvent) { HandlePollEvent(aEvent); });
  poller.SetSeeds({ Base::InstanceId(kLoopback) });
  poller.Start();
  CHECK_TRUE(WaitUntil([this] { return mReplies > 0; }));
  poller.Stop();
}

// Guards against a signal that interrupts the poller's thread and ends the process, for example
// when the process continues after it was stopped.
TEST(Poller, InterruptedCallsAreRepeated)
{
  const Base::Endpoint listen = FreeLoopbackEndpoint();
  Fleet::PollerSettings settings;
  settings.mPollPort = listen.mPort;
  settings.mInterval = settings.mStartInterval = std::chrono::milliseconds(50);
  Fleet::Poller poller(settings,
                       [this](const Fleet::PollEvent& aEvent) { HandlePollEvent(aEvent); });
  poller.SetSeeds({ Base::InstanceId(kLoopback) });
  const SignalSender signals;
  poller.Start();
  signals.Send();
  Fleet::PollServer server(mService, listen);
  CHECK_TRUE(server.Start().ok());
  CHECK_TRUE(WaitUntil([this] { return mReplies > 0; }));
  poller.Stop();
}

// Guards against a control instance that stops replying and is not reported as lost, or is not
// polled again after it has recovered.
TEST(Poller, LostAndRegainedControlInstancesAreReported)
{
  const Base::Endpoint listen = FreeLoopbackEndpoint();
  auto server = std::make_unique<Fleet::PollServer>(mService, listen);
  CHECK_TRUE(server->Start().ok());
  Fleet::PollerSettings settings;
  settings.mPollPort = listen.mPort;
  settings.mInterval = settings.mStartInterval = std::chrono::milliseconds(50);
  Fleet::Poller poller(settings,
                       [this](const Fleet::PollEvent& aEvent) { HandlePollEvent(aEvent); });
  poller.SetSeeds({ Base::InstanceId(kLoopback) });
  poller.Start();
  CHECK_TRUE(WaitUntil([this] { return mReplies > 0; }));
  server.reset();
  CHECK_TRUE(WaitUntil([this] { return mLost > 0; }));
  const size_t before = mReplies;
  server = std::make_unique<Fleet::PollServer>(mService, listen);
  CHECK_TRUE(server->Start().ok());
  CHECK_TRUE(WaitUntil([this, before] { return mReplies > before; }));
  poller.Stop();
}

// Guards against new flows that go to a few upstreams after a common restart: a control instance
// that connects to the log after the others must tell its upstreams soon, although a configuration
// is in force already.
TEST(Poller, UnconnectedControlInstanceIsPolledOften)
{
  const Base::Endpoint listen = FreeLoopbackEndpoint();
  Fleet::PollServer server(mService, listen);
  CHECK_TRUE(server.Start().ok());
  Fleet::PollerSettings settings;
  settings.mPollPort = listen.mPort;
  settings.mInterval = seconds(10);
  settings.mStartInterval = std::chrono::milliseconds(20);
  Fleet::Poller poller(settings,
                       [this](const Fleet::PollEvent& aEvent) { HandlePollEvent(aEvent); });
  poller.SetSeeds({ Base::InstanceId(kLoopback) });
  poller.SetDeclaredVersion(1);
  poller.Start();
  constexpr size_t kReplies = 10;
  CHECK_TRUE(WaitUntil([this] { return mReplies >= kReplies; }));
  poller.Stop();
}

// Guards against a first configuration that is late by a poll interval: when the first poll is due,
// the connection is not established yet.
TEST(Poller, FirstPollIsSentOnceConnected)
{
  const Base::Endpoint listen = FreeLoopbackEndpoint();
  Fleet::PollServer server(mService, listen);
  CHECK_TRUE(server.Start().ok());
  Fleet::PollerSettings settings;
  settings.mPollPort = listen.mPort;
  // The poller's thread may wait for as long as this when it is stopped.
  settings.mInterval = settings.mStartInterval = seconds(5);
  Fleet::Poller poller(settings,
                       [this](const Fleet::PollEvent& aEvent) { HandlePollEvent(aEvent); });
  poller.SetSeeds({ Base::InstanceId(kLoopback) });
  const auto startedAt = std::chrono::steady_clock::now();
  poller.Start();
  CHECK_TRUE(WaitUntil([this] { return mReplies > 0; }));
  CHECK_TRUE(std::chrono::steady_clock::now() - startedAt < settings.mStartInterval);
  poller.Stop();
}
