#include "membershipagent.h"

#include "base/hash.h"
#include "evacuationfilter.h"
#include "membership/protocol.h"
#include "membership/viewbuilder.h"

#include "membership.pb.h"

#include <glog/logging.h>

#include <set>
#include <utility>

namespace Entry {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 50 };
/// Interval at which views are published without a change, because their leases are extended. A
/// lease lasts at least 3.5 s after each heartbeat of its holder.
constexpr std::chrono::milliseconds kPublishInterval{ 500 };

using Event = std::pair<const char*, uint64_t Membership::Counts::*>;

constexpr Event kEvents[] = {
  { "membership_probes_total", &Membership::Counts::mProbes },
  { "membership_indirect_probes_total", &Membership::Counts::mIndirectProbes },
  { "membership_suspicions_total", &Membership::Counts::mSuspicions },
  { "membership_deaths_total", &Membership::Counts::mDeaths },
  { "membership_refutations_total", &Membership::Counts::mRefutations },
  { "membership_pulls_total", &Membership::Counts::mPulls },
  { "membership_lease_takeovers_total", &Membership::Counts::mTakeovers },
  { "membership_leases_overdue_total", &Membership::Counts::mOverdue },
  { "membership_leases_expired_total", &Membership::Counts::mExpired },
  { "membership_stale_announcements_total", &Membership::Counts::mStaleAnnouncements },
  { "membership_refused_addresses_total", &Membership::Counts::mRefusedAddresses },
  { "membership_forwarded_renewals_total", &Membership::Counts::mForwardedRenewals },
  { "membership_delayed_datagrams_total", &Membership::Counts::mDelayedDatagrams },
  { "membership_rejected_messages_total", &Membership::Counts::mRejectedMessages },
};

/// Selects the member to which the request path hands over its flows. Must use the same rule as the
/// requests library, so that the leave message contains the correct successor.
Base::InstanceId
SelectSuccessor(const Membership::View& aView)
{
  Base::InstanceId best;
  std::pair<bool, uint64_t> bestScore;
  for (const Membership::Member& member : aView.mMembers) {
    if (member.mId == aView.mSelf || member.mState != Membership::MemberState::Alive) {
      continue;
    }
    const bool isSameZone = member.mAvailabilityZone == aView.mAvailabilityZone;
    const std::pair<bool, uint64_t> score(
      isSameZone, Base::StableHash({ aView.mIncarnation.mValue, member.mId.mValue }));
    if (best == Base::InstanceId() || score > bestScore) {
      best = member.mId;
      bestScore = score;
    }
  }
  return best;
}

} // namespace

MembershipAgent::MembershipAgent(boost::asio::io_context& aContext,
                                 const EntrySettings& aSettings,
                                 Base::Incarnation aIncarnation,
                                 PeerTransport& aTransport,
                                 const Base::Snapshot<Config::ServiceIndex>& aServices,
                                 const Base::Snapshot<Steering::Evacuations>& aEvacuations,
                                 Metrics::Registry& aMetrics)
  : mTransport(aTransport)
  , mServices(aServices)
  , mEvacuations(aEvacuations)
  , mTimer(aContext)
  , mSentMessages(aMetrics.CounterFor("membership_sent_messages_total"))
  , mSentBytes(aMetrics.CounterFor("membership_sent_bytes_total"))
  , mMalformed(aMetrics.CounterFor("membership_malformed_total"))
  , mMembers(aMetrics.GaugeFor("membership_members"))
  , mUpstreams(aMetrics.GaugeFor("membership_upstreams"))
  , mRandom{ aIncarnation.mValue }
  , mState(Membership::Start({ aSettings.mInstance,
                               aIncarnation,
                               aSettings.mPeerListen,
                               aSettings.mRegion,
                               aSettings.mAvailabilityZone },
                             Base::RuntimeClock::now(),
                             mRandom))
  , mView(
      std::make_shared<Membership::View>(Membership::BuildView(mState, Base::RuntimeClock::now())))
{
  mSettings.mSeeds = aSettings.mSeeds;
  for (const auto& [name, source] : kEvents) {
    mEvents.push_back({ source, aMetrics.CounterFor(name) });
  }
  mTransport.SetHandler(lw::peer::MEMBERSHIP,
                        [this](const PeerSender& aSender, absl::string_view aPayload) {
                          HandlePeer(aSender, aPayload);
                        });
}

