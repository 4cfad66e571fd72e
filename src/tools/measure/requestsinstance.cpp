#include "measure/requestsparties.h"

#include "upstream.pb.h"

#include "absl/strings/numbers.h"
#include <cstring>
#include <utility>

namespace RequestFakes {

namespace {

using std::chrono::milliseconds;

Instance&
InstanceOf(Simulation& aSimulation, Base::InstanceId aId)
{
  return *aSimulation.mInstances.at(aId.mValue - 1);
}

/// Updates the view of the instance with the members that it can currently reach.
void
RefreshView(Simulation& aSimulation, Instance& aInstance)
{
  if (!aInstance.mState.has_value()) {
    return;
  }
  Membership::View& view = aInstance.mView;
  view.mMembers.clear();
  for (const auto& other : aSimulation.mInstances) {
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

/// Renews the leases of the upstreams every second, like their announcements.
void
RenewLeases(const Simulation& aSimulation, Membership::View& aView)
{
  const auto step =
    std::chrono::duration_cast<std::chrono::seconds>(aSimulation.mNetwork.mNow.time_since_epoch());
  for (Membership::Upstream& upstream : aView.mUpstreams) {
    upstream.mLeaseEnd = Base::TimePoint(step + std::chrono::seconds(5));
  }
}

void
TickInstance(Simulation& aSimulation, Instance& aInstance, Base::Incarnation aIncarnation)
{
  const bool isSameRun =
    aInstance.mState.has_value() && aInstance.mState->mSelf.mIncarnation == aIncarnation;
  if (!isSameRun) {
    return;
  }
  RenewLeases(aSimulation, aInstance.mView);
  ExecuteEffects(
    aSimulation, aInstance, Requests::Tick(*aInstance.mState, ContextOf(aSimulation, aInstance)));
  ScheduleAfter(aSimulation.mNetwork, milliseconds(50), [&aSimulation, &aInstance, aIncarnation]() {
    TickInstance(aSimulation, aInstance, aIncarnation);
  });
}

/// Removes the request from the window, so that the instance does not recognize it again.
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
DeliverToPeer(Simulation& aSimulation, Instance& aInstance, const std::string& aPayload)
{
  if (!aInstance.mState.has_value()) {
    return;
  }
  const auto message = Requests::DecodePeerPayload(aSimulation.mSettings.mTicketKey, aPayload);
  if (!message.ok()) {
    aSimulation.mChecker.mViolations.insert("a peer payload could not be decoded");
    return;
  }
  if (aSimulation.mOptions.mFault == SeededFault::NoWindowCheck) {
    ForgetRequest(*aInstance.mState, message->mForwarded);
  }
  ExecuteEffects(
    aSimulation,
    aInstance,
    Requests::HandlePeerMessage(*aInstance.mState, ContextOf(aSimulation, aInstance), *message));
}

void
CheckToCaller(Simulation& aSimulation, const Base::Endpoint& aCaller, std::string& aPayload)
{
  lw::caller::EntryPacket packet;
  packet.ParseFromString(aPayload);
  if (packet.has_opened()) {
    RecordOpened(aSimulation.mChecker, packet.opened().flow(), aCaller);
  } else if (packet.has_piece()) {
    RecordToCaller(aSimulation.mChecker, packet.piece().flow(), aCaller);
  } else if (packet.refusal().open_id() == 0) {
    lw::caller::Refusal& refusal = *packet.mutable_refusal();
    const char* gone = Requests::ReasonText(Requests::Event::UnknownOwnerGone);
    if (aSimulation.mOptions.mFault == SeededFault::NotRunByNonOwner && refusal.reason() == gone) {
      refusal.set_outcome(lw::caller::NOT_RUN);
      aPayload = packet.SerializeAsString();
    }
    RecordToCaller(aSimulation.mChecker, refusal.flow(), aCaller);
    if (refusal.outcome() == lw::caller::NOT_RUN) {
      RecordNotRun(aSimulation.mChecker, { refusal.flow(), refusal.number() });
    }
  }
}

void
CheckToUpstream(Simulation& aSimulation, const std::string& aPayload)
{
  lw::upstream::ToUpstream packet;
  packet.ParseFromString(aPayload);
  uint64_t uid = 0;
  if (packet.has_work() && absl::SimpleAtoi(packet.work().body(), &uid)) {
    const lw::upstream::WorkId& id = packet.work().id();
    RecordDispatch(aSimulation.mChecker, uid, id.incarnation(), id.number());
  }
}

} // namespace

Requests::Context
ContextOf(Simulation& aSimulation, Instance& aInstance)
{
  return { aInstance.mView,           aSimulation.mServices, aSimulation.mSettings, {},
           aSimulation.mNetwork.mNow, aInstance.mRandom };
}

void
StartInstance(Simulation& aSimulation, Instance& aInstance)
{
  const Base::Incarnation incarnation(Base::NextRandom(aSimulation.mNetwork.mRandom));
  aInstance.mRandom.mState = incarnation.mValue;
  aInstance.mState = Requests::MakeState({ aInstance.mId, incarnation }, 0);
  aInstance.mView.mSelf = aInstance.mId;
  aInstance.mView.mIncarnation = incarnation;
  RefreshView(aSimulation, aInstance);
  TickInstance(aSimulation, aInstance, incarnation);
}

void
SpreadMembership(Simulation& aSimulation, Base::Duration aLow, Base::Duration aHigh)
{
  for (const auto& instance : aSimulation.mInstances) {
    Instance& target = *instance;
    ScheduleAfter(aSimulation.mNetwork,
                  DrawDuration(aSimulation.mNetwork, aLow, aHigh),
                  [&aSimulation, &target]() { RefreshView(aSimulation, target); });
  }
}

void
DeliverToInstance(Simulation& aSimulation,
                  Instance& aInstance,
                  const Base::Endpoint& aCaller,
                  const std::string& aPayload)
{
  if (!aInstance.mState.has_value()) {
    return;
  }
  const auto message =
    Requests::DecodeCallerPacket(aSimulation.mSettings.mTicketKey, { aCaller, kService }, aPayload);
  if (!message.ok()) {
    aSimulation.mChecker.mViolations.insert("a caller packet could not be decoded");
    return;
  }
  if (aSimulation.mOptions.mFault == SeededFault::NoWindowCheck) {
    ForgetRequest(*aInstance.mState, *message);
  }
  const Upstream& upstream = aSimulation.mUpstreams[aCaller.mPort % aSimulation.mUpstreams.size()];
  ExecuteEffects(
    aSimulation,
    aInstance,
    Requests::HandleCallerMessage(
      *aInstance.mState, ContextOf(aSimulation, aInstance), *message, upstream.mEndpoint));
}

void
ExecuteEffects(Simulation& aSimulation, Instance& aInstance, const Requests::Effects& aEffects)
{
  Network& network = aSimulation.mNetwork;
  for (Requests::Event event : aEffects.mEvents) {
    ++aSimulation.mResult.mEvents[static_cast<size_t>(event)];
  }
  for (const Requests::ToCaller& packet : aEffects.mToCallers) {
    std::string payload = packet.mPayload;
    CheckToCaller(aSimulation, packet.mAddresses.mCaller, payload);
    const size_t caller = packet.mAddresses.mCaller.mPort - 1U;
    Transmit(network, aSimulation.mOptions, [&aSimulation, caller, payload]() {
      DeliverToCaller(aSimulation, caller, payload);
    });
  }
  const Options link = UpstreamLink(aSimulation.mOptions);
  for (const Requests::ToUpstream& packet : aEffects.mToUpstreams) {
    CheckToUpstream(aSimulation, packet.mPayload);
    const size_t upstream = packet.mUpstream.mPort - 1U;
    const Base::InstanceId sender = aInstance.mId;
    Transmit(network, link, [&aSimulation, upstream, sender, payload = packet.mPayload]() {
      DeliverToUpstream(aSimulation, upstream, sender, payload);
    });
  }
  for (const Requests::ToPeer& packet : aEffects.mToPeers) {
    Instance& peer = InstanceOf(aSimulation, packet.mInstance);
    if (peer.mPartition == aInstance.mPartition) {
      Transmit(network, aSimulation.mOptions, [&aSimulation, &peer, payload = packet.mPayload]() {
        DeliverToPeer(aSimulation, peer, payload);
      });
    }
  }
}

} // namespace RequestFakes
