#include "measure/evenloadsimulation.h"

#include "measure/evenloadchooser.h"
#include "steering/loadreports.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <tuple>
#include <vector>

namespace Measure {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Standard deviation of the logarithm of the service time.
constexpr double kServiceTimeSigma = 0.5;
constexpr double kDemandPeriodSeconds = 13;
/// Amplitude of the demand relative to its mean. Half would overload a zone at a mean of 0.7.
constexpr double kDemandAmplitude = 0.1;
constexpr milliseconds kBurstInterval{ 400 };
constexpr milliseconds kBurstLength{ 1 };
constexpr milliseconds kSampleInterval{ 10 };
constexpr milliseconds kRetryInterval{ 5 };
constexpr microseconds kNetworkDelay{ 200 };

enum class EventKind
{
  Arrival,
  Burst,
  BurstArrival,
  Place,
  Delivery,
  End,
  Release,
  Report,
  Sample
};

using Event = std::tuple<Base::TimePoint, uint64_t, EventKind, size_t>;

struct Request
{
  Base::TimePoint mSentAt;
  Base::Duration mWork{};
  uint32_t mInstance = 0;
  uint32_t mUpstream = 0;
};

struct Upstream
{
  uint32_t mFlows = 0;
  std::deque<size_t> mWaiting;
  Base::TimePoint mIdleSince;
  Base::TimePoint mWaitingSince;
  uint64_t mRequests = 0;
};

class EvenSimulation
{
public:
  explicit EvenSimulation(const EvenLoadCase& aCase)
    : mCase(aCase)
    , mInterval(aCase.mReportInterval > Base::Duration::zero()
                  ? aCase.mReportInterval
                  : Steering::ReportInterval(aCase.mInstances))
    , mRandom{ aCase.mSeed }
    , mUpstreams(aCase.mUpstreams)
    , mChooser(aCase, mInterval, mNow)
  {
    for (Upstream& upstream : mUpstreams) {
      upstream.mIdleSince = mNow;
    }
  }

  EvenLoadFigures Run()
  {
    const Base::TimePoint end = mNow + mCase.mDuration;
    Schedule(mNow, EventKind::Arrival, 0);
    Schedule(mNow, EventKind::Sample, 0);
    if (mCase.mBurstShare > 0) {
      Schedule(mNow, EventKind::Burst, 0);
    }
    for (uint32_t i = 0; i < mCase.mInstances; ++i) {
      Schedule(mNow + mInterval * i / mCase.mInstances, EventKind::Report, i);
    }
    while (std::get<0>(mEvents.top()) < end) {
      const auto [time, order, kind, index] = mEvents.top();
      mEvents.pop();
      AddUnevenTime(time);
      mNow = time;
      Handle(kind, index);
    }
    return Figures();
  }

private:
  void Schedule(Base::TimePoint aTime, EventKind aKind, size_t aIndex)
  {
    mEvents.emplace(aTime, ++mOrder, aKind, aIndex);
  }

  static Base::Duration ToDuration(double aSeconds)
  {
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(aSeconds));
  }

  void Handle(EventKind aKind, size_t aIndex)
  {
    switch (aKind) {
      case EventKind::Arrival:
        AddRequest();
        ScheduleArrival();
        break;
      case EventKind::Burst:
        StartBurst();
        break;
      case EventKind::BurstArrival:
        AddRequest();
        break;
      case EventKind::Place:
        Place(aIndex);
        break;
      case EventKind::Delivery:
        Deliver(aIndex);
        break;
      case EventKind::End:
        End(aIndex);
        break;
      case EventKind::Release:
        mChooser.ReleaseFlow(mRequests[aIndex].mInstance, mRequests[aIndex].mUpstream);
        break;
      case EventKind::Report:
        Schedule(mNow + mInterval, EventKind::Report, aIndex);
        mChooser.SendReport(static_cast<uint32_t>(aIndex));
        break;
      case EventKind::Sample:
        SampleFlows();
        break;
    }
  }

