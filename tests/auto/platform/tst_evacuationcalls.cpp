#include "platform/controlapi.h"
#include "platform/httpserver.h"

#include "absl/strings/str_cat.h"
#include "config/logstate.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;

constexpr int kOk = 200;
constexpr int kRedirect = 307;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr uint32_t kLoopback = 0x7f000001;
constexpr int kFirstPort = 28750;
constexpr int kPortsPerInstance = 4;
/// An election takes about one election timeout (500 ms); the rest is for busy machines.
constexpr std::chrono::seconds kLeaderTimeout{ 20 };
constexpr std::chrono::milliseconds kPollInterval{ 5 };
/// Longer than the call waits before it checks whether its connection was closed.
constexpr std::chrono::milliseconds kSettleTime{ 200 };

template<typename Condition>
bool
WaitUntil(const Condition& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kLeaderTimeout;
  while (!aCondition() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return aCondition();
}

std::string
Address(uint32_t aInstance, int aOffset)
{
  const int port = kFirstPort + kPortsPerInstance * static_cast<int>(aInstance) + aOffset;
  return absl::StrCat("127.0.0.1:", port);
}

/// Connection of a requester to the HTTP port of an instance.
struct Requester
{
  asio::io_context mContext;
  asio::ip::tcp::socket mSocket{ mContext };

  Requester(uint32_t aInstance, const std::string& aPath)
  {
    mSocket.connect({ asio::ip::address_v4(kLoopback),
                      static_cast<uint16_t>(kFirstPort + kPortsPerInstance * aInstance) });
    const std::string head = " HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    asio::write(mSocket, asio::buffer("POST " + aPath + head));
  }

  /// \return the response, once the instance has closed the connection.
  std::string Read()
  {
    std::string response;
    boost::system::error_code end;
    asio::read(mSocket, asio::dynamic_buffer(response), end);
    return response;
  }
};

/// Control instance with its log and its HTTP interface.
class Instance
{
public:
  Instance(uint32_t aId, uint32_t aCount, const std::string& aFolder)
    : mEventFile(absl::StrCat(aFolder, "/", aId, ".events"))
    , mDescriptor(open(mEventFile.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600))
    , mSettings(MakeSettings(aId, aCount, aFolder))
    , mEvents({ mDescriptor })
  {
    CHECK_TRUE(mLog.Start().ok());
    const auto port = static_cast<uint16_t>(kFirstPort + kPortsPerInstance * aId);
    CHECK_TRUE(mServer.Listen({ kLoopback, port }).ok());
  }

  ~Instance()
  {
    StopServing();
    mLog.Stop();
    close(mDescriptor);
  }

  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Starts to handle connections. Until then they wait in the backlog of the listening socket, as
  /// calls do that a partition delays.
  void Serve()
  {
    mThread = std::thread([this] { mContext.run(); });
  }

  void StopServing()
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  /// \return the response to a call without a connection.
  Platform::HttpResponse Call(const std::string& aPath)
  {
    auto status = std::make_shared<std::atomic<bool>>(false);
    auto response = std::make_shared<Platform::HttpResponse>();
    mApi.Handle({ "POST", aPath, "" }, [status, response](Platform::HttpResponse aResponse) {
      *response = std::move(aResponse);
      *status = true;
    });
    CHECK_TRUE(WaitUntil([&] { return status->load(); }));
    return *response;
  }

  bool Leads() const { return mLog.LeaderAddress() == Base::ToString(mSettings.mOperatorListen); }

  std::string Events()
  {
    mEvents.Flush(Base::RuntimeClock::now());
    std::ostringstream text;
    text << std::ifstream(mEventFile).rdbuf();
    return text.str();
  }

  static Control::ControlSettings MakeSettings(uint32_t aId,
                                               uint32_t aCount,
                                               const std::string& aFolder)
  {
    nlohmann::json json{ { "instance", aId },
                         { "availability_zone", "zone-a" },
                         { "operator_listen", Address(aId, 0) },
                         { "feed_listen", Address(aId, 1) },
                         { "peer_listen", Address(aId, 2) },
                         { "data_directory", absl::StrCat(aFolder, "/", aId) },
                         { "heartbeat_ms", 50 },
                         { "election_timeout_ms", 500 } };
    for (uint32_t id = 1; id <= aCount; ++id) {
      json["instances"].push_back({ { "instance", id },
                                    { "peer_address", Address(id, 2) },
                                    { "operator_address", Address(id, 0) } });
    }
    Settings::Reader reader(*Settings::ParseDocument(json.dump()));
    Control::ControlSettings settings;
    CHECK_TRUE(Control::ReadControlSettings(reader, settings).ok());
    return settings;
  }

private:
  const std::string mEventFile;
  const int mDescriptor;

public:
  asio::io_context mContext;
  const Control::ControlSettings mSettings;
  Control::ConfigStore mStore{ std::chrono::hours(1) };
  Control::LogDriver mLog{ mSettings, mStore, mSettings.mInstance.mValue };
  Fleet::DirectoryService mDirectory{ mStore, mLog, {} };
  EventLog::Log mEvents;
  Metrics::Registry mMetrics;
  Platform::ControlApi mApi{ mContext, {}, mStore, mLog, mDirectory, mEvents, mMetrics };
  Platform::HttpServer mServer{ mContext,
                                [this](const Platform::HttpRequest& aRequest,
                                       const Platform::ResponseCallback& aRespond) {
                                  mApi.Handle(aRequest, aRespond);
                                } };
  std::thread mThread;
};

} // namespace

