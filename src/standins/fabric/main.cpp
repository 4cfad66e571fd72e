#include "absl/flags/flag.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/random.h"
#include "base/runtimeclock.h"
#include "program/startup.h"
#include "program/stopsignal.h"
#include "wire/proxyheader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <glog/logging.h>

#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

ABSL_FLAG(std::vector<std::string>,
          ingress,
          {},
          "comma-separated pairs LISTEN=SERVICE of addresses");
ABSL_FLAG(std::string,
          egress,
          "",
          "address that receives datagrams from the entry instances to callers");
ABSL_FLAG(std::vector<std::string>,
          entries,
          {},
          "comma-separated datagram addresses of the entry instances");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random number generator");
ABSL_FLAG(double, duplicate, 0.0, "probability that a packet is sent twice");
ABSL_FLAG(double, loss, 0.0, "probability that a copy of a packet is dropped");

namespace {

using boost::asio::ip::udp;

/// How long an entry instance is skipped after its port was found closed.
constexpr std::chrono::milliseconds kClosedPortBackoff{ 500 };
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

udp::endpoint
ToAsio(const Base::Endpoint& aEndpoint)
{
  return { boost::asio::ip::address_v4(aEndpoint.mAddress), aEndpoint.mPort };
}

Base::Endpoint
FromAsio(const udp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_v4().to_uint(), aEndpoint.port() };
}

/// Socket connected to one entry instance. A connected UDP socket reports ECONNREFUSED when the
/// port is closed.
struct Entry
{
  udp::socket mSocket;
  Base::TimePoint mSkipUntil;
};

/// Socket on which callers reach one service.
struct Ingress
{
  Base::Endpoint mService;
  udp::socket mSocket;
  udp::endpoint mCaller;
  std::array<char, 65536> mBuffer{};
};

/// Distributes packets from callers randomly over the entry instances and forwards the answers.
class Fabric
{
public:
  Fabric(boost::asio::io_context& aContext, const Base::Endpoint& aEgress, uint64_t aSeed)
    : mContext(aContext)
    , mEgress(aContext, ToAsio(aEgress))
    , mRandom{ aSeed }
    , mDuplicateProbability(absl::GetFlag(FLAGS_duplicate))
    , mLossProbability(absl::GetFlag(FLAGS_loss))
  {
    mEgress.set_option(boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes));
  }

  void AddEntry(const Base::Endpoint& aEndpoint)
  {
    auto entry = std::make_unique<Entry>(Entry{ udp::socket(mContext, udp::v4()), {} });
    entry->mSocket.connect(ToAsio(aEndpoint));
    entry->mSocket.non_blocking(true);
    mEntries.push_back(std::move(entry));
  }

  void AddIngress(const Base::Endpoint& aListen, const Base::Endpoint& aService)
  {
    auto ingress =
      std::make_unique<Ingress>(Ingress{ aService, udp::socket(mContext, ToAsio(aListen)), {} });
    ingress->mSocket.set_option(boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes));
    Ingress& added = *ingress;
    mIngresses[aService] = std::move(ingress);
    ReceiveFromCallers(added);
  }

  void Start() { ReceiveFromEntries(); }

