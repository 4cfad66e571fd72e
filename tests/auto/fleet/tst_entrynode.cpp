#include "fleet/entrynode.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <fcntl.h>
#include <functional>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

namespace asio = boost::asio;

/// Address of the entry instance and of the control instance that it polls.
constexpr uint32_t kLoopback = 0x7f000001;
constexpr uint32_t kPeer = 0x7f000002;
constexpr seconds kWaitTimeout{ 30 };
constexpr uint32_t kServiceAddress = 0x0a000001;
constexpr uint16_t kServicePort = 80;

uint16_t
FreePort()
{
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4(kLoopback), 0 });
  return acceptor.local_endpoint().port();
}

/// Pipe that receives the event log.
struct EventPipe
{
  EventPipe() { CHECK_TRUE(pipe2(mEnds.data(), O_CLOEXEC | O_NONBLOCK) == 0); }
  ~EventPipe()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }
  EventPipe(const EventPipe&) = delete;
  EventPipe& operator=(const EventPipe&) = delete;

  std::array<int, 2> mEnds{};
};

/// Socket of a peer that receives the load reports of the entry instance.
struct ReportReceiver
{
  explicit ReportReceiver(uint16_t aPort)
    : mSocket(mContext, { asio::ip::address_v4(kPeer), aPort })
  {
    mSocket.non_blocking(true);
  }

  std::optional<lw::fleet::LoadReport> Receive()
  {
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    const size_t size = mSocket.receive(asio::buffer(bytes), 0, error);
    lw::fleet::LoadReport report;
    const bool valid = !error && report.ParseFromArray(bytes.data(), static_cast<int>(size));
    return valid ? std::optional(report) : std::nullopt;
  }

  asio::io_context mContext;
  asio::ip::udp::socket mSocket;
};

Fleet::EntryNodeSettings
MakeSettings(uint16_t aPollPort)
{
  Fleet::EntryNodeSettings settings;
  settings.mLoadReportListen = { kLoopback, FreePort() };
  settings.mSteering.mAvailabilityZone = "zone-a";
  // Longer than a test, so that the directory does not count as complete.
  settings.mSteering.mLease = seconds(60);
  settings.mSteering.mMaxConfigAge = seconds(60);
  settings.mSteering.mOpeningLifetime = seconds(60);
  settings.mPoller.mInstance = kLoopback;
  settings.mPoller.mAvailabilityZone = "zone-a";
  settings.mPoller.mPollPort = aPollPort;
  settings.mPoller.mInterval = settings.mPoller.mStartInterval = milliseconds(20);
  settings.mSeed = 1;
  return settings;
}

} // namespace

// An entry instance that polls a control instance whose replies the test composes.
TEST_GROUP(EntryNode)
{
  const uint16_t mPollPort = FreePort();
  zmq::context_t mZmqContext;
  zmq::socket_t mControl{ mZmqContext, zmq::socket_type::router };
  EventPipe mPipe;
  EventLog::Log mEvents{ { mPipe.mEnds[1] } };
  Metrics::Registry mMetrics;
  asio::io_context mContext;
  Fleet::EntryNodeSettings mSettings = MakeSettings(mPollPort);
  Fleet::EntryNode mNode{ mContext, mSettings, mEvents, mMetrics };
  std::vector<Steering::ReleasedPacket> mReleased;
  lw::fleet::PollReply mReply;

  void setup() override
  {
    mControl.set(zmq::sockopt::linger, 0);
    mControl.bind("tcp://" + Base::ToString(Base::Endpoint{ kLoopback, mPollPort }));
    mNode.SetReleaseHandler(
      [this](const Steering::ReleasedPacket& aPacket) { mReleased.push_back(aPacket); });
    mReply.set_directory_epoch(1);
    lw::fleet::RouteUpdate* routes = mReply.mutable_routes();
    routes->set_version(1);
    lw::config::Route* route = routes->add_routes();
    route->set_address(kServiceAddress);
    route->set_port(kServicePort);
    lw::config::WeightedService* service = route->add_services();
    service->set_service("desk");
    service->set_weight(1);
    CHECK_TRUE(mNode.Start({ Base::InstanceId(kLoopback) }).ok());
  }

  void teardown() override
  {
    mNode.Stop();
  }

  /// Sends mReply to a poller that waits for a reply.
  void AnswerPoll()
  {
    zmq::message_t sender;
    zmq::message_t bytes;
    if (!mControl.recv(sender, zmq::recv_flags::dontwait) || !mControl.recv(bytes)) {
      return;
    }
    lw::fleet::Poll poll;
    CHECK_TRUE(poll.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
    mReply.set_number(poll.number());
    mControl.send(sender, zmq::send_flags::sndmore);
    mControl.send(zmq::buffer(mReply.SerializeAsString()), zmq::send_flags::none);
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (aCondition()) {
        return true;
      }
      AnswerPoll();
      // Single steps, so that nothing happens between an event and the check for it.
      mContext.run_one_for(milliseconds(1));
    }
    return false;
  }

  void AddUpstream()
  {
    lw::fleet::Upstream* upstream = mReply.add_upstreams();
    upstream->set_id(1);
    upstream->set_started_at_ms(1);
    upstream->set_address(kPeer);
    upstream->set_port(8080);
    upstream->set_service("desk");
    upstream->set_availability_zone("zone-a");
    upstream->set_slots(2);
    upstream->set_state(lw::fleet::READY);
  }

  void Evacuate(uint64_t aRevision, const std::vector<std::string>& aZones)
  {
    lw::config::Evacuations* evacuations = mReply.mutable_evacuations();
    evacuations->set_revision(aRevision);
    evacuations->clear_availability_zones();
    for (const std::string& zone : aZones) {
      evacuations->add_availability_zones(zone);
    }
    const auto expected = static_cast<int64_t>(aZones.size());
    CHECK_TRUE(RunUntil([&] { return mMetrics.GaugeFor("zones_evacuated").Value() == expected; }));
  }

  /// \return the lines that were logged since the last call.
  std::string Events()
  {
    mEvents.Flush(Base::RuntimeClock::now());
    std::string text;
    std::array<char, 4096> bytes{};
    for (ssize_t size = 0; (size = read(mPipe.mEnds[0], bytes.data(), bytes.size())) > 0;) {
      text.append(bytes.data(), static_cast<size_t>(size));
    }
    return text;
  }
};

