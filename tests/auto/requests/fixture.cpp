#include "fixture.h"

#include <algorithm>

namespace RequestsTest {

namespace {

constexpr unsigned kCounterBits = 32;

lw::caller::EntryPacket
ParseEntry(const Requests::ToCaller& aPacket)
{
  lw::caller::EntryPacket packet;
  packet.ParseFromString(aPacket.mPayload);
  return packet;
}

} // namespace

Node::Node(uint32_t aId, uint64_t aRandomPart)
  : mNow(std::chrono::seconds(1000))
{
  const Requests::Run run{ Base::InstanceId(aId), Base::Incarnation(aRandomPart << kCounterBits) };
  mState = Requests::MakeState(run, 0);
  mSettings.mTicketKey = Requests::MakeTicketKey("key");
  auto service = std::make_shared<Config::ServiceView>();
  service->mName = "counter";
  service->mAddress = kService;
  service->mGeneration = Base::ServiceGeneration(3);
  service->mDefinition.add_work_kinds()->set_name("lookup");
  mServices.mByAddress[kService] = service;
  Membership::Upstream upstream;
  upstream.mEndpoint = kUpstream;
  upstream.mGeneration = Base::ServiceGeneration(3);
  upstream.mSlots = 1;
  upstream.mLeaseEnd = Base::TimePoint::max();
  mView.mUpstreams = { upstream };
  SetMembers({});
}

Requests::Context
Node::Context()
{
  return { mView, mServices, mSettings, mLimits, mNow, mRandom, mWallNow };
}

void
Node::Advance(Base::Duration aStep)
{
  mNow += aStep;
}

void
Node::SetMembers(const std::vector<const Node*>& aOthers)
{
  std::vector<const Node*> nodes = aOthers;
  nodes.push_back(this);
  mView.mMembers.clear();
  for (const Node* node : nodes) {
    Membership::Member member;
    member.mId = node->mState.mSelf.mInstance;
    // The membership protocol may have incremented the counter in the low bits.
    member.mIncarnation = Base::Incarnation(node->mState.mSelf.mIncarnation.mValue + 5);
    member.mState = node->mState.mHandover.mIsLeaving ? Membership::MemberState::Leaving
                                                      : Membership::MemberState::Alive;
    mView.mMembers.push_back(member);
  }
  std::sort(mView.mMembers.begin(),
            mView.mMembers.end(),
            [](const Membership::Member& aLeft, const Membership::Member& aRight) {
              return aLeft.mId < aRight.mId;
            });
  Tick();
}

Requests::Effects
Node::Caller(const lw::caller::CallerPacket& aPacket)
{
  const auto message =
    Requests::DecodeCallerPacket(mSettings.mTicketKey, kAddresses, aPacket.SerializeAsString());
  if (!message.ok()) {
    Requests::Effects effects;
    effects.mEvents.push_back(Requests::ToEvent(message.status()));
    return effects;
  }
  return Requests::HandleCallerMessage(mState, Context(), *message, kUpstream);
}

Requests::Effects
Node::Peer(const std::string& aPayload)
{
  const auto message = Requests::DecodePeerPayload(mSettings.mTicketKey, aPayload);
  return message.ok() ? Requests::HandlePeerMessage(mState, Context(), *message)
                      : Requests::Effects();
}

Requests::Effects
Node::Upstream(const lw::upstream::FromUpstream& aPacket, const Base::Endpoint& aSender)
{
  return Requests::HandleUpstreamPacket(mState, Context(), aSender, aPacket);
}

Requests::Effects
Node::Tick()
{
  return Requests::Tick(mState, Context());
}

Requests::Effects
Node::Leave()
{
  return Requests::BeginLeave(mState, Context());
}

lw::caller::CallerPacket
MakeOpen(uint64_t aOpenId)
{
  lw::caller::CallerPacket packet;
  packet.mutable_open()->set_open_id(aOpenId);
  packet.mutable_open()->set_client("client");
  return packet;
}

lw::caller::CallerPacket
MakeRequest(const OpenedFlow& aFlow,
            uint64_t aNumber,
            bool aIsRepeatable,
            const std::string& aBody,
            uint32_t aDeadlineMs)
{
  lw::caller::CallerPacket packet;
  lw::caller::Request& request = *packet.mutable_request();
  request.set_ticket(aFlow.mTicket);
  request.set_number(aNumber);
  request.set_kind("lookup");
  request.set_repeatable(aIsRepeatable);
  request.set_deadline_ms(aDeadlineMs);
  request.set_body(aBody);
  return packet;
}

lw::caller::CallerPacket
MakeCancel(const OpenedFlow& aFlow, uint64_t aNumber)
{
  lw::caller::CallerPacket packet;
  packet.mutable_cancel()->set_ticket(aFlow.mTicket);
  packet.mutable_cancel()->set_number(aNumber);
  return packet;
}

lw::upstream::FromUpstream
MakePiece(const lw::upstream::WorkId& aId,
          uint32_t aIndex,
          uint32_t aTotal,
          const std::string& aBody)
{
  lw::upstream::FromUpstream packet;
  *packet.mutable_piece()->mutable_id() = aId;
  packet.mutable_piece()->set_index(aIndex);
  packet.mutable_piece()->set_total(aTotal);
  packet.mutable_piece()->set_body(aBody);
  return packet;
}

lw::upstream::FromUpstream
MakeShed(const lw::upstream::WorkId& aId)
{
  lw::upstream::FromUpstream packet;
  *packet.mutable_shed()->mutable_id() = aId;
  return packet;
}

OpenedFlow
Open(Node& aNode, uint64_t aOpenId)
{
  for (const Requests::ToCaller& packet : aNode.Caller(MakeOpen(aOpenId)).mToCallers) {
    const lw::caller::EntryPacket entry = ParseEntry(packet);
    if (entry.has_opened()) {
      return { entry.opened().flow(), entry.opened().ticket() };
    }
  }
  return {};
}

std::optional<lw::caller::Refusal>
FindRefusal(const Requests::Effects& aEffects)
{
  for (const Requests::ToCaller& packet : aEffects.mToCallers) {
    const lw::caller::EntryPacket entry = ParseEntry(packet);
    if (entry.has_refusal()) {
      return entry.refusal();
    }
  }
  return std::nullopt;
}

bool
HasOutcome(const Requests::Effects& aEffects, lw::caller::Outcome aOutcome)
{
  const auto refusal = FindRefusal(aEffects);
  return aEffects.mToCallers.size() == 1 && refusal.has_value() && refusal->outcome() == aOutcome;
}

std::vector<std::string>
AnswerPieces(const Requests::Effects& aEffects)
{
  std::vector<std::string> bodies;
  for (const Requests::ToCaller& packet : aEffects.mToCallers) {
    const lw::caller::EntryPacket entry = ParseEntry(packet);
    if (entry.has_piece()) {
      bodies.resize(entry.piece().total());
      bodies[entry.piece().index()] = entry.piece().body();
    }
  }
  return bodies;
}

std::vector<lw::upstream::Work>
DispatchedWork(const Requests::Effects& aEffects)
{
  std::vector<lw::upstream::Work> works;
  for (const Requests::ToUpstream& packet : aEffects.mToUpstreams) {
    lw::upstream::ToUpstream message;
    message.ParseFromString(packet.mPayload);
    if (message.has_work()) {
      works.push_back(message.work());
    }
  }
  return works;
}

size_t
CountCancels(const Requests::Effects& aEffects)
{
  return aEffects.mToUpstreams.size() - DispatchedWork(aEffects).size();
}

bool
HasEvent(const Requests::Effects& aEffects, Requests::Event aEvent)
{
  return std::count(aEffects.mEvents.begin(), aEffects.mEvents.end(), aEvent) > 0;
}

} // namespace RequestsTest