  double RequestsPerSecond() const
  {
    return mCase.mLoad * kEvenLoadSlots * mCase.mUpstreams / kEvenLoadMeanServiceSeconds;
  }

  void ScheduleArrival()
  {
    constexpr double kPi = 3.14159265358979;
    const double phase = 2 * kPi * std::chrono::duration<double>(mNow.time_since_epoch()).count() /
                         kDemandPeriodSeconds;
    const double rate =
      RequestsPerSecond() * (1 - mCase.mBurstShare) * (1 + kDemandAmplitude * std::sin(phase));
    Schedule(
      mNow + ToDuration(-std::log(1 - Base::NextUnit(mRandom)) / rate), EventKind::Arrival, 0);
  }

  void StartBurst()
  {
    Schedule(mNow + kBurstInterval, EventKind::Burst, 0);
    const auto requests =
      static_cast<size_t>(RequestsPerSecond() * mCase.mBurstShare *
                          std::chrono::duration<double>(kBurstInterval).count());
    for (size_t i = 0; i < requests; ++i) {
      Schedule(mNow + kBurstLength * i / requests, EventKind::BurstArrival, 0);
    }
  }

  void AddRequest()
  {
    // Irwin-Hall approximation of a standard normal variate.
    double normal = -6;
    for (int i = 0; i < 12; ++i) {
      normal += Base::NextUnit(mRandom);
    }
    Request request;
    request.mSentAt = mNow;
    request.mInstance = static_cast<uint32_t>(Base::NextBelow(mRandom, mCase.mInstances));
    request.mWork =
      ToDuration(kEvenLoadMeanServiceSeconds *
                 std::exp(kServiceTimeSigma * normal - kServiceTimeSigma * kServiceTimeSigma / 2));
    mRequests.push_back(request);
    Place(mRequests.size() - 1);
  }

  void Place(size_t aRequest)
  {
    Request& request = mRequests[aRequest];
    const uint32_t chosen = mChooser.Choose(request.mInstance, mNow);
    if (chosen == mCase.mUpstreams) {
      Schedule(mNow + kRetryInterval, EventKind::Place, aRequest);
      return;
    }
    request.mUpstream = chosen;
    mChooser.AddFlow(request.mInstance, chosen, mNow);
    ++mUpstreams[chosen].mRequests;
    Schedule(mNow + kNetworkDelay, EventKind::Delivery, aRequest);
  }

  void Deliver(size_t aRequest)
  {
    Upstream& upstream = mUpstreams[mRequests[aRequest].mUpstream];
    if (upstream.mFlows == 0) {
      mIdle -= 1;
    }
    if (upstream.mFlows < kEvenLoadSlots) {
      Schedule(mNow + mRequests[aRequest].mWork, EventKind::End, aRequest);
    } else {
      if (upstream.mWaiting.empty()) {
        ++mWaitingUpstreams;
        upstream.mWaitingSince = mNow;
      }
      upstream.mWaiting.push_back(aRequest);
    }
    ++upstream.mFlows;
  }

  void End(size_t aRequest)
  {
    const Request& request = mRequests[aRequest];
    Upstream& upstream = mUpstreams[request.mUpstream];
    mLatencies.push_back(mNow - request.mSentAt);
    Schedule(mNow + kNetworkDelay, EventKind::Release, aRequest);
    --upstream.mFlows;
    mChooser.FinishFlow(request.mUpstream);
    if (upstream.mFlows == 0) {
      mIdle += 1;
      upstream.mIdleSince = mNow;
    }
    if (!upstream.mWaiting.empty()) {
      const size_t next = upstream.mWaiting.front();
      upstream.mWaiting.pop_front();
      mWaitingUpstreams -= upstream.mWaiting.empty() ? 1 : 0;
      Schedule(mNow + mRequests[next].mWork, EventKind::End, next);
    }
  }