TEST_GROUP(EvacuationCalls)
{
  std::string mFolder;
  std::vector<std::unique_ptr<Instance>> mInstances;

  void setup() override
  {
    std::string pattern = std::filesystem::temp_directory_path() / "tst_evacuationcalls.XXXXXX";
    mFolder = mkdtemp(pattern.data());
  }

  void teardown() override
  {
    mInstances.clear();
    std::filesystem::remove_all(mFolder);
  }

  /// Starts the first aStarted of aCount instances.
  void Start(uint32_t aStarted, uint32_t aCount)
  {
    for (uint32_t id = 1; id <= aStarted; ++id) {
      mInstances.push_back(std::make_unique<Instance>(id, aCount, mFolder));
    }
  }

  Instance& StartOne()
  {
    Start(1, 1);
    CHECK_TRUE(WaitUntil([&] { return mInstances[0]->Leads(); }));
    return *mInstances[0];
  }

  static int EvacuatedZones(const Instance& aInstance)
  {
    return aInstance.mStore.State().evacuations().availability_zones_size();
  }
};

// Guards against acknowledging a call that the log has not committed, and against calls that leave
// no trace in the event log and the metrics.
TEST(EvacuationCalls, BeginAndFinishAreCommittedAndReported)
{
  Instance& instance = StartOne();
  instance.Serve();
  LONGS_EQUAL(kOk, instance.Call("/v1/Evacuations.Begin/zone-b").mStatus);
  STRCMP_EQUAL("zone-b", instance.mStore.State().evacuations().availability_zones(0).c_str());
  LONGS_EQUAL(kOk, instance.Call("/v1/Evacuations.Begin/zone-b").mStatus);
  LONGS_EQUAL(1, instance.mStore.State().evacuations().revision());
  LONGS_EQUAL(kOk, instance.Call("/v1/Evacuations.Finish/zone-b").mStatus);
  LONGS_EQUAL(kOk, instance.Call("/v1/Evacuations.Finish/zone-b").mStatus);
  LONGS_EQUAL(0, EvacuatedZones(instance));
  LONGS_EQUAL(2, instance.mStore.State().evacuations().revision());
  STRCMP_CONTAINS("evacuations_total 4", instance.mMetrics.PrometheusText().c_str());
  const std::string events = instance.Events();
  STRCMP_CONTAINS(
    R"("event":"evacuation","availability_zone":"zone-b","action":"begin","status":200)",
    events.c_str());
  STRCMP_CONTAINS(R"("action":"end","status":200)", events.c_str());
}

// Guards against a typing error that is acknowledged, and against a zone that stays unknown after
// the settings were read again.
TEST(EvacuationCalls, UnknownOrInvalidZonesAreRefusedWithTheReason)
{
  Instance& instance = StartOne();
  instance.Serve();
  instance.mApi.SetAvailabilityZones(std::set<std::string>{ "zone-a" });
  for (const std::string call : { "Begin", "Finish" }) {
    const std::string path = "/v1/Evacuations." + call + "/";
    const Platform::HttpResponse unknown = instance.Call(path + "zone-b");
    LONGS_EQUAL(kBadRequest, unknown.mStatus);
    STRCMP_CONTAINS("zone-b", unknown.mBody.c_str());
    STRCMP_CONTAINS("known are: zone-a", unknown.mBody.c_str());
    LONGS_EQUAL(kBadRequest, instance.Call(path).mStatus);
    LONGS_EQUAL(kBadRequest, instance.Call(path + "\xC5").mStatus);
    LONGS_EQUAL(kOk, instance.Call(path + "zone-a").mStatus);
  }
  STRCMP_CONTAINS(R"("action":"begin","status":400,"reason")", instance.Events().c_str());
  instance.mApi.SetAvailabilityZones(std::set<std::string>{ "zone-a", "zone-b" });
  LONGS_EQUAL(kOk, instance.Call("/v1/Evacuations.Begin/zone-b").mStatus);
}

// Guards against a copy of a call that a partition delays and that undoes a later call: its
// requester has closed the connection in the meantime.
TEST(EvacuationCalls, CallsWithAClosedConnectionAreNotProposed)
{
  Instance& instance = StartOne();
  {
    Requester delayed(1, "/v1/Evacuations.Begin/zone-b");
  }
  Requester open(1, "/v1/Evacuations.Begin/zone-a");
  instance.Serve();
  STRCMP_CONTAINS(" 200 ", open.Read().c_str());
  std::this_thread::sleep_for(kSettleTime);
  LONGS_EQUAL(1, EvacuatedZones(instance));
  LONGS_EQUAL(1, instance.mStore.State().evacuations().revision());
  STRCMP_EQUAL("zone-a", instance.mStore.State().evacuations().availability_zones(0).c_str());
  STRCMP_CONTAINS("the requester has withdrawn the change", instance.Events().c_str());
}

