#include "absl/flags/flag.h"
#include "announcer.h"
#include "program/startup.h"
#include "program/stopsignal.h"
#include "responder.h"

#include <glog/logging.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, listen, "", "address on which the upstream receives datagrams");
ABSL_FLAG(std::string, name, "upstream", "upstream name, included in echoes");
ABSL_FLAG(std::string, service, "", "service that the upstream belongs to");
ABSL_FLAG(std::vector<std::string>,
          announce,
          {},
          "comma-separated announcement addresses of entry instances");
ABSL_FLAG(bool, request_service, false, "whether the service is a request service");
ABSL_FLAG(uint32_t, slots, 3, "maximum number of concurrent requests");
ABSL_FLAG(uint32_t, service_time_ms, 5, "processing time of a request in milliseconds");
ABSL_FLAG(std::string, record, "", "file to which the body of each accepted request is appended");
ABSL_FLAG(
  std::string,
  late,
  "",
  "file to which the count of new work that arrived more than 3 s after SIGTERM is written");
ABSL_FLAG(uint32_t,
          drain_seconds,
          7,
          "seconds from SIGTERM until the upstream announces that it left");

namespace {

constexpr std::chrono::milliseconds kLoadUpdateInterval{ 100 };

int
RunUpstream(const Base::Endpoint& aListen)
{
  Program::BlockStopSignals();
  boost::asio::io_context context{ 1 };
  UpstreamStandIn::ResponderSettings settings;
  settings.mListen = aListen;
  settings.mName = absl::GetFlag(FLAGS_name);
  settings.mService = absl::GetFlag(FLAGS_service);
  settings.mIsRequestService = absl::GetFlag(FLAGS_request_service);
  settings.mSlots = absl::GetFlag(FLAGS_slots);
  settings.mServiceTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_service_time_ms));
  settings.mRecordPath = absl::GetFlag(FLAGS_record);
  UpstreamStandIn::Responder responder(context, settings);
  responder.Start();

  lw::announce::AnnounceRequest announcement;
  announcement.set_address(Base::ToString(aListen));
  announcement.set_service(settings.mService);
  announcement.set_slots(settings.mSlots);
  announcement.set_start_id(
    static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()));
  UpstreamStandIn::Announcer announcer(absl::GetFlag(FLAGS_announce), announcement);
  announcer.Start();

  std::thread thread([&context] { context.run(); });
  Program::WaitForStopSignal();
  announcer.SetState(lw::announce::DRAINING);
  responder.BeginDrain();
  const auto drainEnd =
    std::chrono::steady_clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_drain_seconds));
  while (std::chrono::steady_clock::now() < drainEnd) {
    announcer.SetLoad(responder.RunningRequests());
    std::this_thread::sleep_for(kLoadUpdateInterval);
  }
  announcer.SetState(lw::announce::LEFT);
  std::this_thread::sleep_for(kLoadUpdateInterval * 2);
  context.stop();
  thread.join();
  const std::string latePath = absl::GetFlag(FLAGS_late);
  if (!latePath.empty()) {
    std::ofstream(latePath) << responder.LateWork() << std::endl;
  }
  return Program::kExitOk;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(aArgc, aArgv, "Simulated upstream. Drains and exits on SIGTERM.");
  const absl::StatusOr<Base::Endpoint> listen = Base::ParseEndpoint(absl::GetFlag(FLAGS_listen));
  if (!listen.ok()) {
    std::cerr << "--listen: " << listen.status().message() << std::endl;
    return Program::kExitBadSettings;
  }
  try {
    return RunUpstream(*listen);
  } catch (const std::exception& error) {
    LOG(ERROR) << "[upstream] " << error.what() << ".";
    return Program::kExitFailure;
  }
}