  void SampleFlows()
  {
    Schedule(mNow + kSampleInterval, EventKind::Sample, 0);
    uint64_t sum = 0;
    uint32_t most = 0;
    for (const Upstream& upstream : mUpstreams) {
      sum += upstream.mFlows;
      most = std::max(most, upstream.mFlows);
      mSamples.push_back(upstream.mFlows);
    }
    if (sum > 0) {
      mMaxOverMeanSum += static_cast<double>(most) * mCase.mUpstreams / sum;
      ++mMaxSamples;
    }
  }

  /// Accounts for the time until the next event, in which nothing changes.
  void AddUnevenTime(Base::TimePoint aUntil)
  {
    if (mWaitingUpstreams == 0 || mIdle == 0) {
      return;
    }
    mUneven += aUntil - mNow;
    Base::TimePoint idleSince = aUntil;
    Base::TimePoint waitingSince = aUntil;
    for (const Upstream& upstream : mUpstreams) {
      if (upstream.mFlows == 0) {
        idleSince = std::min(idleSince, upstream.mIdleSince);
      }
      if (!upstream.mWaiting.empty()) {
        waitingSince = std::min(waitingSince, upstream.mWaitingSince);
      }
    }
    const Base::TimePoint from = std::max(mNow, idleSince + mInterval);
    mLongUneven += std::max(aUntil - from, Base::Duration::zero());
    const Base::TimePoint both = std::max(mNow, std::max(idleSince, waitingSince) + mInterval);
    mLongWait += std::max(aUntil - both, Base::Duration::zero());
  }

  EvenLoadFigures Figures()
  {
    EvenLoadFigures figures;
    const auto share = [this](Base::Duration aTime) {
      return std::chrono::duration<double>(aTime) / std::chrono::duration<double>(mCase.mDuration);
    };
    const double sum = std::accumulate(mSamples.begin(), mSamples.end(), 0.0);
    std::sort(mSamples.begin(), mSamples.end());
    std::sort(mLatencies.begin(), mLatencies.end());
    figures.mMaxOverMean = mMaxOverMeanSum / mMaxSamples;
    figures.mP99OverMean = mSamples[mSamples.size() * 99 / 100] * mSamples.size() / sum;
    figures.mWaitWhileIdle = share(mUneven);
    figures.mWaitWhileLongIdle = share(mLongUneven);
    figures.mLongWaitWhileIdle = share(mLongWait);
    uint64_t requests = 0;
    uint64_t busiest = 0;
    for (const Upstream& upstream : mUpstreams) {
      requests += upstream.mRequests;
      busiest = std::max(busiest, upstream.mRequests);
    }
    figures.mBusiest = static_cast<double>(busiest) * mCase.mUpstreams / requests;
    double total = 0;
    for (const Base::Duration latency : mLatencies) {
      total += std::chrono::duration<double, std::milli>(latency).count();
    }
    figures.mMeanMs = total / mLatencies.size();
    figures.mP99Ms =
      std::chrono::duration<double, std::milli>(mLatencies[mLatencies.size() * 99 / 100]).count();
    return figures;
  }

  const EvenLoadCase mCase;
  const Base::Duration mInterval;
  Base::RandomSource mRandom;
  Base::TimePoint mNow{ seconds(1000) };
  uint64_t mOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::vector<Request> mRequests;
  std::vector<Upstream> mUpstreams;
  EvenLoadChooser mChooser;
  std::vector<uint32_t> mSamples;
  std::vector<Base::Duration> mLatencies;
  size_t mIdle = mCase.mUpstreams;
  size_t mWaitingUpstreams = 0;
  double mMaxOverMeanSum = 0;
  double mMaxSamples = 0;
  Base::Duration mUneven{};
  Base::Duration mLongUneven{};
  Base::Duration mLongWait{};
};

} // namespace

EvenLoadFigures
RunEvenLoad(const EvenLoadCase& aCase)
{
  return EvenSimulation(aCase).Run();
}

} // namespace Measure
