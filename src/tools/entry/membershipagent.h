#pragma once

#include "absl/status/statusor.h"
#include "base/runtimeclock.h"
#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "entrysettings.h"
#include "membership/view.h"
#include "peertransport.h"

#include "announce.pb.h"
#include "membership.pb.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <map>
#include <mutex>

namespace Entry {

/// Keeps the view of the region by heartbeats to all seeds and known members.
class MembershipAgent
{
public:
  MembershipAgent(boost::asio::io_context& aContext,
                  const EntrySettings& aSettings,
                  Base::Incarnation aIncarnation,
                  PeerTransport& aTransport,
                  const Base::Snapshot<Config::ServiceIndex>& aServices);

  void Start();

  /// Tells the peers that this instance leaves.
  void Leave();

  /// Takes an announcement of an upstream.
  /// \return the reply, or the error that the announcer gets.
  absl::StatusOr<lw::announce::AnnounceReply> Announce(
    const lw::announce::AnnounceRequest& aRequest);

  const Base::Snapshot<Membership::View>& View() const { return mView; }

private:
  struct KnownMember
  {
    Membership::Member mMember;
    Base::TimePoint mLastHeard;
  };
  struct KnownUpstream
  {
    lw::announce::AnnounceRequest mAnnouncement;
    Membership::Upstream mUpstream;
    Base::TimePoint mRenewed;
    Base::TimePoint mFirstKnown;
  };
  using Timer = boost::asio::basic_waitable_timer<Base::RuntimeClock>;

  void Tick();
  void HandlePeer(const PeerSender& aSender, absl::string_view aPayload);
  void SendHeartbeats();
  void Expire();
  void Publish();
  absl::Status Record(const lw::membership::UpstreamRecord& aRecord);

  const EntrySettings& mSettings;
  PeerTransport& mTransport;
  const Base::Snapshot<Config::ServiceIndex>& mServices;
  Base::Incarnation mIncarnation;
  Timer mTimer;
  std::mutex mMutex;
  bool mLeaving = false;
  std::map<Base::InstanceId, KnownMember> mMembers;
  std::map<Base::Endpoint, KnownUpstream> mUpstreams;
  Base::Snapshot<Membership::View> mView;
};

} // namespace Entry
