#pragma once

#include "steering/flowtable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Steering {

enum class PacketKind;
enum class Reason;
struct Packet;

/// Identifies a packet. Retransmissions have the same key. An acknowledgment without data has the
/// same sequence number as the data after it, so that the key tells them apart.
struct EarlyKey
{
  FlowKey mFlow;
  uint32_t mSequence = 0;
  PacketKind mKind{};
  bool mCarriesData = false;
};

bool
operator<(const EarlyKey& aLeft, const EarlyKey& aRight);

/// Order in which held packets are decided again: those of open flows first, because their callers
/// may wait for an answer already, then opening packets, each the oldest first.
struct EarlyOrder
{
  bool mIsOpening = false;
  /// When the caller sent the first copy of an opening packet, or when the first copy of any other
  /// packet was received.
  Base::TimePoint mSince;
  uint64_t mNumber = 0;
};

bool
operator<(const EarlyOrder& aLeft, const EarlyOrder& aRight);

/// A packet that can't be decided yet, with the fields of Packet.
struct EarlyPacket
{
  EarlyKey mKey;
  Directory::RouteTag mTag;
  /// Age that the first copy had when this instance received it.
  Base::Duration mAge{};
  Base::TimePoint mFirstReceivedAt;
  Base::TimePoint mExpiresAt;
  /// Why the packet can't be decided.
  Reason mReason{};
  /// The latest copy as it was received.
  std::string mDatagram;
};

/// Packets that were received before the routes and the directory determine what to do with them.
/// Owned by one entry instance; after a restart the callers' next copies replace the packets.
/// Bounded by kMaxEarlyPackets and kMaxEarlyBytes. Each operation on a packet takes logarithmic
/// time.
struct EarlyPackets
{
  std::map<EarlyOrder, EarlyPacket> mPackets;
  std::map<EarlyKey, EarlyOrder> mOrders;
  std::set<std::pair<Base::TimePoint, EarlyOrder>> mExpiries;
  /// Sum of the sizes of the datagrams.
  size_t mBytes = 0;
  uint64_t mNextNumber = 0;
};

constexpr size_t kMaxEarlyPackets = 2000;
constexpr size_t kMaxEarlyBytes = size_t{ 2 } * 1000 * 1000;

/// Holds a packet, or replaces the copy of it that is held. A replaced opening packet keeps the
/// time of its first copy; any other packet is held for as long as if it were new.
/// \param aOpeningLifetime is the time after its first copy for which an opening packet is held.
/// \return false if the packet was not held, because its caller has ended the attempt or a bound is
/// reached.
bool
HoldEarly(EarlyPackets& aPackets,
          const Packet& aPacket,
          Reason aReason,
          Base::Duration aOpeningLifetime,
          Base::TimePoint aNow);

/// Removes the held copy of the packet, if there is one.
void
RemoveEarly(EarlyPackets& aPackets, const Packet& aPacket);

/// Removes the packets that are no longer of use to their callers.
/// \return the removed packets.
std::vector<EarlyPacket>
RemoveExpiredEarly(EarlyPackets& aPackets, Base::TimePoint aNow);

/// \return the packet as it is to be decided now. Its datagram is valid as long as aPacket.
Packet
ToPacket(const EarlyPacket& aPacket, Base::TimePoint aNow);

} // namespace Steering
