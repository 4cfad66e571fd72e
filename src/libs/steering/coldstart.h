#pragma once

#include "base/runtimeclock.h"
#include "directory/mergeddirectory.h"
#include "steering/loadreports.h"

#include "fleet.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Steering {

/// A cold upstream of which this instance is the holder.
struct HeldUpstream
{
  /// Since when this instance has been the holder without interruption.
  Base::TimePoint mSince;
  /// When the opening packets of a previous holder have left the window.
  Base::TimePoint mSendsFrom;
  /// Times of the latest opening packets, oldest first. At most as many as the rate limit allows in
  /// its window, and never more than kMaxFlowsPerWindow.
  std::deque<Base::TimePoint> mSent;
};

/// Rate limits of cold upstreams. New flows to a cold upstream with a rate limit are sent by one
/// entry instance of its availability zone only, its holder. Owned by one entry instance and
/// rebuilt after a restart.
struct ColdStarts
{
  /// New flows per second of the services with a rate limit, from the configuration in force.
  std::unordered_map<std::string, double> mRates;
  /// Entry instances of the availability zone as listed by a control instance that is connected to
  /// the leader of the log. A list from a minority could be too short to detect a partition.
  std::vector<uint32_t> mListed;
  /// Bounded by the cold upstreams of the availability zone.
  std::unordered_map<Directory::RouteTag, HeldUpstream> mHeld;
  Base::TimePoint mUpdatedAt;
  /// The live peers and the list at the last update, and since when they have been the same.
  std::vector<LivePeer> mStablePeers;
  std::vector<uint32_t> mStableList;
  Base::TimePoint mStableSince;
};

/// What an instance knows about the entry instances of its availability zone.
struct HolderView
{
  uint32_t mSelf = 0;
  std::string mAvailabilityZone;
  /// Other instances with a current load report.
  std::vector<LivePeer> mLivePeers;
  /// Time after which an instance that no longer reports is not live any more.
  Base::Duration mReportLifetime{};
};

/// Bounds the memory for each held upstream. Higher rates are reduced to this number per second.
constexpr size_t kMaxFlowsPerWindow = 1000;

/// Replaces the rate limits by those of the configuration.
void
SetColdStartRates(ColdStarts& aColdStarts, const lw::fleet::RouteUpdate& aUpdate);

/// \return true if the instance has the highest rendezvous hash of the upstream among itself and
/// its live peers.
bool
IsHolder(const HolderView& aView, Directory::RouteTag aTag);

/// \return true if more than half of the listed instances, including this one, hear this instance
/// and no listed instance with a higher hash. Only one instance can have this majority, also if
/// some reports are lost in one direction or between two instances only.
bool
HasMajority(const std::vector<uint32_t>& aListed,
            const HolderView& aView,
            Directory::RouteTag aTag);

/// Adds the listed instances that this instance does not hear to its load report.
void
AddNotReceivedFrom(const ColdStarts& aColdStarts,
                   const HolderView& aView,
                   lw::fleet::LoadReport& aReport);

/// Determines the cold upstreams of which this instance is the holder, and removes the state of the
/// others. To be called about every 100 ms. A longer interruption than kMaxUpdateAge ends the
/// holding of all upstreams, because other instances may have become holders of them.
void
UpdateHeldUpstreams(ColdStarts& aColdStarts,
                    const Directory::MergedDirectory& aDirectory,
                    const HolderView& aView,
                    Base::TimePoint aNow);

/// \return the rate limit of the upstream, or std::nullopt if it is not cold or has none.
std::optional<double>
RateLimitOf(const ColdStarts& aColdStarts,
            const Directory::Upstream& aUpstream,
            Base::TimePoint aNow);

/// \return true if this instance may send an opening packet to the upstream now.
bool
AllowsOpening(const ColdStarts& aColdStarts,
              const Directory::MergedUpstream& aUpstream,
              Base::TimePoint aNow);

/// \return the flows per second that this instance may send to cold upstreams of the service.
double
HeldRate(const ColdStarts& aColdStarts,
         const Directory::MergedDirectory& aDirectory,
         const std::string& aService,
         Base::TimePoint aNow);

/// Records an opening packet, or a copy of one, that is sent to the upstream now.
void
RecordOpening(ColdStarts& aColdStarts,
              const Directory::MergedUpstream& aUpstream,
              Base::TimePoint aNow);

} // namespace Steering
