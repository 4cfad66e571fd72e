#include "platform/packethead.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using Steering::PacketKind;

namespace {

/// Example of an opening packet in the platform's documentation.
const std::vector<uint8_t> kOpening{ 0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44,
                                     0x00, 0x00, 0x00, 0x00, 0x64, 0x40, 0x00, 0x07,
                                     0x01, 0xbb, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01,
                                     0x00, 0x00, 0x80, 0xa1, 0xb2, 0xc3, 0xd5 };
constexpr size_t kFlagsOffset = 26;

} // namespace

TEST_GROUP(PacketHeader)
{
  std::vector<uint8_t> mPacket = kOpening;

  std::optional<Steering::Packet> Decode() const
  {
    return Platform::DecodePacket(mPacket.data(), mPacket.size());
  }
};

// Guards against fields that are read at the wrong offset or in the wrong byte order.
TEST(PacketHeader, ReadsThePublishedExample)
{
  const auto packet = Decode();
  CHECK_TRUE(packet.has_value());
  STRCMP_EQUAL("100.64.0.7:40001", Base::ToString(packet->mFlow.mCaller).c_str());
  STRCMP_EQUAL("198.18.0.1:443", Base::ToString(packet->mFlow.mService).c_str());
  CHECK_TRUE(packet->mKind == PacketKind::Opening);
  LONGS_EQUAL(0x11223344, packet->mSequence);
}

// Guards against resets that callers ignore.
TEST(PacketHeader, ResetEqualsThePublishedExample)
{
  const std::vector<uint8_t> expected{ 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                                       0x00, 0x00, 0x00, 0x00, 0xc6, 0x12, 0x00, 0x01,
                                       0x9c, 0x41, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07,
                                       0x00, 0x00, 0x04, 0x00, 0x00, 0x00, 0x00 };
  const auto reset = Platform::MakeReset(mPacket.data());
  CHECK_TRUE(std::equal(reset.begin(), reset.end(), expected.begin(), expected.end()));
}

// Guards against changes outside the tag field.
TEST(PacketHeader, TagChangesOnlyItsField)
{
  Platform::WriteTag(mPacket.data(), Directory::RouteTag(0x01020304));
  CHECK_TRUE(std::equal(mPacket.begin() + 4, mPacket.end(), kOpening.begin() + 4));
  LONGS_EQUAL(0x01020304, Decode()->mTag.mValue);
}

// Guards against packets whose flags are decoded as the wrong kind.
TEST(PacketHeader, DecodesKindFromFlags)
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
    mPacket[kFlagsOffset] = row.mFlags;
    CHECK_TRUE(Decode()->mKind == row.mKind);
  }
}

// Guards against reads beyond the end of a datagram with random content.
TEST(PacketHeader, RejectsMalformedDatagrams)
{
  Base::RandomSource random{ 20261204 };
  for (int i = 0; i < 100000; ++i) {
    std::vector<uint8_t> bytes(Base::NextBelow(random, 1300));
    for (uint8_t& byte : bytes) {
      byte = static_cast<uint8_t>(Base::NextRandom(random));
    }
    const auto packet = Platform::DecodePacket(bytes.data(), bytes.size());
    const size_t declaredSize =
      bytes.size() < Platform::kPacketHeaderBytes ? 0 : bytes[24] * 256U + bytes[25];
    const bool isValid = bytes.size() >= Platform::kPacketHeaderBytes &&
                         declaredSize <= Platform::kMaxPayloadBytes &&
                         declaredSize + Platform::kPacketHeaderBytes == bytes.size();
    CHECK_EQUAL(isValid, packet.has_value());
  }
}

// Guards against packets that are accepted by another upstream at a reused address.
TEST(PacketHeader, PrefixHoldsTheUpstreamId)
{
  std::vector<uint8_t> prefix(Platform::kUpstreamPrefixBytes);
  Platform::WriteUpstreamPrefix(prefix.data(), Directory::UpstreamId(0x7f3a91c2));
  CHECK_TRUE((prefix == std::vector<uint8_t>{ 0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2 }));
}
