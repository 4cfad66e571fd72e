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
  /// Random for each run.
  uint64_t mEpoch = 0;
  /// An upstream without an announcement for longer than this is silent.
  Base::Duration mSilence{};
};

/// Directory of announced upstreams at a control instance, joined with what the log holds. Used by
/// the thread of the announcements and by that of the polls.
class DirectoryService
{
public:
  DirectoryService(const Control::ConfigStore& aStore,
                   const Control::LogDriver& aLog,
                   DirectoryServiceSettings aSettings);

  Directory::AnnounceOutcome Announce(const Directory::Announcement& aAnnouncement);

  /// \return false after this instance was cut off from the log, so that upstreams look for one
  /// that entry instances hear. While it starts, others do as well, and upstreams stay.
  bool TakesAnnouncements();

  /// Takes an upstream out of use at once, as the upstream asked, before the log has it.
  void Leave(const lw::config::Departure& aDeparture);

  /// \return the newest start that is known under an id.
  std::optional<uint64_t> StartOf(Directory::UpstreamId aId) const;

  /// \return the upstreams that are ready and heard, and the revision of the newest change.
  lw::fleet::PollReply Upstreams() const;

  /// Sets the upstreams of an earlier run. They are used once the log is connected, so that their
  /// departures are known, and count as announced then.
  void Restore(lw::fleet::PollReply aUpstreams);

  /// Answers a poll of an entry instance.
  lw::fleet::PollReply Answer(const lw::fleet::Poll& aPoll);

private:
  struct Poller
  {
    std::string mAvailabilityZone;
    Base::TimePoint mPolledAt;
  };

  /// Pollers of one availability zone.
  struct Peers
  {
    uint64_t mHash = 1;
    std::vector<uint32_t> mInstances;
  };

  void Sweep(Base::TimePoint aNow);
  void CollectPeers();

  void TakeRestored(Base::TimePoint aNow);
  void TakeLogState(Base::TimePoint aNow);
  void FillPeers(const lw::fleet::Poll& aPoll, Base::TimePoint aNow, lw::fleet::PollReply& aReply);

  const Control::ConfigStore& mStore;
  const Control::LogDriver& mLog;
  const DirectoryServiceSettings mSettings;
  mutable std::mutex mMutex;
  Directory::AnnouncementTable mTable;
  /// Version of the store that mTable and mRoutes reflect.
  uint64_t mStoreVersion = 0;
  Base::TimePoint mNextSweep;
  bool mWasConnected = false;
  Directory::RouteHistory mRoutes;
  std::map<uint32_t, Poller> mPollers;
  std::map<std::string, Peers> mPeersByZone;
  lw::fleet::PollReply mRestored;
};

} // namespace Fleet
