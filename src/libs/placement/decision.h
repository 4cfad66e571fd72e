#pragma once

#include "placement/shard.h"

#include "absl/strings/string_view.h"

#include <optional>

namespace Placement {

/// A packet to place.
struct Packet
{
  FlowKey mFlow;
  uint16_t mSlot = 0;
  /// It carries the mark of an opening packet. False for services without mark.
  bool mIsOpening = false;
  /// Times that it was forwarded between instances.
  uint32_t mHops = 0;
  /// Upstream that the instance which received it from the fabric last used for the flow.
  std::optional<Base::Endpoint> mLastUpstream;
};

enum class Verdict
{
  SendToUpstream,
  ForwardToMember,
  /// This instance gets the table or the records of the slot soon; decide again after the next
  /// message or tick.
  Hold,
  Drop
};

enum class DropReason
{
  None,
  /// No upstream takes new flows.
  NoUpstream,
  /// The upstream of the flow is gone.
  UpstreamGone,
  /// Instances disagree on the owner.
  TooManyHops
};

struct Decision
{
  Verdict mVerdict = Verdict::Drop;
  Base::Endpoint mUpstream;
  Base::InstanceId mMember;
  /// Goes with the forwarded packet.
  std::optional<Base::Endpoint> mLastUpstream;
  DropReason mReason = DropReason::None;
  /// A record was evicted to make room.
  bool mHasEvicted = false;
};

/// Packets that were forwarded this often are dropped, which ends loops between instances whose
/// views differ.
constexpr uint32_t kMaxHops = 3;

/// Decides where a packet goes.
/// \param aShard must be the shard of the packet's slot.
Decision
DecidePacket(Shard& aShard,
             const Packet& aPacket,
             const Membership::View& aView,
             Base::TimePoint aNow);

/// Stores an owner's answer to a packet that this instance forwarded.
/// \return true if a cached answer was evicted for it.
bool
CacheAnswer(Shard& aShard,
            const FlowKey& aFlow,
            uint16_t aSlot,
            const Base::Endpoint& aUpstream,
            Base::TimePoint aNow);

/// \return true if the payload begins with the long header form of RFC 8999.
bool
HasOpeningMark(absl::string_view aPayload);

/// \return the name of the reason for counters.
const char*
ReasonName(DropReason aReason);

} // namespace Placement
