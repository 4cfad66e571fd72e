#pragma once

#include "base/ids.h"
#include "base/runtimeclock.h"

#include "fleet.pb.h"

#include <zmq.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Fleet {

struct PollerSettings
{
  /// IPv4 address of this entry instance.
  uint32_t mInstance = 0;
  std::string mAvailabilityZone;
  /// Port of the poll server at every control instance.
  uint16_t mPollPort = 0;
  Base::Duration mInterval = std::chrono::milliseconds(400);
  /// Interval while no configuration is in force, and for a control instance that was found or
  /// regained recently and is not connected to the log yet. After a common restart, each control
  /// instance knows only some of the upstreams, so all of them must reply soon.
  Base::Duration mStartInterval = std::chrono::milliseconds(50);
};

/// Reply of a control instance, or the loss of the instance.
struct PollEvent
{
  Base::InstanceId mControl;
  /// Empty if the control instance is lost.
  std::optional<lw::fleet::PollReply> mReply;
  /// True for the first reply, and for the first reply after a loss.
  bool mRegained = false;
};

/// Polls all control instances in its own thread. Control instances are listed in the settings or
/// reported as members of the log. Their instance ids are IPv4 addresses.
class Poller
{
public:
  /// \param aOnEvent is called on the poller's thread.
  Poller(const PollerSettings& aSettings, std::function<void(PollEvent)> aOnEvent);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  void Start();
  void Stop();

  /// Replaces the control instances listed in the settings.
  void SetSeeds(std::vector<Base::InstanceId> aSeeds);

  /// Sets the configuration version in force at this instance, so that it is not sent again.
  void SetDeclaredVersion(uint64_t aVersion) { mDeclaredVersion = aVersion; }

  /// Sets the revision of the evacuations in force at this instance, so that they are not sent
  /// again.
  void SetEvacuationRevision(uint64_t aRevision) { mEvacuationRevision = aRevision; }

private:
  struct Target
  {
    zmq::socket_t mSocket;
    uint64_t mEpoch = 0;
    uint64_t mRevision = 0;
    Base::TimePoint mLastReply;
    Base::TimePoint mOpenedAt;
    Base::TimePoint mNextPoll;
    /// End of the time in which the instance is expected to connect to the log.
    Base::TimePoint mStartingUntil;
    /// True if the latest reply says that the instance is connected to the log.
    bool mConnected = false;
    /// When the poll was sent that has not been answered yet, if there is one.
    std::optional<Base::TimePoint> mPendingSince;
    /// True if the latest poll could not be sent because there is no connection. It is sent as soon
    /// as there is one.
    bool mUnsent = false;
    uint64_t mDeclaredVersion = 0;
    std::string mAvailabilityZone;
    bool mResponding = false;
    /// True if the settings or the latest list of the log's members contain the instance.
    bool mExpected = true;
  };

  void Run();
  void UpdateTargets(Base::TimePoint aNow);
  void OpenSocket(Base::InstanceId aControl, Target& aTarget, Base::TimePoint aNow);
  void SendDuePolls(Base::TimePoint aNow);
  /// \return the time until the next poll of the target after one that is sent now.
  Base::Duration PollInterval(const Target& aTarget, Base::TimePoint aNow) const;
  /// \return the earliest time at which a poll is due, or aLimit if that is earlier.
  Base::TimePoint NextPoll(Base::TimePoint aLimit) const;
  void SendPoll(Target& aTarget, bool aWantsRoutes, Base::TimePoint aNow);
  /// Requests newer routes from the target if it has them, no other request is pending and no
  /// instance in the local availability zone can provide them instead.
  /// \return true if a poll was sent.
  bool FetchRoutes(Target& aTarget, Base::TimePoint aNow);
  /// \return true if a control instance in the local availability zone has newer routes.
  bool HasLocalSource(Base::TimePoint aNow) const;
  /// Handles replies until a poll is due, at most one interval after aSince.
  void WaitForReplies(Base::TimePoint aSince);
  void ReceiveFrom(Base::InstanceId aControl, Target& aTarget);

  const PollerSettings mSettings;
  const std::function<void(PollEvent)> mOnEvent;
  zmq::context_t mContext;
  std::thread mThread;
  std::atomic<bool> mStopping{ false };
  std::atomic<uint64_t> mDeclaredVersion{ 0 };
  std::atomic<uint64_t> mEvacuationRevision{ 0 };
  std::mutex mMutex;
  std::vector<Base::InstanceId> mSeeds;

  // Used by the poller's thread only.
  std::map<Base::InstanceId, Target> mTargets;
  std::vector<Base::InstanceId> mMembers;
  uint64_t mPeersHash = 0;
  /// Earliest time for the next request for routes.
  Base::TimePoint mNextRouteFetch;
  uint64_t mNextNumber = 0;
};

} // namespace Fleet
