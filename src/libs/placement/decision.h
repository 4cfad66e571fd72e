#pragma once

#include "placement/shard.h"

#include "absl/strings/string_view.h"

#include <optional>

namespace Placement {

/// Input of DecidePacket.
struct Packet
{
  FlowKey mFlow;
  uint16_t mSlot = 0;
  /// The packet has an opening mark. Always false for services whose packets have none.
  bool mIsOpening = false;
  /// Number of times that the packet was forwarded between instances.
  uint32_t mHops = 0;
  /// Upstream last used for the flow by the instance that received the packet from the fabric.
  std::optional<Base::Endpoint> mLastUpstream;
};

enum class Verdict
{
  SendToUpstream,
  ForwardToMember,
  /// The table or the slot's records are about to arrive; decide again after the next message or
  /// tick.
  Hold,
  Drop
};

enum class DropReason
{
  None,
  /// No upstream takes new flows.
  NoUpstream,
  /// The flow's upstream is no longer usable.
  UpstreamGone,
  /// The packet was forwarded kMaxHops times, because instances disagree on the owner.
  TooManyHops
};

struct Decision
{
  Verdict mVerdict = Verdict::Drop;
  Base::Endpoint mUpstream;
  Base::InstanceId mMember;
  /// Sent along with a forwarded packet.
  std::optional<Base::Endpoint> mLastUpstream;
  DropReason mReason = DropReason::None;
  /// A record was evicted because the table was full.
  bool mHasEvicted = false;
};

/// Limits forwarding loops between instances whose views differ.
constexpr uint32_t kMaxHops = 3;

/// Selects the upstream or the member to which a packet is sent.
/// \param aShard must be the shard of the packet's slot.
Decision
DecidePacket(Shard& aShard,
             const Packet& aPacket,
             const Membership::View& aView,
             Base::TimePoint aNow);

/// Caches the upstream that the slot owner returned for a forwarded packet.
/// \return true if another cached answer was evicted.
bool
CacheAnswer(Shard& aShard,
            const FlowKey& aFlow,
            uint16_t aSlot,
            const Base::Endpoint& aUpstream,
            Base::TimePoint aNow);

/// \return true if the payload begins with the long header form of RFC 8999.
bool
HasOpeningMark(absl::string_view aPayload);

/// \return the name of the reason in metrics.
const char*
ReasonName(DropReason aReason);

} // namespace Placement
