#include "requestpath.h"

#include "base/hash.h"

#include "requestpeer.pb.h"

#include <utility>

namespace Entry {

namespace {

using std::chrono::milliseconds;

Admission::Policy
PolicyOf(const Config::ServiceIndex& aServices, const std::string& aService)
{
  Admission::Policy policy;
  const auto service = aServices.mByName.find(aService);
  if (service == aServices.mByName.end()) {
    return policy;
  }
  for (const lw::config::WorkKind& kind : service->second->mDefinition.work_kinds()) {
    policy.mKinds.push_back({ kind.name(), kind.share_permille(), kind.urgency() });
  }
  return policy;
}

lw::requestpeer::ForwardedPacket
ToForwarded(const Wire::ProxyAddresses& aAddresses, absl::string_view aPayload)
{
  lw::requestpeer::ForwardedPacket forwarded;
  forwarded.set_caller_address(aAddresses.mSource.mAddress);
  forwarded.set_caller_port(aAddresses.mSource.mPort);
  forwarded.set_service_address(aAddresses.mDestination.mAddress);
  forwarded.set_service_port(aAddresses.mDestination.mPort);
  forwarded.set_payload(aPayload.data(), aPayload.size());
  return forwarded;
}

} // namespace

RequestPath::RequestPath(const EntrySettings& aSettings,
                         Base::Incarnation aIncarnation,
                         const PacketPorts& aPorts,
                         const Base::Snapshot<Membership::View>& aView,
                         const Base::Snapshot<Config::ServiceIndex>& aServices,
                         Metrics::Registry& aMetrics)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mPorts(aPorts)
  , mView(aView)
  , mServices(aServices)
  , mMalformed(aMetrics.CounterFor("drops_total{reason=\"request_malformed\"}"))
  , mDispatched(aMetrics.CounterFor("requests_dispatched_total"))
{
}

void
RequestPath::HandleCallerPacket(const Config::ServiceView& aService,
                                const Wire::ProxyAddresses& aAddresses,
                                absl::string_view aPayload)
{
  lw::caller::CallerPacket packet;
  if (!packet.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size()))) {
    mMalformed.Add();
    return;
  }
  if (packet.has_open()) {
    Open(aService, aAddresses, packet.open());
  } else if (packet.has_request()) {
    Offer(aAddresses, packet.request(), aPayload);
  } else {
    mMalformed.Add();
  }
}

std::string
RequestPath::MakeTicket(uint64_t aFlow) const
{
  lw::requestpeer::Ticket ticket;
  ticket.set_owner(mSettings.mInstance.mValue);
  ticket.set_owner_incarnation(mIncarnation.mValue);
  ticket.set_flow(aFlow);
  return ticket.SerializeAsString();
}

