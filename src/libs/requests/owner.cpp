#include "requests/owner.h"

#include "base/hash.h"
#include "requests/policy.h"
#include "requests/replies.h"

#include <algorithm>
#include <utility>

namespace Requests::Internal {

namespace {

using std::chrono::milliseconds;

// An export may wait for minutes. The bound keeps a flow from being held by one request for ever.
constexpr milliseconds kMaxDeadline{ 600000 };

/// Unique in the system, because a caller may receive late answers of a flow of another owner.
Base::FlowNumber
NextFlowNumber(State& aState)
{
  const Run& self = aState.mSelf;
  return Base::FlowNumber(Base::StableHash(
    { self.mIncarnation.mValue, self.mInstance.mValue, aState.mShard, aState.mNextFlow++ }));
}

void
SendOpened(Work& aWork, const Flow& aFlow, uint64_t aOpenId, const std::string& aTerms)
{
  const Ticket ticket{ aFlow.mOrigin, aFlow.mNumber, aFlow.mUpstream, aFlow.mGeneration };
  lw::caller::EntryPacket packet;
  lw::caller::FlowOpened& opened = *packet.mutable_opened();
  opened.set_open_id(aOpenId);
  opened.set_flow(aFlow.mNumber.mValue);
  opened.set_terms(aTerms);
  opened.set_ticket(SealTicket(aWork.mContext.mSettings.mTicketKey, ticket, aFlow.mAddresses));
  aWork.mEffects.mToCallers.push_back(
    { aFlow.mAddresses, packet.SerializeAsString(), ReplyKind::Other });
}

bool
IsLeavingAlone(const Handover& aHandover)
{
  return aHandover.mIsLeaving && !aHandover.mSuccessor.has_value();
}

/// \return the reason to refuse a new request before it is queued, or None.
Event
CheckNewRequest(Work& aWork, const Flow& aFlow, const lw::caller::Request& aRequest)
{
  if (IsLeavingAlone(aWork.mState.mHandover)) {
    return Event::RefuseShutdown;
  }
  const UpstreamKey key{ aFlow.mUpstream, aFlow.mGeneration };
  const UpstreamQueue* queue = QueueOf(aWork, key, aFlow.mAddresses.mService);
  if (queue == nullptr) {
    return Event::RefuseUpstreamGone;
  }
  if (!HasKind(*queue->mService, aRequest.kind())) {
    return Event::RefuseUnknownKind;
  }
  return aRequest.deadline_ms() == 0 ? Event::RefuseDeadlineTooShort : Event::None;
}

void
HandleDuplicate(Work& aWork,
                const Flow& aFlow,
                WindowEntry& aEntry,
                const lw::caller::Request& aRequest,
                uint32_t aDigest)
{
  Effects& effects = aWork.mEffects;
  const CallKey key{ aFlow.mNumber, aEntry.mNumber };
  const auto replyUnknown = [&](Event aReason) {
    Refuse(effects, aFlow.mAddresses, key.mFlow, key.mNumber, lw::caller::OUTCOME_UNKNOWN, aReason);
  };
  if (aEntry.mDigest != 0 && aEntry.mDigest != aDigest) {
    // The caller has restarted and would take the answer to the earlier request for its own.
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
    FindAnswer(aWork.mState.mAnswers, key, aWork.mContext.mNow);
  if (pieces == nullptr) {
    replyUnknown(Event::UnknownAnswerNotStored);
    return;
  }
  SendAnswer(effects, aFlow.mAddresses, key.mFlow, key.mNumber, *pieces);
  CountEvent(effects, Event::AnswerResent);
}

void
AddCall(Work& aWork, Flow& aFlow, const CallKey& aKey, const lw::caller::Request& aRequest)
{
  Call call;
  call.mUpstream = { aFlow.mUpstream, aFlow.mGeneration };
  call.mKind = aRequest.kind();
  call.mIsRepeatable = aRequest.repeatable();
  call.mBody = aRequest.body();
  call.mDeadline =
    aWork.mContext.mNow + std::min(milliseconds(aRequest.deadline_ms()), kMaxDeadline);
  aWork.mState.mCalls.emplace(aKey, std::move(call));
  ++aFlow.mOpenCalls;
  CountConduct(aWork.mState.mClients, { aFlow.mGeneration, aFlow.mClient }, false);
}

void
CountForBudget(Work& aWork, const Flow& aFlow)
{
  const auto& services = aWork.mContext.mServices.mByAddress;
  const auto service = services.find(aFlow.mAddresses.mService);
  if (service != services.end()) {
    CountRequest(aWork.mState.mRetryBudgets[service->second->mName], aWork.mContext.mNow);
  }
}

} // namespace

void
AcceptOpen(Work& aWork,
           const FlowAddresses& aAddresses,
           const Base::Endpoint& aUpstream,
           const lw::caller::OpenFlow& aOpen)
{
  const Context& context = aWork.mContext;
  State& state = aWork.mState;
  if (state.mHandover.mIsLeaving) {
    RefuseOpen(aWork.mEffects, aAddresses, aOpen.open_id(), Event::OpenShutdown);
    return;
  }
  const auto service = context.mServices.mByAddress.find(aAddresses.mService);
  if (service == context.mServices.mByAddress.end()) {
    CountEvent(aWork.mEffects, Event::DropUnknownService);
    return;
  }
  const Base::ServiceGeneration generation = service->second->mGeneration;
  const std::string terms = PresentTerms(aWork, *service->second, aOpen.client(), aOpen.terms());
  const OpenKey key{ aAddresses.mCaller, aAddresses.mService, aOpen.open_id() };
  const Flow* opened = FindOpened(state.mFlows, key, context.mNow);
  if (opened != nullptr && opened->mUpstream == aUpstream && opened->mGeneration == generation) {
    SendOpened(aWork, *opened, aOpen.open_id(), terms);
    CountEvent(aWork.mEffects, Event::OpenedAgain);
    return;
  }
  const Membership::Upstream* upstream =
    Membership::FindUpstream(context.mView, aUpstream, generation);
  if (upstream == nullptr || !Membership::TakesNewWork(*upstream, context.mNow)) {
    RefuseOpen(aWork.mEffects, aAddresses, aOpen.open_id(), Event::OpenNoUpstream);
    return;
  }
  if (state.mFlows.mFlows.size() >= context.mLimits.mMaxFlows) {
    RefuseOpen(aWork.mEffects, aAddresses, aOpen.open_id(), Event::OpenFlowTableFull);
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
  SendOpened(aWork, added, aOpen.open_id(), terms);
  CountEvent(aWork.mEffects, Event::Opened);
}

void
HandleOwnRequest(Work& aWork, Flow& aFlow, const lw::caller::Request& aRequest)
{
  const CallKey key{ aFlow.mNumber, Base::RequestNumber(aRequest.number()) };
  TouchFlow(aWork.mState.mFlows, aFlow, aWork.mContext.mNow);
  if (aRequest.number() == 0) {
    CountEvent(aWork.mEffects, Event::DropMalformed);
    return;
  }
  if (key.mNumber < aFlow.mWindow.mBase) {
    Refuse(aWork.mEffects,
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
    HandleDuplicate(aWork, aFlow, *entry, aRequest, digest);
    return;
  }
  AddEntry(aFlow.mWindow, key.mNumber, digest);
  AddCall(aWork, aFlow, key, aRequest);
  const Event refusal = CheckNewRequest(aWork, aFlow, aRequest);
  if (refusal != Event::None) {
    EndRefused(aWork, key, refusal);
    return;
  }
  CountForBudget(aWork, aFlow);
  if (aWork.mState.mHandover.mIsLeaving) {
    HoldCall(aWork.mState, key);
    return;
  }
  OfferCall(aWork, key);
}

void
HandleOwnCancel(Work& aWork, Flow& aFlow, Base::RequestNumber aNumber)
{
  const CallKey key{ aFlow.mNumber, aNumber };
  if (aNumber.mValue == 0) {
    CountEvent(aWork.mEffects, Event::DropMalformed);
    return;
  }
  const auto reply = [&](lw::caller::Outcome aOutcome, Event aReason) {
    Refuse(aWork.mEffects, aFlow.mAddresses, key.mFlow, key.mNumber, aOutcome, aReason);
  };
  if (aNumber < aFlow.mWindow.mBase) {
    reply(lw::caller::OUTCOME_UNKNOWN, Event::UnknownBelowWindow);
    return;
  }
  const WindowEntry* entry = FindEntry(aFlow.mWindow, aNumber);
  if (entry == nullptr) {
    // Recorded first, so that the request itself cannot run when it arrives later.
    WindowEntry& added = AddEntry(aFlow.mWindow, aNumber, 0);
    added.mState = RequestState::Refused;
    added.mReason = Event::RefuseCanceled;
    reply(lw::caller::NOT_RUN, Event::RefuseCanceled);
    return;
  }
  const auto call = aWork.mState.mCalls.find(key);
  if (call != aWork.mState.mCalls.end()) {
    if (WithdrawCall(aWork.mState, key)) {
      EndRefused(aWork, key, Event::RefuseCanceled);
      return;
    }
    if (!call->second.mIsCanceled) {
      call->second.mIsCanceled = true;
      call->second.mCanceledAt = aWork.mContext.mNow;
    }
    CancelRunning(aWork, key, kNoAttempt);
    return;
  }
  if (entry->mState == RequestState::Refused) {
    reply(lw::caller::NOT_RUN, entry->mReason);
  } else if (entry->mState == RequestState::Unknown) {
    reply(lw::caller::OUTCOME_UNKNOWN, entry->mReason);
  }
}

} // namespace Requests::Internal
