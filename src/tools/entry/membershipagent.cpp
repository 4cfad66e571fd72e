#include "membershipagent.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>

namespace Entry {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{ 500 };
constexpr milliseconds kMemberTimeout{ 3000 };
constexpr milliseconds kLease{ 5000 };
/// Lease and a margin of 1 s, so that older records of the address have run out everywhere.
constexpr milliseconds kHoldBeforeUse{ 6000 };

uint32_t
AgeInMs(Base::TimePoint aSince, Base::TimePoint aNow)
{
  return static_cast<uint32_t>(duration_cast<milliseconds>(aNow - aSince).count());
}

} // namespace

MembershipAgent::MembershipAgent(boost::asio::io_context& aContext,
                                 const EntrySettings& aSettings,
                                 Base::Incarnation aIncarnation,
                                 PeerTransport& aTransport,
                                 const Base::Snapshot<Config::ServiceIndex>& aServices)
  : mSettings(aSettings)
  , mTransport(aTransport)
  , mServices(aServices)
  , mIncarnation(aIncarnation)
  , mTimer(aContext)
  , mView(std::make_shared<Membership::View>())
{
  Membership::Member self;
  self.mId = aSettings.mInstance;
  self.mAvailabilityZone = aSettings.mAvailabilityZone;
  self.mIncarnation = aIncarnation;
  self.mPeerEndpoint = aSettings.mPeerListen;
  mMembers[self.mId] = { self, Base::RuntimeClock::now() };
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
    Expire();
    SendHeartbeats();
    Publish();
  }
  mTimer.expires_after(kHeartbeatInterval);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
MembershipAgent::Leave()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLeaving = true;
  mMembers[mSettings.mInstance].mMember.mState = Membership::MemberState::Leaving;
  SendHeartbeats();
  Publish();
}

void
MembershipAgent::SendHeartbeats()
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  lw::membership::Heartbeat heartbeat;
  heartbeat.set_region(mSettings.mRegion);
  heartbeat.set_availability_zone(mSettings.mAvailabilityZone);
  heartbeat.set_leaving(mLeaving);
  heartbeat.set_version_in_force(mServices.Load()->mVersion.mValue);
  for (const auto& [endpoint, known] : mUpstreams) {
    lw::membership::UpstreamRecord* record = heartbeat.add_upstreams();
    *record->mutable_announcement() = known.mAnnouncement;
    record->set_availability_zone(known.mUpstream.mAvailabilityZone);
    record->set_generation(known.mUpstream.mGeneration.mValue);
    record->set_age_ms(AgeInMs(known.mRenewed, now));
    record->set_known_ms(AgeInMs(known.mFirstKnown, now));
  }
  std::set<Base::Endpoint> targets(mSettings.mSeeds.begin(), mSettings.mSeeds.end());
  for (const auto& [id, known] : mMembers) {
    targets.insert(known.mMember.mPeerEndpoint);
  }
  targets.erase(mSettings.mPeerListen);
  const std::string payload = heartbeat.SerializeAsString();
  for (const Base::Endpoint& target : targets) {
    mTransport.Send(target, lw::peer::MEMBERSHIP, payload);
  }
}

void
MembershipAgent::HandlePeer(const PeerSender& aSender, absl::string_view aPayload)
{
  lw::membership::Heartbeat heartbeat;
  if (!heartbeat.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size())) ||
      heartbeat.region() != mSettings.mRegion || aSender.mId == mSettings.mInstance) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  Membership::Member member;
  member.mId = aSender.mId;
  member.mAvailabilityZone = heartbeat.availability_zone();
  member.mIncarnation = aSender.mIncarnation;
  member.mPeerEndpoint = aSender.mEndpoint;
  member.mState =
    heartbeat.leaving() ? Membership::MemberState::Leaving : Membership::MemberState::Alive;
  member.mVersionInForce = Base::ConfigVersion(heartbeat.version_in_force());
  mMembers[member.mId] = { member, Base::RuntimeClock::now() };
  for (const lw::membership::UpstreamRecord& record : heartbeat.upstreams()) {
    Record(record).IgnoreError();
  }
}

