#pragma once

#include "control/configstore.h"
#include "control/logdriver.h"
#include "directory/announcements.h"
#include "directory/routehistory.h"

#include "fleet.pb.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Fleet {

struct DirectoryServiceSettings
{
  std::string mAvailabilityZone;
  /// Random number that identifies this run.
  uint64_t mEpoch = 0;
  /// An upstream without an announcement for longer than this is reported as silent.
  Base::Duration mSilenceTimeout{};
};

/// Directory of a control instance: announced upstreams, and the departures and routes in the log.
/// Thread-safe, because announcements and polls are handled by different threads.
class DirectoryService
{
public:
  DirectoryService(const Control::ConfigStore& aStore,
                   const Control::LogDriver& aLog,
                   DirectoryServiceSettings aSettings);

  Directory::AnnounceOutcome Announce(const Directory::Announcement& aAnnouncement);

  /// \return false if this instance has lost its connection to the log, so that upstreams switch to
  /// an instance that entry instances can reach. Returns true until the first connection: while all
  /// control instances start, switching would not help.
  bool AcceptsAnnouncements();

  /// Marks an upstream as departed at once when it asks for it, before the log has committed the
  /// departure.
  void MarkUpstreamDeparted(const lw::config::Departure& aDeparture);

  /// \return the start time of the newest known start of an upstream.
  std::optional<uint64_t> StartOf(Directory::UpstreamId aId) const;

  /// \return the upstreams that are ready and not silent, and the revision of the latest change.
  lw::fleet::PollReply Upstreams() const;

  /// Sets the upstreams of a previous run. They are treated as announced once the log is connected,
  /// because departures in the meantime are not known before.
  void Restore(lw::fleet::PollReply aUpstreams);

  /// \return the reply to a poll of an entry instance.
  lw::fleet::PollReply Answer(const lw::fleet::Poll& aPoll);

private:
  struct Poller
  {
    std::string mAvailabilityZone;
    Base::TimePoint mPolledAt;
  };

  /// Entry instances of one availability zone that poll this instance.
  struct Peers
  {
    uint64_t mHash = 1;
    std::vector<uint32_t> mInstances;
  };

  void ExpireEntries(Base::TimePoint aNow);
  void RebuildPeers();

  void AnnounceRestored(Base::TimePoint aNow);
  void ApplyLogState(Base::TimePoint aNow);
  void FillPeers(const lw::fleet::Poll& aPoll, Base::TimePoint aNow, lw::fleet::PollReply& aReply);

  const Control::ConfigStore& mStore;
  const Control::LogDriver& mLog;
  const DirectoryServiceSettings mSettings;
  mutable std::mutex mMutex;
  Directory::AnnouncementTable mTable;
  /// Version of the store that mTable, mRoutes and mEvacuations reflect.
  uint64_t mStoreVersion = 0;
  Base::TimePoint mNextExpiry;
  bool mWasConnected = false;
  Directory::RouteHistory mRoutes;
  lw::config::Evacuations mEvacuations;
  std::map<uint32_t, Poller> mPollers;
  std::map<std::string, Peers> mPeersByZone;
  lw::fleet::PollReply mRestored;
};

} // namespace Fleet
