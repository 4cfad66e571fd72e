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
  /// Instances of each availability zone that ask the control instances. Two, so that one may fail.
  uint32_t mRelays = 2;
  /// Peers that get a new revision at once from each instance that learns of it.
  uint32_t mPushFanout = 3;
  std::chrono::milliseconds mControlPullInterval{ 500 };
  std::chrono::milliseconds mPeerPullInterval{ 1000 };
  /// An instance that is not a relay asks the control instances itself when it has heard of no
  /// version for this long, for example because all relays of its availability zone are gone.
  std::chrono::milliseconds mSilenceBeforeControlPull{ 3000 };
  /// A larger reply is not sent to peers; they ask a control instance instead.
  size_t mMaxPeerReplyBytes = 32768;
};

/// What one entry instance knows of the configuration. Owned by the instance, bounded by one state
/// and kMaxKeptRevisions revisions; after a restart it is read from disk or pulled again.
struct Follower
{
  lw::config::State mState;
  /// The newest revisions, which peers may pull.
  std::deque<lw::config::Revision> mRecent;
  Base::TimePoint mNextControlPull;
  Base::TimePoint mNextPeerPull;
  /// Last time that the control instances or a newer peer were heard of.
  Base::TimePoint mLastHeard;
};

/// Revisions that an instance keeps for its peers.
constexpr size_t kMaxKeptRevisions = 256;

/// What the caller must do after a call.
struct Effects
{
  std::vector<std::pair<Base::Endpoint, lw::distribution::Message>> mToPeers;
  /// Ask a control instance with ControlPull.
  bool mPullFromControl = false;
  /// The state is new: publish it and write it to disk.
  bool mStateChanged = false;
  /// The first revision that could not be applied, if any.
  absl::Status mRefused;
};

/// Two instances of each availability zone, those with the lowest ids, ask the control instances,
/// so that the cost there grows with the availability zones and not with the instances.
bool
IsRelay(const FollowerSettings& aSettings, const Membership::View& aView);

/// Decides what to ask for. Call it every 50 ms.
Effects
Tick(Follower& aFollower,
     const FollowerSettings& aSettings,
     const Membership::View& aView,
     Base::RandomSource& aRandom,
     Base::TimePoint aNow);

/// \return the request to a control instance. A relay also reports the versions of its availability
/// zone.
lw::feed::PullRequest
ControlPull(const Follower& aFollower,
            const FollowerSettings& aSettings,
            const Membership::View& aView);

/// Takes a control instance's reply.
Effects
OnControlReply(Follower& aFollower,
               const FollowerSettings& aSettings,
               const Membership::View& aView,
               const lw::feed::PullReply& aReply,
               Base::RandomSource& aRandom,
               Base::TimePoint aNow);

/// Takes a peer's message.
Effects
OnPeerMessage(Follower& aFollower,
              const FollowerSettings& aSettings,
              const Membership::View& aView,
              const Base::Endpoint& aFrom,
              const lw::distribution::Message& aMessage,
              Base::RandomSource& aRandom,
              Base::TimePoint aNow);

} // namespace Distribution
