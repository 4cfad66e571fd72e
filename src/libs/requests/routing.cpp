#include "requests/routing.h"

#include "base/hash.h"
#include "requests/owner.h"
#include "requests/replies.h"
#include "requests/runhistory.h"

#include <utility>

namespace Requests::Internal {

namespace {

// One hop is normal. A second one passes a handover on, a third covers views that differ meanwhile.
constexpr uint32_t kMaxHops = 3;
// A second hop lets the instance that most views agree on open the flow.
constexpr uint32_t kMaxOpenHops = 2;
// Longest chain of successors that is followed; more leaves within the life of a flow are unlikely.
constexpr int kMaxSuccessors = 8;

struct Route
{
  enum class Kind
  {
    Gone,
    /// The flow may still arrive by handover, or the view is too young to tell.
    Wait,
    Forward
  };
  Kind mKind = Kind::Gone;
  Base::InstanceId mInstance;
  Event mReason = Event::None;
};

void
Forward(Work& aWork,
        const CallerMessage& aMessage,
        const Base::Endpoint& aUpstream,
        uint32_t aHops,
        Base::InstanceId aTarget)
{
  const auto& services = aWork.mContext.mServices.mByAddress;
  const auto service = services.find(aMessage.mAddresses.mService);
  lw::requestpeer::RequestPeerPacket packet;
  lw::requestpeer::Forwarded& forwarded = *packet.mutable_forwarded();
  *forwarded.mutable_caller() = ToMessage(aMessage.mAddresses.mCaller);
  *forwarded.mutable_service() = ToMessage(aMessage.mAddresses.mService);
  if (service != services.end()) {
    forwarded.set_generation(service->second->mGeneration.mValue);
  }
  *forwarded.mutable_upstream() = ToMessage(aUpstream);
  forwarded.set_hops(aHops + 1);
  *forwarded.mutable_packet() = aMessage.mPacket;
  aWork.mEffects.mToPeers.push_back({ aTarget, packet.SerializeAsString() });
  CountEvent(aWork.mEffects, Event::Forwarded);
}

bool
IsInView(const Context& aContext, const Run& aRun)
{
  const Membership::Member* member = Membership::FindMember(aContext.mView, aRun.mInstance);
  return member != nullptr && IsSameRun({ member->mId, member->mIncarnation }, aRun);
}

/// Route if neither the view nor a notice tells who has the ticket's run. While this instance may
/// not have heard of it yet, another one decides.
Route
NotFound(Work& aWork, const Ticket& aTicket)
{
  if (IsGone(aWork.mState.mRuns, aTicket.mOwner, aWork.mContext.mNow)) {
    return {};
  }
  const Membership::Member* other = SelectOther(aWork, aTicket.mFlow.mValue);
  return other == nullptr ? Route{ Route::Kind::Wait, {}, Event::DropViewNotSettled }
                          : Route{ Route::Kind::Forward, other->mId, Event::None };
}

/// Route of a ticket whose flow is not in this table.
Route
FindRoute(Work& aWork, const Ticket& aTicket)
{
  const State& state = aWork.mState;
  const Handover& handover = state.mHandover;
  Run run = aTicket.mOwner;
  Run previous = run;
  for (int step = 0; step < kMaxSuccessors; ++step) {
    if (IsSameRun(run, state.mSelf)) {
      if (handover.mIsLeaving && handover.mSuccessor.has_value()) {
        previous = run;
        run = *handover.mSuccessor;
        continue;
      }
      const bool mayArrive = step > 0 && IsInView(aWork.mContext, previous);
      return mayArrive ? Route{ Route::Kind::Wait, {}, Event::DropHandoverPending } : Route{};
    }
    if (IsInView(aWork.mContext, run)) {
      return { Route::Kind::Forward, run.mInstance, Event::None };
    }
    const auto succession = state.mSuccessions.mByOwner.find(run);
    if (succession == state.mSuccessions.mByOwner.end()) {
      break;
    }
    previous = run;
    run = succession->second.mSuccessor;
  }
  // Another run of the same instance knows best whether the ticket's run is over.
  const Base::InstanceId owner = aTicket.mOwner.mInstance;
  const bool hasOtherRun = run.mInstance == owner && owner != state.mSelf.mInstance &&
                           Membership::FindMember(aWork.mContext.mView, owner) != nullptr;
  return hasOtherRun ? Route{ Route::Kind::Forward, owner, Event::None } : NotFound(aWork, aTicket);
}

/// \return the dispatcher of an upstream of the service, or nullptr if the upstream is not known
/// here.
const Membership::Member*
DispatcherOf(const Work& aWork, const FlowAddresses& aAddresses, const Base::Endpoint& aUpstream)
{
  const auto& services = aWork.mContext.mServices.mByAddress;
  const auto service = services.find(aAddresses.mService);
  if (service == services.end()) {
    return nullptr;
  }
  const Membership::View& view = aWork.mContext.mView;
  const Membership::Upstream* upstream =
    Membership::FindUpstream(view, aUpstream, service->second->mGeneration);
  return upstream == nullptr ? nullptr : Membership::DispatcherOf(view, *upstream);
}

/// Answers for a flow that no instance owns any more. "Not run" is never said here: the owner may
/// have dispatched the request.
void
ReplyGone(Work& aWork, const CallerMessage& aMessage)
{
  const lw::caller::CallerPacket& packet = aMessage.mPacket;
  const bool isRepeatable = packet.has_request() && packet.request().repeatable();
  const uint64_t number =
    packet.has_request() ? packet.request().number() : packet.cancel().number();
  Refuse(aWork.mEffects,
         aMessage.mAddresses,
         aMessage.mTicket.mFlow,
         Base::RequestNumber(number),
         isRepeatable ? lw::caller::FLOW_GONE : lw::caller::OUTCOME_UNKNOWN,
         isRepeatable ? Event::FlowGone : Event::UnknownOwnerGone);
}

} // namespace

const Membership::Member*
SelectOther(const Work& aWork, uint64_t aKey, Base::InstanceId aExcept)
{
  const Membership::View& view = aWork.mContext.mView;
  const Membership::Member* best = nullptr;
  std::pair<bool, uint64_t> bestScore;
  for (const Membership::Member& member : view.mMembers) {
    if (member.mId == aWork.mState.mSelf.mInstance || member.mId == aExcept ||
        member.mState != Membership::MemberState::Alive) {
      continue;
    }
    const bool isNear = member.mAvailabilityZone == view.mAvailabilityZone;
    const std::pair<bool, uint64_t> score(isNear, Base::StableHash({ aKey, member.mId.mValue }));
    if (best == nullptr || score > bestScore) {
      best = &member;
      bestScore = score;
    }
  }
  return best;
}

void
RouteOpen(Work& aWork,
          const CallerMessage& aMessage,
          const Base::Endpoint& aUpstream,
          uint32_t aHops)
{
  const Base::InstanceId self = aWork.mState.mSelf.mInstance;
  const Handover& handover = aWork.mState.mHandover;
  const Membership::Member* dispatcher = DispatcherOf(aWork, aMessage.mAddresses, aUpstream);
  Base::InstanceId target = dispatcher == nullptr ? self : dispatcher->mId;
  if (handover.mIsLeaving && handover.mSuccessor.has_value() && target == self) {
    target = handover.mSuccessor->mInstance;
  }
  if (target != self && aHops < kMaxOpenHops) {
    Forward(aWork, aMessage, aUpstream, aHops, target);
    return;
  }
  AcceptOpen(aWork, aMessage.mAddresses, aUpstream, aMessage.mPacket.open());
}

void
RouteTicketed(Work& aWork, const CallerMessage& aMessage, uint32_t aHops)
{
  State& state = aWork.mState;
  const Ticket& ticket = aMessage.mTicket;
  Flow* flow = FindFlow(state.mFlows, ticket.mFlow);
  if (flow != nullptr && IsSameRun(flow->mOrigin, ticket.mOwner)) {
    if (aMessage.mPacket.has_request()) {
      HandleOwnRequest(aWork, *flow, aMessage.mPacket.request());
    } else {
      HandleOwnCancel(aWork, *flow, Base::RequestNumber(aMessage.mPacket.cancel().number()));
    }
    return;
  }
  if (state.mHandover.mPending.count(ticket.mFlow) != 0) {
    CountEvent(aWork.mEffects, Event::DropHandoverPending);
    return;
  }
  const Route route = FindRoute(aWork, ticket);
  switch (route.mKind) {
    case Route::Kind::Gone:
      ReplyGone(aWork, aMessage);
      return;
    case Route::Kind::Wait:
      CountEvent(aWork.mEffects, route.mReason);
      return;
    case Route::Kind::Forward:
      break;
  }
  if (aHops >= kMaxHops) {
    CountEvent(aWork.mEffects, Event::DropTooManyHops);
    return;
  }
  Forward(aWork, aMessage, ticket.mUpstream, aHops, route.mInstance);
}

} // namespace Requests::Internal
