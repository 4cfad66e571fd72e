#pragma once

#include "base/random.h"
#include "base/runtimeclock.h"
#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "entrysettings.h"
#include "membership/leases.h"
#include "membership/state.h"
#include "membership/view.h"
#include "metrics/registry.h"
#include "peertransport.h"
#include "steering/evacuations.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <mutex>
#include <vector>

namespace Entry {

/// Runs the membership protocol over the peer transport and publishes views of the region.
class MembershipAgent
{
public:
  MembershipAgent(boost::asio::io_context& aContext,
                  const EntrySettings& aSettings,
                  Base::Incarnation aIncarnation,
                  PeerTransport& aTransport,
                  const Base::Snapshot<Config::ServiceIndex>& aServices,
                  const Base::Snapshot<Steering::Evacuations>& aEvacuations,
                  Metrics::Registry& aMetrics);

  void Start();

  /// Notifies the peers that this instance is leaving and who its successor is.
  void Leave();

  /// Notifies the peers that this instance has left. Call this last.
  void FinishLeave();

  /// Processes an announcement of an upstream. Thread-safe.
  Membership::AnnounceResult Announce(const Membership::Announcement& aAnnouncement);

  const Base::Snapshot<Membership::View>& View() const { return mView; }

private:
  struct CountedEvent
  {
    uint64_t Membership::Counts::*mSource;
    Metrics::Counter& mCounter;
  };
  using Timer = boost::asio::basic_waitable_timer<Base::RuntimeClock>;

  void Tick();
  void HandlePeer(const PeerSender& aSender, absl::string_view aPayload);
  void Send(const Membership::Outbox& aOutbox);
  void UpdateConfiguration(Base::TimePoint aNow);
  void PublishIfDue(Base::TimePoint aNow);
  void UpdateCounters();

  PeerTransport& mTransport;
  const Base::Snapshot<Config::ServiceIndex>& mServices;
  const Base::Snapshot<Steering::Evacuations>& mEvacuations;
  Membership::Settings mSettings;
  Timer mTimer;
  std::vector<CountedEvent> mEvents;
  Metrics::Counter& mSentMessages;
  Metrics::Counter& mSentBytes;
  Metrics::Counter& mMalformed;
  Metrics::Gauge& mMembers;
  Metrics::Gauge& mUpstreams;

  std::mutex mMutex;
  Base::RandomSource mRandom;
  Membership::State mState;
  Membership::Counts mReportedCounts;
  Base::ConfigVersion mAppliedVersion;
  uint64_t mPublishedRevision = 0;
  /// Number of the last published snapshot of the evacuations (Base::Snapshot), not the revision of
  /// the list.
  uint64_t mPublishedEvacuations = 0;
  Base::TimePoint mPublishedAt;
  Base::Snapshot<Membership::View> mView;
};

} // namespace Entry
