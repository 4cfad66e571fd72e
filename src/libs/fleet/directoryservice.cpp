#include "fleet/directoryservice.h"

#include "base/hash.h"

#include <chrono>
#include <iterator>
#include <utility>

namespace Fleet {

namespace {

/// If the log thread is blocked for longer, for example by its disk, the log does not count as
/// connected.
constexpr std::chrono::milliseconds kMaxLogThreadDelay{ 500 };
/// Entry instances that have not polled for this long are removed from the peers of their zone.
constexpr std::chrono::seconds kPollerLifetime{ 3 };
constexpr std::chrono::milliseconds kExpiryInterval{ 200 };

} // namespace

DirectoryService::DirectoryService(const Control::ConfigStore& aStore,
                                   const Control::LogDriver& aLog,
                                   DirectoryServiceSettings aSettings)
  : mStore(aStore)
  , mLog(aLog)
  , mSettings(std::move(aSettings))
{
  mTable.mEpoch = mSettings.mEpoch;
}

Directory::AnnounceOutcome
DirectoryService::Announce(const Directory::Announcement& aAnnouncement)
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  const std::lock_guard<std::mutex> lock(mMutex);
  ExpireEntries(now);
  return Directory::Announce(mTable, aAnnouncement, now);
}

bool
DirectoryService::AcceptsAnnouncements()
{
  const bool connected = mLog.IsConnected();
  const std::lock_guard<std::mutex> lock(mMutex);
  mWasConnected = mWasConnected || connected;
  return connected || !mWasConnected;
}

void
DirectoryService::MarkUpstreamDeparted(const lw::config::Departure& aDeparture)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Directory::MarkDeparted(mTable, aDeparture, Base::RuntimeClock::now());
}

std::optional<uint64_t>
DirectoryService::StartOf(Directory::UpstreamId aId) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mTable.mUpstreams.find(aId);
  if (found == mTable.mUpstreams.end()) {
    return std::nullopt;
  }
  return found->second.mUpstream.mStartedAtMs;
}

lw::fleet::PollReply
DirectoryService::Answer(const lw::fleet::Poll& aPoll)
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  const std::lock_guard<std::mutex> lock(mMutex);
  ExpireEntries(now);
  ApplyLogState(now);
  lw::fleet::PollReply reply;
  reply.set_number(aPoll.number());
  reply.set_connected(mLog.IsConnected() && mLog.IsResponsive(kMaxLogThreadDelay));
  if (reply.connected() && mStoreVersion > 0) {
    AnnounceRestored(now);
  }
  Directory::FillReply(mTable, aPoll, now, reply);
  reply.set_availability_zone(mSettings.mAvailabilityZone);
  reply.set_declared_version(Directory::NewestVersion(mRoutes));
  if (aPoll.wants_routes() && reply.declared_version() > aPoll.declared_version()) {
    *reply.mutable_routes() = Directory::UpdateFrom(mRoutes, aPoll.declared_version());
  }
  if (mEvacuations.revision() > aPoll.evacuation_revision()) {
    *reply.mutable_evacuations() = mEvacuations;
  }
  for (const Base::InstanceId instance : mLog.Members()) {
    reply.add_control_instances(instance.mValue);
  }
  FillPeers(aPoll, now, reply);
  return reply;
}

lw::fleet::PollReply
DirectoryService::Upstreams() const
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  const std::lock_guard<std::mutex> lock(mMutex);
  lw::fleet::PollReply reply;
  reply.set_directory_revision(mTable.mRevision);
  for (const auto& [id, announced] : mTable.mUpstreams) {
    if (announced.mUpstream.mState == Directory::State::Ready && !announced.mSilent) {
      *reply.add_upstreams() =
        Directory::ToMessage(announced.mUpstream, now - announced.mLastAnnouncedAt, now);
    }
  }
  return reply;
}

void
DirectoryService::Restore(lw::fleet::PollReply aUpstreams)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRestored = std::move(aUpstreams);
}

void
DirectoryService::AnnounceRestored(Base::TimePoint aNow)
{
  for (const lw::fleet::Upstream& message : mRestored.upstreams()) {
    if (mTable.mUpstreams.count(Directory::UpstreamId(message.id())) == 0) {
      Directory::Announce(mTable, { Directory::FromMessage(message, aNow), 0 }, aNow);
    }
  }
  mRestored.Clear();
}

void
DirectoryService::ApplyLogState(Base::TimePoint aNow)
{
  const uint64_t version = mStore.Version();
  if (version == mStoreVersion) {
    return;
  }
  const lw::config::State state = mStore.State();
  mStoreVersion = state.version();
  for (const lw::config::Departure& departure : state.departures()) {
    Directory::MarkDeparted(mTable, departure, aNow);
  }
  Directory::RemoveDepartedUpstreams(mTable, state, aNow);
  Directory::AddVersion(mRoutes, state.declaration());
  mEvacuations = state.evacuations();
}

void
DirectoryService::ExpireEntries(Base::TimePoint aNow)
{
  if (aNow < mNextExpiry) {
    return;
  }
  mNextExpiry = aNow + kExpiryInterval;
  Directory::MarkSilent(mTable, mSettings.mSilenceTimeout, aNow);
  Directory::RemoveSilentUpstreams(mTable, aNow);
  const size_t before = mPollers.size();
  for (auto item = mPollers.begin(); item != mPollers.end();) {
    const bool lost = aNow - item->second.mPolledAt > kPollerLifetime;
    item = lost ? mPollers.erase(item) : std::next(item);
  }
  if (mPollers.size() != before) {
    RebuildPeers();
  }
}

void
DirectoryService::RebuildPeers()
{
  mPeersByZone.clear();
  for (const auto& [instance, poller] : mPollers) {
    Peers& peers = mPeersByZone[poller.mAvailabilityZone];
    peers.mInstances.push_back(instance);
    peers.mHash = Base::StableHash({ peers.mHash, instance });
  }
}

void
DirectoryService::FillPeers(const lw::fleet::Poll& aPoll,
                            Base::TimePoint aNow,
                            lw::fleet::PollReply& aReply)
{
  const auto [poller, added] = mPollers.try_emplace(aPoll.instance());
  const bool moved = poller->second.mAvailabilityZone != aPoll.availability_zone();
  poller->second = { aPoll.availability_zone(), aNow };
  if (added || moved) {
    RebuildPeers();
  }
  const Peers& peers = mPeersByZone[aPoll.availability_zone()];
  aReply.set_peers_hash(peers.mHash);
  if (peers.mHash != aPoll.peers_hash()) {
    aReply.mutable_peers()->Add(peers.mInstances.begin(), peers.mInstances.end());
  }
}

} // namespace Fleet
