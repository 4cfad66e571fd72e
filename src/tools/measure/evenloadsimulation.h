#pragma once

#include "base/runtimeclock.h"

#include <chrono>
#include <cstdint>

namespace Measure {

/// Slots of every upstream.
constexpr uint32_t kEvenLoadSlots = 2;
constexpr double kEvenLoadMeanServiceSeconds = 0.030;

/// How the entry instances of an availability zone choose among its upstreams.
enum class EvenMethod
{
  /// One chooser that knows the load of all upstreams exactly.
  CompleteKnowledge,
  Random,
  RoundRobin,
  /// The best of three samples, by own flows plus those that peers reported:
  /// Steering::ChooseUpstream of an instance that does not know its position in the zone.
  Sampled,
  /// The best of all upstreams, by own flows plus those that peers reported.
  BestReported,
  /// The best of three samples, with reported flows regressing to their mean as reports age, which
  /// accounts for the flows that ended and for those that peers have placed since.
  Discounted,
  /// An own subset of the upstreams first, one or three shares wide, then the discounted choice.
  NarrowSubset,
  WideSubset,
  /// Steering::ChooseUpstream, with a subset two shares wide.
  Product
};

/// One run. The upstreams are equal.
struct EvenLoadCase
{
  EvenMethod mMethod = EvenMethod::Product;
  double mLoad = 0.7;
  uint32_t mInstances = 42;
  uint32_t mUpstreams = 40;
  /// Time between two reports of an instance, or 0 for that of the product. It bounds their age.
  Base::Duration mReportInterval{};
  Base::Duration mDuration = std::chrono::seconds(20);
  /// Share of the requests that arrive in bursts in which all instances choose within 1 ms.
  double mBurstShare = 0;
  uint64_t mSeed = 1;
};

struct EvenLoadFigures
{
  /// Largest number of requests in progress at an upstream over their mean, averaged over time.
  double mMaxOverMean = 0;
  /// 99th percentile of the requests in progress over upstreams and time, divided by their mean.
  double mP99OverMean = 0;
  /// Share of time in which a flow waits at one upstream while another is idle.
  double mWaitWhileIdle = 0;
  /// Share of time in which a flow waits at one upstream while another has been idle for longer
  /// than the age of the reports.
  double mWaitWhileLongIdle = 0;
  /// Share of time in which a flow has been waiting at one upstream, and another one has been idle
  /// all that time, for longer than the age of the reports.
  double mLongWaitWhileIdle = 0;
  /// Requests of the busiest upstream over the mean of all.
  double mBusiest = 0;
  double mMeanMs = 0;
  double mP99Ms = 0;
};

/// Simulates one availability zone and one service: upstreams of 2 slots, requests of 30 ms in the
/// mean, an oscillating demand, and reports that every instance sends to all others in turn.
EvenLoadFigures
RunEvenLoad(const EvenLoadCase& aCase);

} // namespace Measure
