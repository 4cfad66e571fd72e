#pragma once

#include "steering/steering.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Model of 126 entry instances in 3 availability zones. All upstreams of zone "a" start at once
/// and are cold; the upstreams of the other zones are warm. The instances run the packet path of
/// the product. Reports get lost at random, and callers send some opening packets twice.
class ColdZone
{
public:
  static constexpr int kInstancesPerZone = 42;
  static constexpr int kUpstreamsPerZone = 30;
  static constexpr double kRatePerSecond = 5;

  explicit ColdZone(uint64_t aSeed);

  void RunFor(Base::Duration aDuration);
  /// Adds an instance to zone "a". It knows none of its peers, and its peers learn of it from the
  /// control instances and from its reports.
  void Join();
  void Kill(size_t aInstance);
  /// Cuts the instance off from its peers and the control instances. Callers and upstreams still
  /// reach it.
  void CutOff(size_t aInstance);
  void Heal(size_t aInstance);
  /// Loses all later reports of one instance to the other, until they are unblocked.
  void BlockReports(size_t aSender, size_t aReceiver);
  void UnblockReports();

  /// \return the largest number of opening packets that a cold upstream received in a window of 1
  /// s.
  size_t MostInAnyWindow() const;
  /// \return the opening packets sent to cold upstreams after the time, as a fraction of the rate.
  double UsedFraction(Base::Duration aFrom) const;

private:
  struct Instance
  {
    Steering::State mState;
    Steering::Settings mSettings;
    Base::TimePoint mNextReportAt;
    uint64_t mReportSequence = 0;
    /// When it no longer polled, or the latest time if it still does.
    Base::TimePoint mListedUntil = Base::TimePoint::max();
    bool mAlive = true;
    bool mCutOff = false;
  };
  /// An opening packet that its caller sends again.
  struct Copy
  {
    Base::TimePoint mAt;
    size_t mInstance = 0;
    Steering::Packet mPacket;
  };

  void AddInstance(const std::string& aZone);
  void Step();
  void SendReport(size_t aSender);
  void Poll(Instance& aInstance);
  void OpenFlows(size_t aInstance);
  void SendOpening(size_t aInstance, const Steering::Packet& aPacket, bool aAnswered);
  void RecordForwarded(const Steering::Decision& aDecision);

  std::vector<Instance> mInstances;
  lw::fleet::PollReply mDirectory;
  std::vector<Copy> mCopies;
  std::set<std::pair<size_t, size_t>> mBlocked;
  std::map<uint64_t, std::vector<Base::TimePoint>> mSentByUpstream;
  Base::RandomSource mRandom;
  uint32_t mNextFlow = 0;
  const Base::TimePoint mStart{ std::chrono::seconds(1000) };
  Base::TimePoint mNow = mStart;
};
