#include "requests/owner.h"

#include "base/hash.h"
#include "requests/completion.h"
#include "requests/policy.h"
#include "requests/replies.h"

#include <algorithm>
#include <utility>

namespace Requests::Internal {

namespace {

using std::chrono::milliseconds;

// Exports can wait for minutes. The limit keeps one request from holding a flow indefinitely.
constexpr milliseconds kMaxDeadline{ 600000 };

/// Flow numbers are globally unique, because a caller can receive late answers from a flow of
/// another owner.
Base::FlowNumber
NextFlowNumber(State& aState)
{
  const Run& self = aState.mSelf;
  return Base::FlowNumber(Base::StableHash(
    { self.mIncarnation.mValue, self.mInstance.mValue, aState.mShard, aState.mNextFlow++ }));
}

void
SendOpened(HandlerContext& aHandler, const Flow& aFlow, uint64_t aOpenId, const std::string& aTerms)
{
  const Ticket ticket{ aFlow.mOrigin, aFlow.mNumber, aFlow.mUpstream, aFlow.mGeneration };
  lw::caller::EntryPacket packet;
  lw::caller::FlowOpened& opened = *packet.mutable_opened();
  opened.set_open_id(aOpenId);
  opened.set_flow(aFlow.mNumber.mValue);
  opened.set_terms(aTerms);
  opened.set_ticket(SealTicket(aHandler.mContext.mSettings.mTicketKey, ticket, aFlow.mAddresses));
  aHandler.mEffects.mToCallers.push_back(
    { aFlow.mAddresses, packet.SerializeAsString(), ReplyKind::Other });
}

bool
IsLeavingWithoutSuccessor(const Handover& aHandover)
{
  return aHandover.mIsLeaving && !aHandover.mSuccessor.has_value();
}

/// \return the reason to refuse a new request before it is queued, or None.
Event
CheckNewRequest(HandlerContext& aHandler, const Flow& aFlow, const lw::caller::Request& aRequest)
{
  if (IsLeavingWithoutSuccessor(aHandler.mState.mHandover)) {
    return Event::RefuseShutdown;
  }
  const UpstreamKey key{ aFlow.mUpstream, aFlow.mGeneration };
  const UpstreamQueue* queue = FindOrCreateQueue(aHandler, key, aFlow.mAddresses.mService);
  if (queue == nullptr) {
    return Event::RefuseUpstreamGone;
  }
  if (!HasKind(*queue->mService, aRequest.kind())) {
    return Event::RefuseUnknownKind;
  }
  return aRequest.deadline_ms() == 0 ? Event::RefuseDeadlineTooShort : Event::None;
}

void
HandleDuplicate(HandlerContext& aHandler,
                const Flow& aFlow,
                WindowEntry& aEntry,
                const lw::caller::Request& aRequest,
                uint32_t aDigest)
{
  Effects& effects = aHandler.mEffects;
  const CallKey key{ aFlow.mNumber, aEntry.mNumber };
  const auto replyUnknown = [&](Event aReason) {
    Refuse(effects, aFlow.mAddresses, key.mFlow, key.mNumber, lw::caller::OUTCOME_UNKNOWN, aReason);
  };
  if (aEntry.mDigest != 0 && aEntry.mDigest != aDigest) {
    // The caller has restarted and would mistake the answer to the earlier request for its own.
    if (aEntry.mState != RequestState::Refused) {
      aEntry.mReason = Event::UnknownNumberReused;
    }
    replyUnknown(Event::UnknownNumberReused);
    return;
  }
  if (aEntry.mReason == Event::UnknownNumberReused) {
    replyUnknown(aEntry.mReason);
    return;
  }
  switch (aEntry.mState) {
    case RequestState::Queued:
    case RequestState::Dispatched:
      CountEvent(effects, Event::DropInProgress);
      return;
    case RequestState::Refused:
      Refuse(effects,
             aFlow.mAddresses,
             key.mFlow,
             key.mNumber,
             RefusalOutcome(aEntry.mReason, aRequest.repeatable()),
             aEntry.mReason);
      return;
    case RequestState::Unknown:
      replyUnknown(aEntry.mReason);
      return;
    case RequestState::Answered:
      break;
  }
  const std::vector<std::string>* pieces =
    FindAnswer(aHandler.mState.mAnswers, key, aHandler.mContext.mNow);
  if (pieces == nullptr) {
    replyUnknown(Event::UnknownAnswerNotStored);
    return;
  }
  SendAnswer(effects, aFlow.mAddresses, key.mFlow, key.mNumber, *pieces);
  CountEvent(effects, Event::AnswerResent);
}

void
AddCall(HandlerContext& aHandler,
        Flow& aFlow,
        const CallKey& aKey,
        const lw::caller::Request& aRequest)
{
  Call call;
  call.mUpstream = { aFlow.mUpstream, aFlow.mGeneration };
  call.mKind = aRequest.kind();
  call.mIsRepeatable = aRequest.repeatable();
  call.mBody = aRequest.body();
  call.mDeadline =
    aHandler.mContext.mNow + std::min(milliseconds(aRequest.deadline_ms()), kMaxDeadline);
  aHandler.mState.mCalls.emplace(aKey, std::move(call));
  ++aFlow.mOpenCalls;
  CountClientRequest(aHandler.mState.mClients, { aFlow.mGeneration, aFlow.mClient }, false);
}

void
CountForRetryBudget(HandlerContext& aHandler, const Flow& aFlow)
{
  const auto& services = aHandler.mContext.mServices.mByAddress;
  const auto service = services.find(aFlow.mAddresses.mService);
  if (service != services.end()) {
    CountRequest(aHandler.mState.mRetryBudgets[service->second->mName], aHandler.mContext.mNow);
  }
}

} // namespace

void
AcceptOpen(HandlerContext& aHandler,
           const FlowAddresses& aAddresses,
           const Base::Endpoint& aUpstream,
           const lw::caller::OpenFlow& aOpen)
{
  const Context& context = aHandler.mContext;
  State& state = aHandler.mState;
  if (state.mHandover.mIsLeaving) {
    RefuseOpen(aHandler.mEffects, aAddresses, aOpen.open_id(), Event::OpenShutdown);
    return;
  }
  const auto service = context.mServices.mByAddress.find(aAddresses.mService);
  if (service == context.mServices.mByAddress.end()) {
    CountEvent(aHandler.mEffects, Event::DropUnknownService);
    return;
  }
  const Base::ServiceGeneration generation = service->second->mGeneration;
  const std::string terms =
    RenewClientTerms(aHandler, *service->second, aOpen.client(), aOpen.terms());
  const OpenKey key{ aAddresses.mCaller, aAddresses.mService, aOpen.open_id() };
  const Flow* opened = FindOpened(state.mFlows, key, context.mNow);
  if (opened != nullptr && opened->mUpstream == aUpstream && opened->mGeneration == generation) {
    SendOpened(aHandler, *opened, aOpen.open_id(), terms);
    CountEvent(aHandler.mEffects, Event::OpenedAgain);
    return;
  }
  const Membership::Upstream* upstream =
    Membership::FindUpstream(context.mView, aUpstream, generation);
  if (upstream == nullptr || !Membership::TakesNewWork(*upstream, context.mNow)) {
    RefuseOpen(aHandler.mEffects, aAddresses, aOpen.open_id(), Event::OpenNoUpstream);
    return;
  }
  if (state.mFlows.mFlows.size() >= context.mLimits.mMaxFlows) {
    RefuseOpen(aHandler.mEffects, aAddresses, aOpen.open_id(), Event::OpenFlowTableFull);
    return;
  }
  Flow flow;
  flow.mNumber = NextFlowNumber(state);
  flow.mOrigin = state.mSelf;
  flow.mAddresses = aAddresses;
  flow.mUpstream = aUpstream;
  flow.mGeneration = generation;
  flow.mClient = aOpen.client();
  const Flow& added = AddFlow(state.mFlows, std::move(flow), context.mNow);
  RememberOpened(state.mFlows, key, added.mNumber, context.mNow);
  SendOpened(aHandler, added, aOpen.open_id(), terms);
  CountEvent(aHandler.mEffects, Event::Opened);
}

void
HandleOwnRequest(HandlerContext& aHandler, Flow& aFlow, const lw::caller::Request& aRequest)
{
  const CallKey key{ aFlow.mNumber, Base::RequestNumber(aRequest.number()) };
  TouchFlow(aHandler.mState.mFlows, aFlow, aHandler.mContext.mNow);
  if (aRequest.number() == 0) {
    CountEvent(aHandler.mEffects, Event::DropMalformed);
    return;
  }
  if (key.mNumber < aFlow.mWindow.mBase) {
    Refuse(aHandler.mEffects,
           aFlow.mAddresses,
           key.mFlow,
           key.mNumber,
           lw::caller::OUTCOME_UNKNOWN,
           Event::UnknownBelowWindow);
    return;
  }
  const uint32_t digest = RequestDigest(aRequest.kind(), aRequest.repeatable(), aRequest.body());
  WindowEntry* entry = FindEntry(aFlow.mWindow, key.mNumber);
  if (entry != nullptr) {
    HandleDuplicate(aHandler, aFlow, *entry, aRequest, digest);
    return;
  }
  AddEntry(aFlow.mWindow, key.mNumber, digest);
  AddCall(aHandler, aFlow, key, aRequest);
  const Event refusal = CheckNewRequest(aHandler, aFlow, aRequest);
  if (refusal != Event::None) {
    EndRefused(aHandler, key, refusal);
    return;
  }
  CountForRetryBudget(aHandler, aFlow);
  if (aHandler.mState.mHandover.mIsLeaving) {
    SuspendCall(aHandler.mState, key);
    return;
  }
  OfferCall(aHandler, key);
}

void
HandleOwnCancel(HandlerContext& aHandler, Flow& aFlow, Base::RequestNumber aNumber)
{
  const CallKey key{ aFlow.mNumber, aNumber };
  if (aNumber.mValue == 0) {
    CountEvent(aHandler.mEffects, Event::DropMalformed);
    return;
  }
  const auto reply = [&](lw::caller::Outcome aOutcome, Event aReason) {
    Refuse(aHandler.mEffects, aFlow.mAddresses, key.mFlow, key.mNumber, aOutcome, aReason);
  };
  if (aNumber < aFlow.mWindow.mBase) {
    reply(lw::caller::OUTCOME_UNKNOWN, Event::UnknownBelowWindow);
    return;
  }
  const WindowEntry* entry = FindEntry(aFlow.mWindow, aNumber);
  if (entry == nullptr) {
    // Recorded as refused, so that the request does not run if it arrives later.
    WindowEntry& added = AddEntry(aFlow.mWindow, aNumber, 0);
    added.mState = RequestState::Refused;
    added.mReason = Event::RefuseCanceled;
    reply(lw::caller::NOT_RUN, Event::RefuseCanceled);
    return;
  }
  const auto call = aHandler.mState.mCalls.find(key);
  if (call != aHandler.mState.mCalls.end()) {
    if (WithdrawCall(aHandler.mState, key)) {
      EndRefused(aHandler, key, Event::RefuseCanceled);
      return;
    }
    if (!call->second.mIsCanceled) {
      call->second.mIsCanceled = true;
      call->second.mCanceledAt = aHandler.mContext.mNow;
    }
    CancelRunning(aHandler, key, kNoAttempt);
    return;
  }
  if (entry->mState == RequestState::Refused) {
    reply(lw::caller::NOT_RUN, entry->mReason);
  } else if (entry->mState == RequestState::Unknown) {
    reply(lw::caller::OUTCOME_UNKNOWN, entry->mReason);
  }
}

} // namespace Requests::Internal
