#include "base/random.h"
#include "wire/proxyheader.h"

#include <CppUTest/TestHarness.h>

namespace {

const Wire::ProxyAddresses kAddresses{ { 0x7F000001, 5000 }, { 0xC0000201, 443 } };

} // namespace

TEST_GROUP(ProxyHeader){};

TEST(ProxyHeader, RoundTripsDatagrams)
{
  const std::string datagram = Wire::MakeProxiedDatagram(kAddresses, "payload");
  const absl::StatusOr<Wire::ProxiedDatagram> parts = Wire::ParseProxiedDatagram(datagram);
  CHECK_TRUE(parts.ok());
  CHECK_TRUE(parts->mAddresses.mSource == kAddresses.mSource);
  CHECK_TRUE(parts->mAddresses.mDestination == kAddresses.mDestination);
  CHECK_TRUE(parts->mPayload == "payload");
}

// Guards against reading past the end of a truncated datagram.
TEST(ProxyHeader, RejectsEveryTruncation)
{
  const std::string datagram = Wire::MakeProxiedDatagram(kAddresses, "");
  for (size_t length = 0; length < datagram.size(); ++length) {
    CHECK_FALSE(Wire::ParseProxiedDatagram(datagram.substr(0, length)).ok());
  }
}

// Guards against header extensions being parsed as payload.
TEST(ProxyHeader, SkipsExtensions)
{
  std::string datagram = Wire::MakeProxiedDatagram(kAddresses, "xyzpayload");
  datagram[15] = static_cast<char>(datagram[15] + 3);
  const absl::StatusOr<Wire::ProxiedDatagram> parts = Wire::ParseProxiedDatagram(datagram);
  CHECK_TRUE(parts.ok());
  CHECK_TRUE(parts->mPayload == "payload");
}

// Guards against a crash or an out-of-bounds payload on corrupted input.
TEST(ProxyHeader, ToleratesCorruptedDatagrams)
{
  Base::RandomSource random{ 20261204 };
  const std::string valid = Wire::MakeProxiedDatagram(kAddresses, "some payload");
  for (int i = 0; i < 20000; ++i) {
    std::string corrupted = valid;
    corrupted[Base::NextBelow(random, corrupted.size())] =
      static_cast<char>(Base::NextRandom(random));
    corrupted.resize(Base::NextBelow(random, corrupted.size() + 1));
    const absl::StatusOr<Wire::ProxiedDatagram> parts = Wire::ParseProxiedDatagram(corrupted);
    if (parts.ok()) {
      CHECK_TRUE(parts->mPayload.size() + Wire::kProxyHeaderLength <= corrupted.size());
    }
  }
}
