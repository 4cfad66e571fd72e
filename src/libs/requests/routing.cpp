#include "requests/routing.h"

#include "base/hash.h"
#include "requests/owner.h"
#include "requests/replies.h"
#include "requests/runhistory.h"

#include <utility>

namespace Requests::Internal {

namespace {

// One hop is the normal case. A second one follows a handover, and a third one covers views that
// differ during it.
constexpr uint32_t kMaxHops = 3;
// A second hop allows for a view that differs from those of most instances.
constexpr uint32_t kMaxOpenHops = 2;
// Maximum length of a chain of successors; more handovers within the lifetime of a flow are
// unlikely.
constexpr int kMaxSuccessors = 8;

struct Route
{
  enum class Kind
  {
    Gone,
    /// The flow may still arrive by handover, or the view is too recent to decide.
    Wait,
    Forward
  };
  Kind mKind = Kind::Gone;
  Base::InstanceId mInstance;
  Event mReason = Event::None;
};

void
Forward(HandlerContext& aHandler,
        const CallerMessage& aMessage,
        const Base::Endpoint& aUpstream,
        uint32_t aHops,
        Base::InstanceId aTarget)
{
  const auto& services = aHandler.mContext.mServices.mByAddress;
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
  aHandler.mEffects.mToPeers.push_back({ aTarget, packet.SerializeAsString() });
  CountEvent(aHandler.mEffects, Event::Forwarded);
}

bool
IsInView(const Context& aContext, const Run& aRun)
{
  const Membership::Member* member = Membership::FindMember(aContext.mView, aRun.mInstance);
  return member != nullptr && IsSameRun({ member->mId, member->mIncarnation }, aRun);
}

/// Route for a ticket whose run is neither in the view nor named in a succession notice. As long as
/// this instance may not have learned of the run yet, another instance decides.
Route
RouteToUnknownRun(HandlerContext& aHandler, const Ticket& aTicket)
{
  if (IsRunGone(aHandler.mState.mRuns, aTicket.mOwner, aHandler.mContext.mNow)) {
    return {};
  }
  const Membership::Member* other = SelectOtherMember(aHandler, aTicket.mFlow.mValue);
  return other == nullptr ? Route{ Route::Kind::Wait, {}, Event::DropViewNotSettled }
                          : Route{ Route::Kind::Forward, other->mId, Event::None };
}

/// Route for a ticket whose flow is not in the local flow table.
Route
FindRoute(HandlerContext& aHandler, const Ticket& aTicket)
{
  const State& state = aHandler.mState;
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
      const bool mayArrive = step > 0 && IsInView(aHandler.mContext, previous);
      return mayArrive ? Route{ Route::Kind::Wait, {}, Event::DropHandoverPending } : Route{};
    }
    if (IsInView(aHandler.mContext, run)) {
      return { Route::Kind::Forward, run.mInstance, Event::None };
    }
    const auto succession = state.mSuccessions.mByOwner.find(run);
    if (succession == state.mSuccessions.mByOwner.end()) {
      break;
    }
    previous = run;
    run = succession->second.mSuccessor;
  }
  // Another run of the same instance can tell whether the ticket's run has ended.
  const Base::InstanceId owner = aTicket.mOwner.mInstance;
  const bool hasOtherRun = run.mInstance == owner && owner != state.mSelf.mInstance &&
                           Membership::FindMember(aHandler.mContext.mView, owner) != nullptr;
  return hasOtherRun ? Route{ Route::Kind::Forward, owner, Event::None }
                     : RouteToUnknownRun(aHandler, aTicket);
}

/// \return the dispatcher of an upstream of the service, or nullptr if the upstream is unknown.
const Membership::Member*
DispatcherOf(const HandlerContext& aHandler,
             const FlowAddresses& aAddresses,
             const Base::Endpoint& aUpstream)
{
  const auto& services = aHandler.mContext.mServices.mByAddress;
  const auto service = services.find(aAddresses.mService);
  if (service == services.end()) {
    return nullptr;
  }
  const Membership::View& view = aHandler.mContext.mView;
  const Membership::Upstream* upstream =
    Membership::FindUpstream(view, aUpstream, service->second->mGeneration);
  return upstream == nullptr ? nullptr : Membership::DispatcherOf(view, *upstream);
}