// Guards against operators who can't see whether an entry instance has applied an evacuation, and
// against lines for zones whose state has not changed.
TEST(EntryNode, EvacuationsAreReported)
{
  Evacuate(3, { "zone-a", "zone-b" });
  std::string events = Events();
  const std::string rest = R"(,"control":"127.0.0.1:0"})";
  for (const char* zone : { "zone-a", "zone-b" }) {
    const std::string line = R"("event":"zone_evacuated","availability_zone":")";
    CHECK_TRUE(absl::StrContains(events, absl::StrCat(line, zone, R"(","revision":3)", rest)));
  }
  Evacuate(4, { "zone-b" });
  events = Events();
  const std::string line = R"("event":"zone_readmitted","availability_zone":"zone-a","revision":4)";
  CHECK_TRUE(absl::StrContains(events, line + rest));
  CHECK_FALSE(absl::StrContains(events, "zone-b"));
  CHECK_FALSE(absl::StrContains(events, "zone_evacuated"));
}

// Guards against opening packets that wait for the next change of the directory after the
// evacuation of the only zone with upstreams has ended.
TEST(EntryNode, HeldOpeningsAreReleasedAfterAnEvacuation)
{
  AddUpstream();
  Evacuate(1, { "zone-a" });
  CHECK_TRUE(RunUntil([this] { return mNode.IsReady(); }));
  Steering::Packet packet;
  packet.mFlow = { { 0x64400001, 1 }, { kServiceAddress, kServicePort } };
  packet.mKind = Steering::PacketKind::Opening;
  packet.mDatagram = "opening";
  CHECK_TRUE(mNode.Steer(packet).mAction == Steering::Action::Hold);
  mReply.clear_upstreams();
  mReply.clear_routes();
  Evacuate(2, {});
  LONGS_EQUAL(1, mReleased.size());
  CHECK_TRUE(mReleased[0].mDecision.mAction == Steering::Action::Forward);
  LONGS_EQUAL(1, mReleased[0].mDecision.mUpstream.mValue);
}

// Guards against a minority of the control instances that knows few entry instances, so that one of
// them believes to have the majority for the cold upstreams. An instance reports which instances of
// its list it does not hear.
TEST(EntryNode, UnconnectedListIsNotUsedForColdStarts)
{
  ReportReceiver peer(mSettings.mLoadReportListen.mPort);
  lw::config::ColdStart* coldStart = mReply.mutable_routes()->add_cold_starts();
  coldStart->set_service("desk");
  coldStart->set_requests_per_second(5);
  mReply.set_peers_hash(9);
  mReply.add_peers(kLoopback);
  mReply.add_peers(kPeer);
  std::optional<lw::fleet::LoadReport> report;
  const auto received = [&] {
    report = peer.Receive();
    return report.has_value();
  };
  // The list is in use for reports, and the rate limit is in force.
  constexpr int kReports = 3;
  for (int i = 0; i < kReports; ++i) {
    CHECK_TRUE(RunUntil(received));
    LONGS_EQUAL(0, report->not_received_from_size());
  }
  mReply.set_connected(true);
  CHECK_TRUE(RunUntil([&] { return received() && report->not_received_from_size() > 0; }));
  LONGS_EQUAL(kPeer, report->not_received_from(0));
}
