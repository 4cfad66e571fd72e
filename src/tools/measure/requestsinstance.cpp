#include "measure/requestsparties.h"

#include "upstream.pb.h"

#include "absl/strings/numbers.h"
#include <cstring>
#include <utility>

namespace RequestFakes {

namespace {

using std::chrono::milliseconds;

Instance&
InstanceOf(World& aWorld, Base::InstanceId aId)
{
  return *aWorld.mInstances.at(aId.mValue - 1);
}

/// Copies what the instance can see at this moment into its view.
void
RefreshView(World& aWorld, Instance& aInstance)
{
  if (!aInstance.mState.has_value()) {
    return;
  }
  Membership::View& view = aInstance.mView;
  view.mMembers.clear();
  for (const auto& other : aWorld.mInstances) {
    if (!other->mState.has_value() || other->mPartition != aInstance.mPartition) {
      continue;
    }
    Membership::Member member;
    member.mId = other->mId;
    member.mIncarnation = other->mState->mSelf.mIncarnation;
    member.mState = other->mState->mHandover.mIsLeaving ? Membership::MemberState::Leaving
                                                        : Membership::MemberState::Alive;
    view.mMembers.push_back(member);
  }
}

/// Renews the leases of the upstreams once a second, as their announcements do.
void
RenewLeases(const World& aWorld, Membership::View& aView)
{
  const auto step =
    std::chrono::duration_cast<std::chrono::seconds>(aWorld.mNetwork.mNow.time_since_epoch());
  for (Membership::Upstream& upstream : aView.mUpstreams) {
    upstream.mLeaseEnd = Base::TimePoint(step + std::chrono::seconds(5));
  }
}

void
TickInstance(World& aWorld, Instance& aInstance, Base::Incarnation aIncarnation)
{
  const bool isSameRun =
    aInstance.mState.has_value() && aInstance.mState->mSelf.mIncarnation == aIncarnation;
  if (!isSameRun) {
    return;
  }
  RenewLeases(aWorld, aInstance.mView);
  CarryOut(aWorld, aInstance, Requests::Tick(*aInstance.mState, ContextOf(aWorld, aInstance)));
  After(aWorld.mNetwork, milliseconds(50), [&aWorld, &aInstance, aIncarnation]() {
    TickInstance(aWorld, aInstance, aIncarnation);
  });
}

/// Lets the instance forget that it has seen the request.
void
ForgetRequest(Requests::State& aState, const Requests::CallerMessage& aMessage)
{
  Requests::Flow* flow = Requests::FindFlow(aState.mFlows, aMessage.mTicket.mFlow);
  if (flow == nullptr || !aMessage.mPacket.has_request()) {
    return;
  }
  auto& entries = flow->mWindow.mEntries;
  const Base::RequestNumber number(aMessage.mPacket.request().number());
  const Requests::WindowEntry* entry = Requests::FindEntry(flow->mWindow, number);
  if (entry != nullptr && aState.mCalls.count({ flow->mNumber, number }) == 0) {
    entries.erase(entries.begin() + (entry - entries.data()));
  }
}

void
DeliverToPeer(World& aWorld, Instance& aInstance, const std::string& aPayload)
{
  if (!aInstance.mState.has_value()) {
    return;
  }
  const auto message = Requests::DecodePeerPayload(aWorld.mSettings.mTicketKey, aPayload);
  if (!message.ok()) {
    aWorld.mChecker.mViolations.insert("a peer payload could not be decoded");
    return;
  }
  if (aWorld.mOptions.mFault == SeededFault::NoWindowCheck) {
    ForgetRequest(*aInstance.mState, message->mForwarded);
  }
  CarryOut(aWorld,
           aInstance,
           Requests::HandlePeerMessage(*aInstance.mState, ContextOf(aWorld, aInstance), *message));
}

void
CheckToCaller(World& aWorld, const Base::Endpoint& aCaller, std::string& aPayload)
{
  lw::caller::EntryPacket packet;
  packet.ParseFromString(aPayload);
  if (packet.has_opened()) {
    NoteOpened(aWorld.mChecker, packet.opened().flow(), aCaller);
  } else if (packet.has_piece()) {
    NoteToCaller(aWorld.mChecker, packet.piece().flow(), aCaller);
  } else if (packet.refusal().open_id() == 0) {
    lw::caller::Refusal& refusal = *packet.mutable_refusal();
    const char* gone = Requests::ReasonText(Requests::Event::UnknownOwnerGone);
    if (aWorld.mOptions.mFault == SeededFault::NotRunByNonOwner && refusal.reason() == gone) {
      refusal.set_outcome(lw::caller::NOT_RUN);
      aPayload = packet.SerializeAsString();
    }
    NoteToCaller(aWorld.mChecker, refusal.flow(), aCaller);
    if (refusal.outcome() == lw::caller::NOT_RUN) {
      NoteNotRun(aWorld.mChecker, { refusal.flow(), refusal.number() });
    }
  }
}

void
CheckToUpstream(World& aWorld, const std::string& aPayload)
{
  lw::upstream::ToUpstream packet;
  packet.ParseFromString(aPayload);
  uint64_t uid = 0;
  if (packet.has_work() && absl::SimpleAtoi(packet.work().body(), &uid)) {
    const lw::upstream::WorkId& id = packet.work().id();
    NoteDispatch(aWorld.mChecker, uid, id.incarnation(), id.number());
  }
}

} // namespace

Requests::Context
ContextOf(World& aWorld, Instance& aInstance)
{
  return { aInstance.mView,      aWorld.mServices, aWorld.mSettings, {},
           aWorld.mNetwork.mNow, aInstance.mRandom };
}

void
StartInstance(World& aWorld, Instance& aInstance)
{
  const Base::Incarnation incarnation(Base::NextRandom(aWorld.mNetwork.mRandom));
  aInstance.mRandom.mState = incarnation.mValue;
  aInstance.mState = Requests::MakeState({ aInstance.mId, incarnation }, 0);
  aInstance.mView.mSelf = aInstance.mId;
  aInstance.mView.mIncarnation = incarnation;
  RefreshView(aWorld, aInstance);
  TickInstance(aWorld, aInstance, incarnation);
}

void
SpreadMembership(World& aWorld, Base::Duration aLow, Base::Duration aHigh)
{
  for (const auto& instance : aWorld.mInstances) {
    Instance& target = *instance;
    After(aWorld.mNetwork, Between(aWorld.mNetwork, aLow, aHigh), [&aWorld, &target]() {
      RefreshView(aWorld, target);
    });
  }
}

void
DeliverToInstance(World& aWorld,
                  Instance& aInstance,
                  const Base::Endpoint& aCaller,
                  const std::string& aPayload)
{
  if (!aInstance.mState.has_value()) {
    return;
  }
  const auto message =
    Requests::DecodeCallerPacket(aWorld.mSettings.mTicketKey, { aCaller, kService }, aPayload);
  if (!message.ok()) {
    aWorld.mChecker.mViolations.insert("a caller packet could not be decoded");
    return;
  }
  if (aWorld.mOptions.mFault == SeededFault::NoWindowCheck) {
    ForgetRequest(*aInstance.mState, *message);
  }
  const Upstream& upstream = aWorld.mUpstreams[aCaller.mPort % aWorld.mUpstreams.size()];
  CarryOut(aWorld,
           aInstance,
           Requests::HandleCallerMessage(
             *aInstance.mState, ContextOf(aWorld, aInstance), *message, upstream.mEndpoint));
}

void
CarryOut(World& aWorld, Instance& aInstance, const Requests::Effects& aEffects)
{
  Network& network = aWorld.mNetwork;
  for (Requests::Event event : aEffects.mEvents) {
    ++aWorld.mResult.mEvents[static_cast<size_t>(event)];
  }
  for (const Requests::ToCaller& packet : aEffects.mToCallers) {
    std::string payload = packet.mPayload;
    CheckToCaller(aWorld, packet.mAddresses.mCaller, payload);
    const size_t caller = packet.mAddresses.mCaller.mPort - 1U;
    Carry(network, aWorld.mOptions, [&aWorld, caller, payload]() {
      DeliverToCaller(aWorld, caller, payload);
    });
  }
  const Options link = UpstreamLink(aWorld.mOptions);
  for (const Requests::ToUpstream& packet : aEffects.mToUpstreams) {
    CheckToUpstream(aWorld, packet.mPayload);
    const size_t upstream = packet.mUpstream.mPort - 1U;
    const Base::InstanceId sender = aInstance.mId;
    Carry(network, link, [&aWorld, upstream, sender, payload = packet.mPayload]() {
      DeliverToUpstream(aWorld, upstream, sender, payload);
    });
  }
  for (const Requests::ToPeer& packet : aEffects.mToPeers) {
    Instance& peer = InstanceOf(aWorld, packet.mInstance);
    if (peer.mPartition == aInstance.mPartition) {
      Carry(network, aWorld.mOptions, [&aWorld, &peer, payload = packet.mPayload]() {
        DeliverToPeer(aWorld, peer, payload);
      });
    }
  }
}

} // namespace RequestFakes
