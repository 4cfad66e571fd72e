#pragma once

#include "steering/steering.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

/// How upstreams and callers behave in a run.
struct OutlierBehavior
{
  bool mHasEjection = true;
  /// Upstreams with the fault: the first ones.
  size_t mFaulty = 0;
  /// Share of the requests that a faulty upstream does not answer.
  double mUnanswered = 1;
  std::chrono::milliseconds mFaultFrom{ 3000 };
  std::chrono::milliseconds mFaultUntil{ 9000 };
  /// Share of the answers of all upstreams that no packet of the caller shows.
  double mUnseen = 0.002;
  /// Factor by which all requests take longer while there is a fault.
  int mSlowdown = 1;
  size_t mUpstreams = 40;
};

/// The entry instances of an availability zone of deployment T (docs/design/hard-load.md), with the
/// packet path of the product, and upstreams that complete every handshake but do not answer some
/// requests: they reset the flow, of which the instances see nothing. The queues of the upstreams
/// are not simulated (tst_herd does that).
class OutlierZone
{
public:
  static constexpr size_t kEntries = 42;
  /// Share of the flows whose requests callers cannot repeat.
  static constexpr double kNonIdempotent = 0.3;
  /// Requests of the zone: 260 new flows per second, and every second request is followed by
  /// another one on its flow.
  static constexpr double kRequestsPerSecond = 520;

  OutlierZone(uint64_t aSeed, const OutlierBehavior& aBehavior);

  void RunFor(std::chrono::milliseconds aDuration);
  /// The instance gets no packets and sends no reports from now on.
  void Kill(size_t aEntry);
  /// Replaces the instance by one that has just started.
  void Restart(size_t aEntry);
  /// Stops the instance for the time. Packets and reports to it are lost.
  void Freeze(size_t aEntry, std::chrono::milliseconds aDuration);

  /// \return the instances at which the upstream is ejected or gets only probes.
  size_t InstancesThatEjected(size_t aUpstream) const;
  /// \return the share of the upstream in the requests since the time.
  double ShareSince(size_t aUpstream, std::chrono::milliseconds aSince) const;

  std::vector<Steering::State> mEntries;
  size_t mRequests = 0;
  /// Requests that an upstream did not answer, and those of them that callers cannot repeat.
  size_t mLost = 0;
  size_t mLostNonIdempotent = 0;
  size_t mEjections = 0;
  size_t mMostEjected = 0;
  size_t mUnserved = 0;

private:
  struct Flow
  {
    size_t mEntry = 0;
    bool mIsRepeatable = false;
    Directory::RouteTag mTag;
    uint32_t mSequence = 0;
  };
  struct Served
  {
    std::chrono::milliseconds mAt;
    uint64_t mUpstream;
  };

  void At(std::chrono::milliseconds aDelay, std::function<void()> aEvent);
  void StartEntry(size_t aEntry);
  void OpenFlow();
  void Execute(size_t aFlow, const Steering::Decision& aDecision);
  void SendRequest(size_t aFlow);
  void Answer(size_t aFlow);
  Steering::Decision Send(size_t aFlow, Steering::PacketKind aKind, bool aCarriesData);
  void DriveEntry(size_t aEntry);
  void SendReport(size_t aEntry);
  bool IsRunning(size_t aEntry) const;
  bool InFault() const;
  size_t UpstreamOf(Directory::RouteTag aTag) const;

  const OutlierBehavior mBehavior;
  Base::RandomSource mRandom;
  Steering::Settings mSettings;
  std::vector<Base::TimePoint> mStoppedUntil;
  std::vector<uint64_t> mIncarnations;
  std::vector<uint64_t> mSequences;
  std::vector<Flow> mFlows;
  std::vector<Served> mServed;
  std::map<uint32_t, size_t> mUpstreamByTag;
  std::multimap<Base::TimePoint, std::function<void()>> mEvents;
  const Base::TimePoint mStart{ std::chrono::seconds(1000) };
  Base::TimePoint mNow = mStart;
};
