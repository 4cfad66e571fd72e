#include "absl/flags/flag.h"
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
          "pairs listen=service address, separated by commas");
ABSL_FLAG(std::string, egress, "", "address that takes the entry instances' datagrams to callers");
ABSL_FLAG(std::vector<std::string>, entries, {}, "datagram addresses of the entry instances");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random source");
ABSL_FLAG(double, duplicate, 0.0, "part of the packets that go to two entry instances");
ABSL_FLAG(double, loss, 0.0, "part of the packets that are lost");

namespace {

using boost::asio::ip::udp;

/// An entry instance whose port is closed gets no packet for this long.
constexpr std::chrono::milliseconds kAvoidClosedPort{ 500 };
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

/// A connected socket tells by ECONNREFUSED that the instance's port is closed.
struct Entry
{
  udp::socket mSocket;
  Base::TimePoint mAvoidUntil;
};

/// Callers' side of one service.
struct Ingress
{
  Base::Endpoint mService;
  udp::socket mSocket;
  udp::endpoint mFrom;
  std::array<char, 65536> mBuffer{};
};

/// Sprays callers' packets over the entry instances and takes their answers back.
class Fabric
{
public:
  Fabric(boost::asio::io_context& aContext, const Base::Endpoint& aEgress, uint64_t aSeed)
    : mContext(aContext)
    , mEgress(aContext, ToAsio(aEgress))
    , mRandom{ aSeed }
    , mDuplicate(absl::GetFlag(FLAGS_duplicate))
    , mLoss(absl::GetFlag(FLAGS_loss))
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
      aIngress.mFrom,
      [this, &aIngress](const boost::system::error_code& aError, size_t aLength) {
        if (!aError) {
          Spray(aIngress, absl::string_view(aIngress.mBuffer.data(), aLength));
        }
        ReceiveFromCallers(aIngress);
      });
  }

  void Spray(const Ingress& aIngress, absl::string_view aPayload)
  {
    const std::string datagram =
      Wire::MakeProxiedDatagram({ FromAsio(aIngress.mFrom), aIngress.mService }, aPayload);
    SendToAnyEntry(datagram);
    if (Base::NextUnit(mRandom) < mDuplicate) {
      SendToAnyEntry(datagram);
    }
  }

  void SendToAnyEntry(const std::string& aDatagram)
  {
    if (Base::NextUnit(mRandom) < mLoss) {
      return;
    }
    const Base::TimePoint now = Base::RuntimeClock::now();
    for (size_t attempt = 0; attempt < mEntries.size(); ++attempt) {
      Entry& entry = *mEntries[Base::NextBelow(mRandom, mEntries.size())];
      if (entry.mAvoidUntil > now) {
        continue;
      }
      boost::system::error_code error;
      entry.mSocket.send(boost::asio::buffer(aDatagram), 0, error);
      if (!error) {
        return;
      }
      entry.mAvoidUntil = now + kAvoidClosedPort;
    }
  }

  void ReceiveFromEntries()
  {
    mEgress.async_receive_from(boost::asio::buffer(mEgressBuffer),
                               mEgressFrom,
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
      LOG(WARNING) << "[fabric] Datagram from an entry instance dropped: " << parts.status();
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
  udp::endpoint mEgressFrom;
  std::array<char, 65536> mEgressBuffer{};
  Base::RandomSource mRandom;
  double mDuplicate;
  double mLoss;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::map<Base::Endpoint, std::unique_ptr<Ingress>> mIngresses;
};

absl::StatusOr<std::pair<Base::Endpoint, Base::Endpoint>>
ParseIngress(const std::string& aText)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, '=');
  if (parts.size() != 2) {
    return absl::InvalidArgumentError("--ingress takes pairs listen=service");
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
    aArgc, aArgv, "Stand-in for the fabric; sprays packets over entry instances.");
  try {
    return RunFabric();
  } catch (const std::exception& error) {
    LOG(ERROR) << "[fabric] " << error.what() << ".";
    return Program::kExitFailure;
  }
}
