#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/random.h"
#include "base/runtimeclock.h"
#include "membership/view.h"

#include "config.pb.h"
#include "distribution.pb.h"
#include "feed.pb.h"

#include <deque>
#include <utility>
#include <vector>

namespace Distribution {

/// Intervals and limits of the configuration distribution.
struct FollowerSettings
{
  /// Instances per availability zone that pull from the control instances. Two, so that one may
  /// fail.
  uint32_t mRelays = 2;
  /// Number of peers to which an instance pushes a revision that it has applied.
  uint32_t mPushFanout = 3;
  std::chrono::milliseconds mControlPullInterval{ 500 };
  std::chrono::milliseconds mPeerPullInterval{ 1000 };
  /// An instance that is not a relay pulls from the control instances itself if it has received no
  /// update for this time, for example because all relays of its availability zone failed.
  std::chrono::milliseconds mControlPullFallbackDelay{ 3000 };
  /// Larger replies are not sent to peers, which pull from a control instance instead.
  size_t mMaxPeerReplyBytes = 32768;
};

/// Configuration state of one entry instance. Bounded by one state and kMaxRecentRevisions
/// revisions. After a restart it is read from disk or pulled again.
struct Follower
{
  lw::config::State mState;
  /// The newest revisions, for pulls of peers.
  std::deque<lw::config::Revision> mRecent;
  Base::TimePoint mNextControlPull;
  Base::TimePoint mNextPeerPull;
  /// Time of the last reply of a control instance or of the last update from a peer.
  Base::TimePoint mLastUpdate;
};

/// Limit of the revisions that an instance keeps for its peers.
constexpr size_t kMaxRecentRevisions = 256;

/// Actions for the caller.
struct Effects
{
  std::vector<std::pair<Base::Endpoint, lw::distribution::Message>> mToPeers;
  /// Send the request of MakeControlPull() to a control instance.
  bool mPullFromControl = false;
  /// The state has changed. Publish it and write it to disk.
  bool mStateChanged = false;
  /// Error of the first revision that could not be applied, or OK.
  absl::Status mRefused;
};

/// \return true if this instance pulls from the control instances on behalf of its availability
/// zone. Relays are the instances with the lowest ids of each zone, so that the load on the control
/// instances grows with the number of zones instead of the number of instances.
bool
IsRelay(const FollowerSettings& aSettings, const Membership::View& aView);

/// Sends due pulls. Call this every 50 ms.
Effects
Tick(Follower& aFollower,
     const FollowerSettings& aSettings,
     const Membership::View& aView,
     Base::RandomSource& aRandom,
     Base::TimePoint aNow);

/// \return the request to a control instance. A relay also reports the versions in force in its
/// availability zone.
lw::feed::PullRequest
MakeControlPull(const Follower& aFollower,
                const FollowerSettings& aSettings,
                const Membership::View& aView);

/// Processes the reply of a control instance.
Effects
OnControlReply(Follower& aFollower,
               const FollowerSettings& aSettings,
               const Membership::View& aView,
               const lw::feed::PullReply& aReply,
               Base::RandomSource& aRandom,
               Base::TimePoint aNow);

/// Processes the message of a peer.
Effects
OnPeerMessage(Follower& aFollower,
              const FollowerSettings& aSettings,
              const Membership::View& aView,
              const Base::Endpoint& aFrom,
              const lw::distribution::Message& aMessage,
              Base::RandomSource& aRandom,
              Base::TimePoint aNow);

} // namespace Distribution
