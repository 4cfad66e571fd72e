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
  /// While no configuration is in force, so that a restarted instance serves soon.
  Base::Duration mStartInterval = std::chrono::milliseconds(50);
};

/// What a control instance told, or that it fell silent.
struct PollEvent
{
  Base::InstanceId mControl;
  /// Empty if the control instance is lost.
  std::optional<lw::fleet::PollReply> mReply;
  /// It answers for the first time, or again after a loss.
  bool mRegained = false;
};

/// Polls every known control instance in a thread of its own. Instance ids of control instances are
/// IPv4 addresses. Each one is known from the settings or as a member of the log.
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

  /// Replaces the control instances that the settings name.
  void SetSeeds(std::vector<Base::InstanceId> aSeeds);

  /// Tells which declared version is in force here, so that it is not sent again.
  void SetDeclaredVersion(uint64_t aVersion) { mDeclaredVersion = aVersion; }

private:
  struct Target
  {
    zmq::socket_t mSocket;
    uint64_t mEpoch = 0;
    uint64_t mRevision = 0;
    Base::TimePoint mLastReply;
    Base::TimePoint mOpenedAt;
    /// When a poll was sent that is not answered yet.
    std::optional<Base::TimePoint> mAwaitedSince;
    uint64_t mDeclaredVersion = 0;
    std::string mAvailabilityZone;
    bool mAnswers = false;
    /// Named by the settings, or by a member of the log in its newest reply.
    bool mWanted = true;
  };

  void Run();
  void UpdateTargets(Base::TimePoint aNow);
  void OpenSocket(Base::InstanceId aControl, Target& aTarget, Base::TimePoint aNow);
  void SendPolls(Base::TimePoint aNow);
  void SendPoll(Target& aTarget, bool aWantsRoutes, Base::TimePoint aNow);
  /// Asks for newer routes if the target has them and is the one to ask.
  /// \return true if a poll was sent.
  bool FetchRoutes(Target& aTarget, Base::TimePoint aNow);
  bool HasNearSource(Base::TimePoint aNow) const;
  void WaitForReplies(Base::TimePoint aUntil);
  void ReceiveFrom(Base::InstanceId aControl, Target& aTarget);

  const PollerSettings mSettings;
  const std::function<void(PollEvent)> mOnEvent;
  zmq::context_t mContext;
  std::thread mThread;
  std::atomic<bool> mStopping{ false };
  std::atomic<uint64_t> mDeclaredVersion{ 0 };
  std::mutex mMutex;
  std::vector<Base::InstanceId> mSeeds;

  // Used by the poller's thread only.
  std::map<Base::InstanceId, Target> mTargets;
  std::vector<Base::InstanceId> mMembers;
  uint64_t mPeersHash = 0;
  /// No other control instance is asked for routes before that.
  Base::TimePoint mNextFetch;
  uint64_t mNextNumber = 0;
};

} // namespace Fleet