void
RequestPath::Open(const Config::ServiceView& aService,
                  const Wire::ProxyAddresses& aAddresses,
                  const lw::caller::OpenFlow& aOpen)
{
  const std::shared_ptr<const Membership::View> view = mView.Load();
  const Base::TimePoint now = Base::RuntimeClock::now();
  const Membership::Upstream* best = nullptr;
  uint64_t bestScore = 0;
  for (const Membership::Upstream& upstream : view->mUpstreams) {
    if (upstream.mGeneration != aService.mGeneration || !Membership::TakesNewWork(upstream, now)) {
      continue;
    }
    const uint64_t score =
      Base::StableHash({ Base::Pack(aAddresses.mSource), Base::Pack(upstream.mEndpoint) });
    if (best == nullptr || score > bestScore) {
      best = &upstream;
      bestScore = score;
    }
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  lw::caller::EntryPacket answer;
  if (best == nullptr || mShuttingDown) {
    answer.mutable_refusal()->set_open_id(aOpen.open_id());
    answer.mutable_refusal()->set_outcome(lw::caller::NOT_RUN);
    answer.mutable_refusal()->set_reason(best == nullptr ? "no upstream" : "shutting down");
    SendToCaller(aAddresses, answer);
    return;
  }
  const uint64_t number = mNextNumber++;
  mFlows[number] = { best->mEndpoint, aAddresses, aService.mName, {} };
  Admission::Report(mSchedulers[best->mEndpoint], best->mSlots, best->mLoad, now);
  answer.mutable_opened()->set_open_id(aOpen.open_id());
  answer.mutable_opened()->set_flow(number);
  answer.mutable_opened()->set_ticket(MakeTicket(number));
  SendToCaller(aAddresses, answer);
}

void
RequestPath::Offer(const Wire::ProxyAddresses& aAddresses,
                   const lw::caller::Request& aRequest,
                   absl::string_view aPayload)
{
  lw::requestpeer::Ticket ticket;
  if (!ticket.ParseFromString(aRequest.ticket())) {
    mMalformed.Add();
    return;
  }
  const bool isOwn = ticket.owner() == mSettings.mInstance.mValue &&
                     ticket.owner_incarnation() == mIncarnation.mValue;
  if (!isOwn) {
    const std::shared_ptr<const Membership::View> view = mView.Load();
    const Membership::Member* owner =
      Membership::FindMember(*view, Base::InstanceId(ticket.owner()));
    if (owner != nullptr && owner->mIncarnation.mValue == ticket.owner_incarnation()) {
      mPorts.mToPeer(owner->mPeerEndpoint,
                     lw::peer::REQUESTS,
                     ToForwarded(aAddresses, aPayload).SerializeAsString());
      return;
    }
    Refuse(aAddresses,
           ticket.flow(),
           aRequest.number(),
           aRequest.repeatable() ? lw::caller::FLOW_GONE : lw::caller::OUTCOME_UNKNOWN,
           "the flow's owner is gone");
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto flow = mFlows.find(ticket.flow());
  if (flow == mFlows.end()) {
    Refuse(aAddresses,
           ticket.flow(),
           aRequest.number(),
           lw::caller::OUTCOME_UNKNOWN,
           "the flow is not known");
    return;
  }
  const Base::RequestNumber number(aRequest.number());
  if (number <= flow->second.mHighest) {
    return; // A duplicate of a request that is queued, runs or was answered.
  }
  flow->second.mHighest = number;
  const Base::TimePoint now = Base::RuntimeClock::now();
  const uint64_t work = mNextNumber++;
  const Base::TimePoint deadline = now + milliseconds(aRequest.deadline_ms());
  mRunning[work] = { flow->first, aRequest, deadline };
  const Admission::WorkItem item{ work, aRequest.kind(), "", deadline };
  const Admission::Policy policy = PolicyOf(*mServices.Load(), flow->second.mService);
  Carry(flow->second.mUpstream,
        Admission::Offer(mSchedulers[flow->second.mUpstream], policy, item, now));
}

void
RequestPath::Carry(const Base::Endpoint& aUpstream, const Admission::Effects& aEffects)
{
  for (const Admission::WorkItem& item : aEffects.mDispatch) {
    const Running& running = mRunning[item.mId];
    lw::upstream::ToUpstream packet;
    lw::upstream::Work* work = packet.mutable_work();
    work->mutable_id()->set_incarnation(mIncarnation.mValue);
    work->mutable_id()->set_number(item.mId);
    work->set_kind(running.mRequest.kind());
    work->set_deadline_ms(running.mRequest.deadline_ms());
    work->set_body(running.mRequest.body());
    mDispatched.Add();
    mPorts.mToUpstream(aUpstream, mFlows[running.mFlow].mAddresses, packet.SerializeAsString());
  }
  for (const Admission::Refused& refused : aEffects.mRefuse) {
    const Running running = mRunning[refused.mId];
    mRunning.erase(refused.mId);
    Refuse(mFlows[running.mFlow].mAddresses,
           running.mFlow,
           running.mRequest.number(),
           lw::caller::NOT_RUN,
           "no capacity before the deadline");
  }
}

void
RequestPath::Refuse(const Wire::ProxyAddresses& aAddresses,
                    uint64_t aFlow,
                    uint64_t aNumber,
                    lw::caller::Outcome aOutcome,
                    const std::string& aReason)
{
  lw::caller::EntryPacket packet;
  lw::caller::Refusal* refusal = packet.mutable_refusal();
  refusal->set_flow(aFlow);
  refusal->set_number(aNumber);
  refusal->set_outcome(aOutcome);
  refusal->set_reason(aReason);
  SendToCaller(aAddresses, packet);
}

void
RequestPath::SendToCaller(const Wire::ProxyAddresses& aAddresses,
                          const lw::caller::EntryPacket& aPacket)
{
  mPorts.mToCaller(Wire::Reversed(aAddresses), aPacket.SerializeAsString());
}

void
RequestPath::HandleUpstreamPacket(const Config::ServiceView& aService,
                                  const Base::Endpoint& aUpstream,
                                  absl::string_view aPayload)
{
  lw::upstream::FromUpstream packet;
  if (!packet.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size())) ||
      !packet.has_piece()) {
    mMalformed.Add();
    return;
  }
  const lw::upstream::WorkPiece& piece = packet.piece();
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto running = mRunning.find(piece.id().number());
  if (piece.id().incarnation() != mIncarnation.mValue || running == mRunning.end()) {
    return;
  }
  const Flow& flow = mFlows[running->second.mFlow];
  if (flow.mUpstream != aUpstream) {
    return;
  }
  lw::caller::EntryPacket answer;
  answer.mutable_piece()->set_flow(running->second.mFlow);
  answer.mutable_piece()->set_number(running->second.mRequest.number());
  answer.mutable_piece()->set_index(piece.index());
  answer.mutable_piece()->set_total(piece.total());
  answer.mutable_piece()->set_body(piece.body());
  SendToCaller(flow.mAddresses, answer);
  if (piece.index() + 1 == piece.total()) {
    mRunning.erase(running);
    const Admission::Policy policy = PolicyOf(*mServices.Load(), aService.mName);
    Carry(aUpstream,
          Admission::Finish(mSchedulers[aUpstream],
                            policy,
                            piece.id().number(),
                            Admission::WorkOutcome::Answered,
                            Base::RuntimeClock::now()));
  }
}