/// Replies to a request on a flow that no instance owns any more. The outcome is never NOT_RUN,
/// because the former owner may have dispatched the request.
void
ReplyFlowGone(HandlerContext& aHandler, const CallerMessage& aMessage)
{
  const lw::caller::CallerPacket& packet = aMessage.mPacket;
  const bool isRepeatable = packet.has_request() && packet.request().repeatable();
  const uint64_t number =
    packet.has_request() ? packet.request().number() : packet.cancel().number();
  Refuse(aHandler.mEffects,
         aMessage.mAddresses,
         aMessage.mTicket.mFlow,
         Base::RequestNumber(number),
         isRepeatable ? lw::caller::FLOW_GONE : lw::caller::OUTCOME_UNKNOWN,
         isRepeatable ? Event::FlowGone : Event::UnknownOwnerGone);
}

} // namespace

const Membership::Member*
SelectOtherMember(const HandlerContext& aHandler, uint64_t aKey, Base::InstanceId aExcluded)
{
  const Membership::View& view = aHandler.mContext.mView;
  const Membership::Member* best = nullptr;
  std::pair<bool, uint64_t> bestScore;
  for (const Membership::Member& member : view.mMembers) {
    if (member.mId == aHandler.mState.mSelf.mInstance || member.mId == aExcluded ||
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
RouteOpen(HandlerContext& aHandler,
          const CallerMessage& aMessage,
          const Base::Endpoint& aUpstream,
          uint32_t aHops)
{
  const Base::InstanceId self = aHandler.mState.mSelf.mInstance;
  const Handover& handover = aHandler.mState.mHandover;
  const Membership::Member* dispatcher = DispatcherOf(aHandler, aMessage.mAddresses, aUpstream);
  Base::InstanceId target = dispatcher == nullptr ? self : dispatcher->mId;
  if (handover.mIsLeaving && handover.mSuccessor.has_value() && target == self) {
    target = handover.mSuccessor->mInstance;
  }
  if (target != self && aHops < kMaxOpenHops) {
    Forward(aHandler, aMessage, aUpstream, aHops, target);
    return;
  }
  AcceptOpen(aHandler, aMessage.mAddresses, aUpstream, aMessage.mPacket.open());
}

void
RouteByTicket(HandlerContext& aHandler, const CallerMessage& aMessage, uint32_t aHops)
{
  State& state = aHandler.mState;
  const Ticket& ticket = aMessage.mTicket;
  Flow* flow = FindFlow(state.mFlows, ticket.mFlow);
  if (flow != nullptr && IsSameRun(flow->mOrigin, ticket.mOwner)) {
    if (aMessage.mPacket.has_request()) {
      HandleOwnRequest(aHandler, *flow, aMessage.mPacket.request());
    } else {
      HandleOwnCancel(aHandler, *flow, Base::RequestNumber(aMessage.mPacket.cancel().number()));
    }
    return;
  }
  if (state.mHandover.mPending.count(ticket.mFlow) != 0) {
    CountEvent(aHandler.mEffects, Event::DropHandoverPending);
    return;
  }
  const Route route = FindRoute(aHandler, ticket);
  switch (route.mKind) {
    case Route::Kind::Gone:
      ReplyFlowGone(aHandler, aMessage);
      return;
    case Route::Kind::Wait:
      CountEvent(aHandler.mEffects, route.mReason);
      return;
    case Route::Kind::Forward:
      break;
  }
  if (aHops >= kMaxHops) {
    CountEvent(aHandler.mEffects, Event::DropTooManyHops);
    return;
  }
  Forward(aHandler, aMessage, ticket.mUpstream, aHops, route.mInstance);
}

} // namespace Requests::Internal
