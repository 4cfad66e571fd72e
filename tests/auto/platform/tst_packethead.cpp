#include "platform/packethead.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using Steering::PacketKind;

namespace {

/// The opening packet that the platform's page gives as an example.
const std::vector<uint8_t> kOpening{ 0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44,
                                     0x00, 0x00, 0x00, 0x00, 0x64, 0x40, 0x00, 0x07,
                                     0x01, 0xbb, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01,
                                     0x00, 0x00, 0x80, 0xa1, 0xb2, 0xc3, 0xd5 };
constexpr size_t kFlagsAt = 26;

} // namespace

TEST_GROUP(PacketHead)
{
  std::vector<uint8_t> mPacket = kOpening;

  std::optional<Steering::Packet> Decode() const
  {
    return Platform::DecodePacket(mPacket.data(), mPacket.size());
  }
};

// Guards against fields that are read from the wrong place or in the wrong byte order.
TEST(PacketHead, ReadsThePublishedExample)
{
  const auto packet = Decode();
  CHECK_TRUE(packet.has_value());
  STRCMP_EQUAL("100.64.0.7:40001", Base::ToString(packet->mFlow.mCaller).c_str());
  STRCMP_EQUAL("198.18.0.1:443", Base::ToString(packet->mFlow.mService).c_str());
  CHECK_TRUE(packet->mKind == PacketKind::Opening);
  LONGS_EQUAL(0x11223344, packet->mSequence);
}

// Guards against a reset that the caller does not take.
TEST(PacketHead, ResetEqualsThePublishedExample)
{
  const std::vector<uint8_t> expected{ 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                                       0x00, 0x00, 0x00, 0x00, 0xc6, 0x12, 0x00, 0x01,
                                       0x9c, 0x41, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07,
                                       0x00, 0x00, 0x04, 0x00, 0x00, 0x00, 0x00 };
  const auto reset = Platform::MakeReset(mPacket.data());
  CHECK_TRUE(std::equal(reset.begin(), reset.end(), expected.begin(), expected.end()));
}

// Guards against a change of anything but the field that is ours to write.
TEST(PacketHead, TagChangesOnlyItsField)
{
  Platform::WriteTag(mPacket.data(), Directory::RouteTag(0x01020304));
  CHECK_TRUE(std::equal(mPacket.begin() + 4, mPacket.end(), kOpening.begin() + 4));
  LONGS_EQUAL(0x01020304, Decode()->mTag.mValue);
}

// Guards against packets that are taken for what they are not.
TEST(PacketHead, FlagsTellTheKind)
{
  const struct
  {
    uint8_t mFlags;
    PacketKind mKind;
  } rows[] = { { 128, PacketKind::Opening },     { 128 | 64, PacketKind::Invalid },
               { 64, PacketKind::MidFlow },      { 64 | 1, PacketKind::Closing },
               { 4, PacketKind::Abort },         { 64 | 4, PacketKind::Abort },
               { 128 | 2, PacketKind::Opening }, { 0, PacketKind::MidFlow } };
  for (const auto& row : rows) {
    mPacket[kFlagsAt] = row.mFlags;
    CHECK_TRUE(Decode()->mKind == row.mKind);
  }
}

// Guards against reads beyond a datagram, whatever it holds.
TEST(PacketHead, MalformedDatagramsAreRefused)
{
  Base::RandomSource random{ 20261204 };
  for (int i = 0; i < 100000; ++i) {
    std::vector<uint8_t> bytes(Base::NextBelow(random, 1300));
    for (uint8_t& byte : bytes) {
      byte = static_cast<uint8_t>(Base::NextRandom(random));
    }
    const auto packet = Platform::DecodePacket(bytes.data(), bytes.size());
    const size_t said = bytes.size() < Platform::kHeadBytes ? 0 : bytes[24] * 256U + bytes[25];
    const bool whole = bytes.size() >= Platform::kHeadBytes && said <= Platform::kMaxDataBytes &&
                       said + Platform::kHeadBytes == bytes.size();
    CHECK_EQUAL(whole, packet.has_value());
  }
}

// Guards against a packet that another upstream at a reused address takes.
TEST(PacketHead, PrefixNamesTheUpstream)
{
  std::vector<uint8_t> prefix(Platform::kUpstreamPrefixBytes);
  Platform::WriteUpstreamPrefix(prefix.data(), Directory::UpstreamId(0x7f3a91c2));
  CHECK_TRUE((prefix == std::vector<uint8_t>{ 0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2 }));
}