void
RequestPath::HandlePeerPayload(const PeerSender& /*aSender*/, absl::string_view aPayload)
{
  lw::requestpeer::ForwardedPacket forwarded;
  lw::caller::CallerPacket packet;
  if (!forwarded.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size())) ||
      !packet.ParseFromString(forwarded.payload()) || !packet.has_request()) {
    mMalformed.Add();
    return;
  }
  const Wire::ProxyAddresses addresses{
    { forwarded.caller_address(), static_cast<uint16_t>(forwarded.caller_port()) },
    { forwarded.service_address(), static_cast<uint16_t>(forwarded.service_port()) }
  };
  Offer(addresses, packet.request(), forwarded.payload());
}

void
RequestPath::Tick()
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  const std::lock_guard<std::mutex> lock(mMutex);
  for (auto& [upstream, scheduler] : mSchedulers) {
    Carry(upstream, Admission::Tick(scheduler, {}, now));
  }
  for (auto running = mRunning.begin(); running != mRunning.end();) {
    if (running->second.mDeadline > now) {
      ++running;
      continue;
    }
    const Flow& flow = mFlows[running->second.mFlow];
    Refuse(flow.mAddresses,
           running->second.mFlow,
           running->second.mRequest.number(),
           lw::caller::OUTCOME_UNKNOWN,
           "no answer before the deadline");
    const uint64_t work = running->first;
    running = mRunning.erase(running);
    Carry(flow.mUpstream,
          Admission::Finish(
            mSchedulers[flow.mUpstream], {}, work, Admission::WorkOutcome::TimedOut, now));
  }
}

void
RequestPath::BeginShutdown()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mShuttingDown = true;
}

bool
RequestPath::IsDrained() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRunning.empty();
}

} // namespace Entry