absl::StatusOr<lw::announce::AnnounceReply>
MembershipAgent::Announce(const lw::announce::AnnounceRequest& aRequest)
{
  const std::shared_ptr<const Config::ServiceIndex> services = mServices.Load();
  const auto service = services->mByName.find(aRequest.service());
  if (service == services->mByName.end()) {
    return absl::InvalidArgumentError(
      absl::StrCat("service \"", aRequest.service(), "\" does not exist"));
  }
  lw::membership::UpstreamRecord record;
  *record.mutable_announcement() = aRequest;
  record.set_availability_zone(mSettings.mAvailabilityZone);
  record.set_generation(service->second->mGeneration.mValue);
  const std::lock_guard<std::mutex> lock(mMutex);
  const absl::Status status = Record(record);
  if (!status.ok()) {
    return status;
  }
  Publish();
  lw::announce::AnnounceReply reply;
  reply.set_lease_ms(static_cast<uint32_t>(kLease.count()));
  return reply;
}

absl::Status
MembershipAgent::Record(const lw::membership::UpstreamRecord& aRecord)
{
  const lw::announce::AnnounceRequest& announcement = aRecord.announcement();
  const absl::StatusOr<Base::Endpoint> endpoint = Base::ParseEndpoint(announcement.address());
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  const Base::TimePoint now = Base::RuntimeClock::now();
  const Base::TimePoint renewed = now - milliseconds(aRecord.age_ms());
  if (renewed + kLease <= now) {
    return absl::DeadlineExceededError("the lease has run out");
  }
  const auto known = mUpstreams.find(*endpoint);
  const bool isKnown = known != mUpstreams.end();
  if (isKnown && known->second.mAnnouncement.service() != announcement.service()) {
    return absl::AlreadyExistsError(absl::StrCat("address ",
                                                 announcement.address(),
                                                 " holds a lease in service \"",
                                                 known->second.mAnnouncement.service(),
                                                 "\""));
  }
  if (isKnown && std::make_pair(announcement.start_id(), announcement.sequence()) <
                   std::make_pair(known->second.mAnnouncement.start_id(),
                                  known->second.mAnnouncement.sequence())) {
    return absl::OkStatus();
  }
  Base::TimePoint firstKnown = now - milliseconds(aRecord.known_ms());
  if (isKnown) {
    firstKnown = std::min(firstKnown, known->second.mFirstKnown);
  }
  KnownUpstream upstream;
  upstream.mAnnouncement = announcement;
  upstream.mRenewed = renewed;
  upstream.mFirstKnown = firstKnown;
  upstream.mUpstream.mEndpoint = *endpoint;
  upstream.mUpstream.mAvailabilityZone = aRecord.availability_zone();
  upstream.mUpstream.mService = announcement.service();
  upstream.mUpstream.mGeneration = Base::ServiceGeneration(aRecord.generation());
  upstream.mUpstream.mStartId = announcement.start_id();
  upstream.mUpstream.mState = announcement.state() == lw::announce::ACTIVE
                                ? Membership::UpstreamState::Active
                                : Membership::UpstreamState::Draining;
  upstream.mUpstream.mSlots = std::max<uint32_t>(1, announcement.slots());
  upstream.mUpstream.mLoad = announcement.load();
  upstream.mUpstream.mUsableFrom = firstKnown + kHoldBeforeUse;
  upstream.mUpstream.mLeaseEnd = renewed + kLease;
  mUpstreams[*endpoint] = upstream;
  return absl::OkStatus();
}

void
MembershipAgent::Expire()
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  for (auto known = mMembers.begin(); known != mMembers.end();) {
    const bool isSelf = known->first == mSettings.mInstance;
    const bool isSilent = now - known->second.mLastHeard > kMemberTimeout;
    known = !isSelf && isSilent ? mMembers.erase(known) : std::next(known);
  }
  for (auto known = mUpstreams.begin(); known != mUpstreams.end();) {
    known = known->second.mUpstream.mLeaseEnd <= now ? mUpstreams.erase(known) : std::next(known);
  }
}

void
MembershipAgent::Publish()
{
  auto view = std::make_shared<Membership::View>();
  view->mSelf = mSettings.mInstance;
  view->mAvailabilityZone = mSettings.mAvailabilityZone;
  view->mIncarnation = mIncarnation;
  for (const auto& [id, known] : mMembers) {
    view->mMembers.push_back(known.mMember);
  }
  for (const auto& [endpoint, known] : mUpstreams) {
    if (known.mAnnouncement.state() != lw::announce::LEFT) {
      view->mUpstreams.push_back(known.mUpstream);
    }
  }
  mView.Publish(std::move(view));
}

} // namespace Entry