// Guards against a delayed copy that is proposed because the end of its connection arrives shortly
// after the call.
TEST(EvacuationCalls, AConnectionThatClosesRightAfterTheCallCountsAsClosed)
{
  constexpr std::chrono::milliseconds kRoundTrip{ 7 };
  // Less than the delay of the check. A busy machine may take longer to close the connection; then
  // nothing follows from the attempt.
  constexpr std::chrono::milliseconds kMaxOpenTime{ 15 };
  constexpr int kMaxAttempts = 100;
  Instance& instance = StartOne();
  instance.Serve();
  std::chrono::steady_clock::duration openTime = kMaxOpenTime;
  int attempt = 0;
  for (; attempt < kMaxAttempts && openTime >= kMaxOpenTime; ++attempt) {
    const auto start = std::chrono::steady_clock::now();
    {
      Requester delayed(1, absl::StrCat("/v1/Evacuations.Begin/zone-", attempt));
      std::this_thread::sleep_for(kRoundTrip);
    }
    openTime = std::chrono::steady_clock::now() - start;
  }
  CHECK_TRUE(openTime < kMaxOpenTime);
  std::this_thread::sleep_for(kSettleTime);
  const std::string last = absl::StrCat("zone-", attempt - 1);
  const lw::config::State state = instance.mStore.State();
  for (const std::string& zone : state.evacuations().availability_zones()) {
    CHECK_TRUE(zone != last);
  }
}

// Guards against evacuations in the log that are applied a second time after a failed write, so
// that the instance reports a higher revision than the others for good.
TEST(EvacuationCalls, EvacuationsAreAppliedOnceAfterAFailedWrite)
{
  Instance& instance = StartOne();
  instance.Serve();
  LONGS_EQUAL(kOk, instance.Call("/v1/Evacuations.Begin/zone-b").mStatus);
  LONGS_EQUAL(kOk, instance.Call("/v1/Evacuations.Finish/zone-b").mStatus);
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit limit{};
  getrlimit(RLIMIT_FSIZE, &limit);
  const rlimit full{ 0, limit.rlim_max };
  setrlimit(RLIMIT_FSIZE, &full);
  const int refused = instance.Call("/v1/Evacuations.Begin/zone-c").mStatus;
  setrlimit(RLIMIT_FSIZE, &limit);
  std::signal(SIGXFSZ, SIG_DFL);
  CHECK_TRUE(refused != kOk);
  CHECK_TRUE(
    WaitUntil([&] { return instance.Call("/v1/Evacuations.Begin/zone-d").mStatus == kOk; }));
  const lw::config::State state = instance.mStore.State();
  LONGS_EQUAL(EvacuatedZones(instance) + 2, state.evacuations().revision());
  LONGS_EQUAL(state.version(), state.evacuations().revision());
}

// Guards against an acknowledgement from a local store that lags behind a later change.
TEST(EvacuationCalls, WithoutALeaderNothingIsAcknowledged)
{
  Start(1, 3);
  Instance& instance = *mInstances[0];
  instance.Serve();
  lw::config::Change change;
  change.set_operator_id(Config::kControlOperatorId);
  change.mutable_set_evacuation()->set_availability_zone("zone-a");
  change.mutable_set_evacuation()->set_evacuated(true);
  CHECK_TRUE(instance.mStore.ApplyCommand(Config::MakeCommand(change, 1)).ok());
  for (const std::string path :
       { "/v1/Evacuations.Begin/zone-a", "/v1/Evacuations.Finish/zone-a" }) {
    const Platform::HttpResponse response = instance.Call(path);
    LONGS_EQUAL(kUnavailable, response.mStatus);
    STRCMP_EQUAL("", response.mLocation.c_str());
  }
}

// Guards against a follower that answers itself or does not name the leader.
TEST(EvacuationCalls, FollowersRedirectToTheLeader)
{
  Start(3, 3);
  Instance* leader = nullptr;
  Instance* follower = nullptr;
  CHECK_TRUE(WaitUntil([&] {
    leader = nullptr;
    follower = nullptr;
    for (const auto& instance : mInstances) {
      if (instance->Leads()) {
        leader = instance.get();
      } else if (!instance->mLog.LeaderAddress().empty()) {
        follower = instance.get();
      }
    }
    return leader != nullptr && follower != nullptr;
  }));
  leader->Serve();
  follower->Serve();
  const std::string path = "/v1/Evacuations.Begin/zone-b";
  const Platform::HttpResponse redirect = follower->Call(path);
  LONGS_EQUAL(kRedirect, redirect.mStatus);
  const std::string expected =
    absl::StrCat("http://", Base::ToString(leader->mSettings.mOperatorListen), path);
  STRCMP_EQUAL(expected.c_str(), redirect.mLocation.c_str());
  LONGS_EQUAL(kOk, leader->Call(path).mStatus);
  CHECK_TRUE(WaitUntil([&] { return EvacuatedZones(*follower) == 1; }));
}