private:
  void ReceiveFromCallers(Ingress& aIngress)
  {
    aIngress.mSocket.async_receive_from(
      boost::asio::buffer(aIngress.mBuffer),
      aIngress.mCaller,
      [this, &aIngress](const boost::system::error_code& aError, size_t aLength) {
        if (!aError) {
          ForwardToEntries(aIngress, absl::string_view(aIngress.mBuffer.data(), aLength));
        }
        ReceiveFromCallers(aIngress);
      });
  }

  void ForwardToEntries(const Ingress& aIngress, absl::string_view aPayload)
  {
    const std::string datagram =
      Wire::MakeProxiedDatagram({ FromAsio(aIngress.mCaller), aIngress.mService }, aPayload);
    SendToRandomEntry(datagram);
    if (Base::NextUnit(mRandom) < mDuplicateProbability) {
      SendToRandomEntry(datagram);
    }
  }

  void SendToRandomEntry(const std::string& aDatagram)
  {
    if (Base::NextUnit(mRandom) < mLossProbability) {
      return;
    }
    const Base::TimePoint now = Base::RuntimeClock::now();
    for (size_t attempt = 0; attempt < mEntries.size(); ++attempt) {
      Entry& entry = *mEntries[Base::NextBelow(mRandom, mEntries.size())];
      if (entry.mSkipUntil > now) {
        continue;
      }
      boost::system::error_code error;
      entry.mSocket.send(boost::asio::buffer(aDatagram), 0, error);
      if (!error) {
        return;
      }
      entry.mSkipUntil = now + kClosedPortBackoff;
    }
  }

  void ReceiveFromEntries()
  {
    mEgress.async_receive_from(boost::asio::buffer(mEgressBuffer),
                               mEgressSender,
                               [this](const boost::system::error_code& aError, size_t aLength) {
                                 if (!aError) {
                                   SendToCaller(absl::string_view(mEgressBuffer.data(), aLength));
                                 }
                                 ReceiveFromEntries();
                               });
  }

  void SendToCaller(absl::string_view aDatagram)
  {
    const absl::StatusOr<Wire::ProxiedDatagram> parts = Wire::ParseProxiedDatagram(aDatagram);
    if (!parts.ok()) {
      LOG(WARNING) << "[fabric] Dropped malformed datagram from an entry instance: "
                   << parts.status();
      return;
    }
    const auto ingress = mIngresses.find(parts->mAddresses.mSource);
    if (ingress == mIngresses.end()) {
      return;
    }
    boost::system::error_code ignored;
    ingress->second->mSocket.send_to(
      boost::asio::buffer(parts->mPayload.data(), parts->mPayload.size()),
      ToAsio(parts->mAddresses.mDestination),
      0,
      ignored);
  }

  boost::asio::io_context& mContext;
  udp::socket mEgress;
  udp::endpoint mEgressSender;
  std::array<char, 65536> mEgressBuffer{};
  Base::RandomSource mRandom;
  double mDuplicateProbability;
  double mLossProbability;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::map<Base::Endpoint, std::unique_ptr<Ingress>> mIngresses;
};

absl::StatusOr<std::pair<Base::Endpoint, Base::Endpoint>>
ParseIngress(const std::string& aText)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, '=');
  if (parts.size() != 2) {
    return absl::InvalidArgumentError(
      absl::StrCat("--ingress: \"", aText, "\" is not a pair LISTEN=SERVICE"));
  }
  const absl::StatusOr<Base::Endpoint> listen = Base::ParseEndpoint(parts[0]);
  if (!listen.ok()) {
    return listen.status();
  }
  const absl::StatusOr<Base::Endpoint> service = Base::ParseEndpoint(parts[1]);
  if (!service.ok()) {
    return service.status();
  }
  return std::make_pair(*listen, *service);
}

absl::Status
Configure(Fabric& aFabric)
{
  for (const std::string& text : absl::GetFlag(FLAGS_entries)) {
    const absl::StatusOr<Base::Endpoint> entry = Base::ParseEndpoint(text);
    if (!entry.ok()) {
      return entry.status();
    }
    aFabric.AddEntry(*entry);
  }
  for (const std::string& text : absl::GetFlag(FLAGS_ingress)) {
    const auto ingress = ParseIngress(text);
    if (!ingress.ok()) {
      return ingress.status();
    }
    aFabric.AddIngress(ingress->first, ingress->second);
  }
  return absl::OkStatus();
}

int
RunFabric()
{
  const absl::StatusOr<Base::Endpoint> egress = Base::ParseEndpoint(absl::GetFlag(FLAGS_egress));
  if (!egress.ok()) {
    std::cerr << "--egress: " << egress.status().message() << std::endl;
    return Program::kExitBadSettings;
  }
  Program::BlockStopSignals();
  boost::asio::io_context context{ 1 };
  Fabric fabric(context, *egress, absl::GetFlag(FLAGS_seed));
  const absl::Status configured = Configure(fabric);
  if (!configured.ok()) {
    std::cerr << configured.message() << std::endl;
    return Program::kExitBadSettings;
  }
  fabric.Start();
  std::thread thread([&context] { context.run(); });
  Program::WaitForStopSignal();
  context.stop();
  thread.join();
  return Program::kExitOk;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(
    aArgc,
    aArgv,
    "Network fabric simulator that distributes packets randomly over entry instances.");
  try {
    return RunFabric();
  } catch (const std::exception& error) {
    LOG(ERROR) << "[fabric] " << error.what() << ".";
    return Program::kExitFailure;
  }
}
