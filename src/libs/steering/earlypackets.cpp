#include "steering/earlypackets.h"

#include "steering/steering.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace Steering {

namespace {

/// A caller retransmits data after 0.2, 0.6 and 1.4 s. An older packet than this is a duplicate of
/// a later copy, or belongs to an upstream that no control instance knows.
constexpr std::chrono::seconds kTaggedLifetime{ 1 };

auto
Fields(const EarlyKey& aKey)
{
  return std::make_tuple(Base::Pack(aKey.mFlow.mCaller),
                         Base::Pack(aKey.mFlow.mService),
                         aKey.mSequence,
                         aKey.mKind,
                         aKey.mCarriesData);
}

EarlyKey
KeyOf(const Packet& aPacket)
{
  return { aPacket.mFlow, aPacket.mSequence, aPacket.mKind, aPacket.mCarriesData };
}

using Packets = std::map<EarlyOrder, EarlyPacket>;

/// \return the packet after the removed one.
Packets::iterator
Remove(EarlyPackets& aPackets, Packets::iterator aItem)
{
  aPackets.mOrders.erase(aItem->second.mKey);
  aPackets.mExpiries.erase({ aItem->second.mExpiresAt, aItem->first });
  aPackets.mBytes -= aItem->second.mDatagram.size();
  return aPackets.mPackets.erase(aItem);
}

Packets::iterator
FindHeld(EarlyPackets& aPackets, const EarlyKey& aKey)
{
  const auto order = aPackets.mOrders.find(aKey);
  return order == aPackets.mOrders.end() ? aPackets.mPackets.end()
                                         : aPackets.mPackets.find(order->second);
}

} // namespace

bool
operator<(const EarlyKey& aLeft, const EarlyKey& aRight)
{
  return Fields(aLeft) < Fields(aRight);
}

bool
operator<(const EarlyOrder& aLeft, const EarlyOrder& aRight)
{
  return std::tie(aLeft.mIsOpening, aLeft.mSince, aLeft.mNumber) <
         std::tie(aRight.mIsOpening, aRight.mSince, aRight.mNumber);
}

bool
HoldEarly(EarlyPackets& aPackets,
          const Packet& aPacket,
          Reason aReason,
          Base::Duration aOpeningLifetime,
          Base::TimePoint aNow)
{
  const bool isOpening = aPacket.mKind == PacketKind::Opening;
  EarlyPacket packet;
  packet.mKey = KeyOf(aPacket);
  packet.mTag = aPacket.mTag;
  packet.mAge = aPacket.mAge;
  packet.mFirstReceivedAt = aNow - aPacket.mHeldFor;
  packet.mReason = aReason;
  EarlyOrder order{ isOpening, packet.mFirstReceivedAt - packet.mAge, aPackets.mNextNumber };
  size_t replacedBytes = 0;
  const auto held = FindHeld(aPackets, packet.mKey);
  const bool replaces = held != aPackets.mPackets.end();
  if (replaces) {
    packet.mAge = held->second.mAge;
    packet.mFirstReceivedAt = held->second.mFirstReceivedAt;
    order = held->first;
    replacedBytes = held->second.mDatagram.size();
  }
  packet.mExpiresAt = isOpening ? order.mSince + aOpeningLifetime : aNow + kTaggedLifetime;
  const size_t bytes = aPackets.mBytes - replacedBytes + aPacket.mDatagram.size();
  const bool full =
    bytes > kMaxEarlyBytes || (!replaces && aPackets.mPackets.size() >= kMaxEarlyPackets);
  if (packet.mExpiresAt <= aNow) {
    return false;
  }
  if (full) {
    return replaces; // The copy that is held stays.
  }
  packet.mDatagram = std::string(aPacket.mDatagram);
  if (replaces) {
    Remove(aPackets, held);
  } else {
    ++aPackets.mNextNumber;
  }
  aPackets.mBytes = bytes;
  aPackets.mOrders.emplace(packet.mKey, order);
  aPackets.mExpiries.emplace(packet.mExpiresAt, order);
  aPackets.mPackets.emplace(order, std::move(packet));
  return true;
}

void
RemoveEarly(EarlyPackets& aPackets, const Packet& aPacket)
{
  if (aPackets.mPackets.empty()) {
    return;
  }
  const auto held = FindHeld(aPackets, KeyOf(aPacket));
  if (held != aPackets.mPackets.end()) {
    Remove(aPackets, held);
  }
}

std::vector<EarlyPacket>
RemoveExpiredEarly(EarlyPackets& aPackets, Base::TimePoint aNow)
{
  std::vector<EarlyPacket> expired;
  while (!aPackets.mExpiries.empty() && aPackets.mExpiries.begin()->first <= aNow) {
    const auto item = aPackets.mPackets.find(aPackets.mExpiries.begin()->second);
    expired.push_back(item->second);
    Remove(aPackets, item);
  }
  return expired;
}

Packet
ToPacket(const EarlyPacket& aPacket, Base::TimePoint aNow)
{
  Packet packet;
  packet.mFlow = aPacket.mKey.mFlow;
  packet.mKind = aPacket.mKey.mKind;
  packet.mTag = aPacket.mTag;
  packet.mCarriesData = aPacket.mKey.mCarriesData;
  packet.mSequence = aPacket.mKey.mSequence;
  packet.mAge = aPacket.mAge;
  packet.mHeldFor = aNow - aPacket.mFirstReceivedAt;
  packet.mDatagram = aPacket.mDatagram;
  return packet;
}

} // namespace Steering