void
MembershipAgent::Start()
{
  Tick();
}

void
MembershipAgent::Tick()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Base::TimePoint now = Base::RuntimeClock::now();
    UpdateConfiguration(now);
    Send(Membership::Tick(mState, mSettings, now, mRandom));
    PublishIfDue(now);
    UpdateCounters();
  }
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
MembershipAgent::UpdateConfiguration(Base::TimePoint aNow)
{
  const std::shared_ptr<const Config::ServiceIndex> services = mServices.Load();
  if (services->mVersion == mAppliedVersion) {
    return;
  }
  mAppliedVersion = services->mVersion;
  Membership::SetVersionInForce(mState, services->mVersion);
  std::set<Base::ServiceGeneration> generations;
  for (const auto& [name, service] : services->mByName) {
    generations.insert(service->mGeneration);
  }
  Membership::ReleaseRemovedServices(mState, generations, aNow);
}

void
MembershipAgent::Leave()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Base::TimePoint now = Base::RuntimeClock::now();
  const Base::InstanceId successor = SelectSuccessor(Membership::BuildView(mState, now));
  Membership::BeginLeave(mState, successor);
  PublishIfDue(now);
  LOG(INFO) << "[membership] Leaving the region. The successor is instance " << successor << ".";
}

void
MembershipAgent::FinishLeave()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Send(Membership::FinishLeave(mState, Base::RuntimeClock::now(), mRandom));
  UpdateCounters();
}

Membership::AnnounceResult
MembershipAgent::Announce(const Membership::Announcement& aAnnouncement)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Base::TimePoint now = Base::RuntimeClock::now();
  Membership::AnnounceResult result = Membership::Announce(mState, mSettings, aAnnouncement, now);
  Send(result.mOutbox);
  PublishIfDue(now);
  return result;
}

void
MembershipAgent::HandlePeer(const PeerSender& aSender, absl::string_view aPayload)
{
  lw::membership::Message message;
  if (!message.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size()))) {
    mMalformed.Add();
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  const Base::TimePoint now = Base::RuntimeClock::now();
  const Membership::Sender sender{ aSender.mId, aSender.mIncarnation, aSender.mEndpoint };
  Send(Membership::HandleMessage(mState, mSettings, sender, message, now));
  PublishIfDue(now);
}

void
MembershipAgent::Send(const Membership::Outbox& aOutbox)
{
  for (const Membership::Outgoing& outgoing : aOutbox) {
    const std::string payload = outgoing.mMessage.SerializeAsString();
    mTransport.Send(outgoing.mEndpoint, lw::peer::MEMBERSHIP, payload);
    mSentMessages.Add();
    mSentBytes.Add(payload.size());
  }
}

void
MembershipAgent::PublishIfDue(Base::TimePoint aNow)
{
  const uint64_t evacuations = mEvacuations.Revision();
  const bool changed =
    mState.mRevision != mPublishedRevision || evacuations != mPublishedEvacuations;
  if (!changed && aNow - mPublishedAt < kPublishInterval) {
    return;
  }
  mPublishedRevision = mState.mRevision;
  mPublishedEvacuations = evacuations;
  mPublishedAt = aNow;
  auto view = std::make_shared<Membership::View>(Membership::BuildView(mState, aNow));
  ApplyEvacuations(*mEvacuations.Load(), aNow, *view);
  mMembers.Set(static_cast<int64_t>(view->mMembers.size()));
  mUpstreams.Set(static_cast<int64_t>(view->mUpstreams.size()));
  mView.Publish(std::move(view));
}

void
MembershipAgent::UpdateCounters()
{
  for (const CountedEvent& event : mEvents) {
    const uint64_t counted = mState.mCounts.*event.mSource;
    event.mCounter.Add(counted - mReportedCounts.*event.mSource);
  }
  mReportedCounts = mState.mCounts;
}

} // namespace Entry
