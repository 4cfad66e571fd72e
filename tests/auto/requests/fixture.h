#pragma once

#include "requests/dispatcher.h"

#include "caller.pb.h"
#include "upstream.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace RequestsTest {

constexpr Base::Endpoint kCaller{ 0x7F000301, 5000 };
constexpr Base::Endpoint kService{ 0xC0000201, 7000 };
constexpr Base::Endpoint kUpstream{ 0x7F000101, 9000 };
constexpr Requests::FlowAddresses kAddresses{ kCaller, kService };
constexpr uint32_t kDeadlineMs = 1000;

/// An entry instance without a network. The tests deliver its packets.
struct Node
{
  explicit Node(uint32_t aId, uint64_t aRandomPart = 7);

  Requests::Context Context();
  void Advance(Base::Duration aStep);
  /// Sets the members of the view to the given instances and this one.
  void SetMembers(const std::vector<const Node*>& aOthers);

  Requests::Effects Caller(const lw::caller::CallerPacket& aPacket);
  Requests::Effects Peer(const std::string& aPayload);
  Requests::Effects Upstream(const lw::upstream::FromUpstream& aPacket,
                             const Base::Endpoint& aSender = kUpstream);
  Requests::Effects Tick();
  Requests::Effects Leave();

  Requests::State mState;
  Membership::View mView;
  Config::ServiceIndex mServices;
  Requests::Settings mSettings;
  Requests::Limits mLimits;
  Base::TimePoint mNow;
  Terms::WallSeconds mWallNow{ 1000000 };
  Base::RandomSource mRandom;
};

struct OpenedFlow
{
  uint64_t mFlow = 0;
  std::string mTicket;
};

lw::caller::CallerPacket
MakeOpen(uint64_t aOpenId);
lw::caller::CallerPacket
MakeRequest(const OpenedFlow& aFlow,
            uint64_t aNumber,
            bool aIsRepeatable = false,
            const std::string& aBody = "body",
            uint32_t aDeadlineMs = kDeadlineMs);
lw::caller::CallerPacket
MakeCancel(const OpenedFlow& aFlow, uint64_t aNumber);
lw::upstream::FromUpstream
MakePiece(const lw::upstream::WorkId& aId,
          uint32_t aIndex,
          uint32_t aTotal,
          const std::string& aBody);
lw::upstream::FromUpstream
MakeShed(const lw::upstream::WorkId& aId);

/// Opens a flow on the node that is the dispatcher of the upstream.
OpenedFlow
Open(Node& aNode, uint64_t aOpenId = 1);

std::optional<lw::caller::Refusal>
FindRefusal(const Requests::Effects& aEffects);
/// \return true if the only packet to the caller is a refusal with this outcome.
bool
HasOutcome(const Requests::Effects& aEffects, lw::caller::Outcome aOutcome);
/// \return the bodies of the answer pieces, ordered by index.
std::vector<std::string>
AnswerPieces(const Requests::Effects& aEffects);
std::vector<lw::upstream::Work>
DispatchedWork(const Requests::Effects& aEffects);
size_t
CountCancels(const Requests::Effects& aEffects);
bool
HasEvent(const Requests::Effects& aEffects, Requests::Event aEvent);

} // namespace RequestsTest
