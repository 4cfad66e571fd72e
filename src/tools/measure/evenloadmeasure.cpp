#include "measure/evenloadmeasure.h"

#include "steering/choice.h"
#include "steering/loadreports.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <numeric>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Measure {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSlots = 2;
constexpr double kMeanServiceSeconds = 0.030;
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
constexpr int kSamples = 3;
const std::string kService = "desk";
const std::string kZone = "a";

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
  /// Flows here and on their way, for the chooser with complete knowledge.
  uint32_t mAssigned = 0;
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
    , mOwn(aCase.mInstances, std::vector<uint32_t>(aCase.mUpstreams))
    , mReported(mOwn)
    , mReportedSum(aCase.mUpstreams)
    , mNextTurn(aCase.mInstances)
    , mLoads(aCase.mInstances)
  {
    for (uint32_t i = 0; i < aCase.mInstances; ++i) {
      mNextTurn[i] = static_cast<uint32_t>(Base::NextBelow(mChoiceRandom, aCase.mUpstreams));
    }
    for (Upstream& upstream : mUpstreams) {
      upstream.mIdleSince = mNow;
    }
    mReportWeight = Steering::ReportWeight(mInterval, ToDuration(kMeanServiceSeconds));
    AddUpstreams();
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
  void AddUpstreams()
  {
    lw::fleet::PollReply reply;
    for (uint32_t id = 1; id <= mCase.mUpstreams; ++id) {
      lw::fleet::Upstream* message = reply.add_upstreams();
      message->set_id(id);
      message->set_address(id);
      message->set_port(1);
      message->set_service(kService);
      message->set_availability_zone(kZone);
      message->set_slots(kSlots);
      message->set_state(lw::fleet::READY);
      mTags.push_back(Directory::TagOf(Directory::UpstreamId(id), 0));
    }
    Directory::Merge(mDirectory, Base::InstanceId(1), reply, mNow);
  }

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
        --mOwn[mRequests[aIndex].mInstance][mRequests[aIndex].mUpstream];
        break;
      case EventKind::Report:
        SendReport(static_cast<uint32_t>(aIndex));
        break;
      case EventKind::Sample:
        SampleFlows();
        break;
    }
  }

  double RequestsPerSecond() const
  {
    return mCase.mLoad * kSlots * mCase.mUpstreams / kMeanServiceSeconds;
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
      ToDuration(kMeanServiceSeconds *
                 std::exp(kServiceTimeSigma * normal - kServiceTimeSigma * kServiceTimeSigma / 2));
    mRequests.push_back(request);
    Place(mRequests.size() - 1);
  }

  void Place(size_t aRequest)
  {
    Request& request = mRequests[aRequest];
    const uint32_t chosen = Choose(request.mInstance);
    if (chosen == mCase.mUpstreams) {
      Schedule(mNow + kRetryInterval, EventKind::Place, aRequest);
      return;
    }
    request.mUpstream = chosen;
    ++mOwn[request.mInstance][chosen];
    ++mUpstreams[chosen].mRequests;
    ++mUpstreams[chosen].mAssigned;
    LoadAt(request.mInstance, chosen).mLastChosenAt = mNow;
    Schedule(mNow + kNetworkDelay, EventKind::Delivery, aRequest);
  }

  uint32_t ReportedByPeers(uint32_t aInstance, uint32_t aUpstream) const
  {
    return mReportedSum[aUpstream] - mReported[aInstance][aUpstream];
  }

  double Cost(uint32_t aInstance, uint32_t aUpstream, double aWeight) const
  {
    return mOwn[aInstance][aUpstream] + aWeight * ReportedByPeers(aInstance, aUpstream);
  }

  uint32_t RandomUpstream()
  {
    return static_cast<uint32_t>(Base::NextBelow(mChoiceRandom, mCase.mUpstreams));
  }

  uint32_t BestOfSamples(uint32_t aInstance, double aWeight)
  {
    uint32_t best = RandomUpstream();
    for (int i = 1; i < kSamples; ++i) {
      const uint32_t sampled = RandomUpstream();
      if (Cost(aInstance, sampled, aWeight) < Cost(aInstance, best, aWeight)) {
        best = sampled;
      }
    }
    return best;
  }

  template<typename CostFunction>
  uint32_t BestOfAll(CostFunction aCost)
  {
    uint32_t best = RandomUpstream();
    for (uint32_t i = 1, next = best; i < mCase.mUpstreams; ++i) {
      next = (next + 1) % mCase.mUpstreams;
      best = aCost(next) < aCost(best) ? next : best;
    }
    return best;
  }

  uint32_t ChooseFromPart(uint32_t aInstance, double aShares)
  {
    std::vector<Steering::PartCandidate> candidates(mCase.mUpstreams);
    for (uint32_t i = 0; i < mCase.mUpstreams; ++i) {
      candidates[i].mSlots = kSlots;
      candidates[i].mOwnFlows = mOwn[aInstance][i];
      candidates[i].mCost = Cost(aInstance, i, mReportWeight);
      candidates[i].mLastChosenAt = LoadAt(aInstance, i).mLastChosenAt;
    }
    const std::optional<size_t> chosen = Steering::ChooseFromPart(
      candidates, { aInstance, mCase.mInstances }, mNow, mChoiceRandom, aShares);
    return chosen.has_value() ? static_cast<uint32_t>(*chosen)
                              : BestOfSamples(aInstance, mReportWeight);
  }

  Steering::Load& LoadAt(uint32_t aInstance, uint32_t aUpstream)
  {
    return mLoads[aInstance].mByTag[mTags[aUpstream]];
  }

  /// \return the choice of the product, or the number of upstreams if it holds the flow.
  uint32_t ChooseByProduct(uint32_t aInstance, const Steering::ZonePosition& aPosition)
  {
    for (uint32_t i = 0; i < mCase.mUpstreams; ++i) {
      Steering::Load& load = LoadAt(aInstance, i);
      load.mOwnFlows = mOwn[aInstance][i];
      load.mPeerFlows = ReportedByPeers(aInstance, i);
    }
    const double weight = aPosition.mInstances > 1 ? mReportWeight : 1;
    const Steering::ChoiceInput input{
      mDirectory, mLoads[aInstance], {},    kService, kZone,     {},    mCase.mDuration * 2,
      mNow,       mCase.mInstances,  false, nullptr,  aPosition, weight
    };
    const Steering::Choice choice = Steering::ChooseUpstream(input, mChoiceRandom);
    return choice.mUpstream == nullptr ? mCase.mUpstreams
                                       : choice.mUpstream->mUpstream.mAddress.mAddress - 1;
  }

  uint32_t Choose(uint32_t aInstance)
  {
    switch (mCase.mMethod) {
      case EvenMethod::CompleteKnowledge:
        return BestOfAll([this](uint32_t aUpstream) { return mUpstreams[aUpstream].mAssigned; });
      case EvenMethod::Random:
        return RandomUpstream();
      case EvenMethod::RoundRobin:
        return mNextTurn[aInstance]++ % mCase.mUpstreams;
      case EvenMethod::Sampled:
        return ChooseByProduct(aInstance, {});
      case EvenMethod::BestReported:
        return BestOfAll(
          [this, aInstance](uint32_t aUpstream) { return Cost(aInstance, aUpstream, 1); });
      case EvenMethod::Discounted:
        return BestOfSamples(aInstance, mReportWeight);
      case EvenMethod::NarrowPart:
        return ChooseFromPart(aInstance, 1);
      case EvenMethod::WidePart:
        return ChooseFromPart(aInstance, 3);
      case EvenMethod::Product:
        break;
    }
    return ChooseByProduct(aInstance, { aInstance, mCase.mInstances });
  }

  void Deliver(size_t aRequest)
  {
    Upstream& upstream = mUpstreams[mRequests[aRequest].mUpstream];
    if (upstream.mFlows == 0) {
      mIdle -= 1;
    }
    if (upstream.mFlows < kSlots) {
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
    --upstream.mAssigned;
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

  void SendReport(uint32_t aInstance)
  {
    Schedule(mNow + mInterval, EventKind::Report, aInstance);
    for (uint32_t i = 0; i < mCase.mUpstreams; ++i) {
      mReportedSum[i] += mOwn[aInstance][i] - mReported[aInstance][i];
    }
    mReported[aInstance] = mOwn[aInstance];
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
  double mReportWeight = 0;
  Base::RandomSource mRandom;
  /// Separate from mRandom so that every method sees the same requests.
  Base::RandomSource mChoiceRandom{ 1 };
  Base::TimePoint mNow{ seconds(1000) };
  uint64_t mOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::vector<Request> mRequests;
  std::vector<Upstream> mUpstreams;
  /// Flows by instance and upstream: current ones and those in the latest report, and their sum.
  std::vector<std::vector<uint32_t>> mOwn;
  std::vector<std::vector<uint32_t>> mReported;
  std::vector<uint32_t> mReportedSum;
  std::vector<uint32_t> mNextTurn;
  /// Used by the choices that need the product's tables.
  std::vector<Steering::LoadTable> mLoads;
  Directory::MergedDirectory mDirectory;
  std::vector<Directory::RouteTag> mTags;
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

struct MethodName
{
  const char* mName;
  EvenMethod mMethod;
};

constexpr MethodName kMethods[] = { { "complete knowledge", EvenMethod::CompleteKnowledge },
                                    { "random", EvenMethod::Random },
                                    { "round robin", EvenMethod::RoundRobin },
                                    { "sampled", EvenMethod::Sampled },
                                    { "best reported", EvenMethod::BestReported },
                                    { "discounted", EvenMethod::Discounted },
                                    { "narrow part", EvenMethod::NarrowPart },
                                    { "wide part", EvenMethod::WidePart },
                                    { "product", EvenMethod::Product } };

void
AddSection(const EvenLoadCase& aCase, const std::string& aTitle, Report& aReport)
{
  Section section;
  section.mTitle = aTitle;
  for (const MethodName& method : kMethods) {
    EvenLoadCase run = aCase;
    run.mMethod = method.mMethod;
    const EvenLoadFigures figures = RunEvenLoad(run);
    section.mRows.push_back({ method.mName,
                              { { "max/mean", figures.mMaxOverMean, "" },
                                { "p99/mean", figures.mP99OverMean, "" },
                                { "wait+idle", 1000 * figures.mWaitWhileIdle, "ms/s" },
                                { "wait+long idle", 1000 * figures.mWaitWhileLongIdle, "ms/s" },
                                { "long wait+idle", 1000 * figures.mLongWaitWhileIdle, "ms/s" },
                                { "busiest", figures.mBusiest, "" },
                                { "mean", figures.mMeanMs, "ms" },
                                { "p99", figures.mP99Ms, "ms" } } });
  }
  aReport.mSections.push_back(std::move(section));
}

} // namespace

EvenLoadFigures
RunEvenLoad(const EvenLoadCase& aCase)
{
  return EvenSimulation(aCase).Run();
}

void
MeasureEvenLoad(uint64_t aSeed, Report& aReport)
{
  EvenLoadCase run;
  run.mSeed = aSeed;
  for (const double load : { 0.4, 0.7, 0.9 }) {
    run.mLoad = load;
    AddSection(run, "one zone, load " + std::to_string(load).substr(0, 3), aReport);
  }
  run.mLoad = 0.7;
  run.mDuration = seconds(5);
  for (const uint32_t instances : { 10U, 45U, 150U }) {
    for (const milliseconds age :
         { milliseconds(3), milliseconds(50), milliseconds(200), milliseconds(1000) }) {
      run.mInstances = instances;
      run.mReportInterval = age;
      AddSection(run,
                 "one zone, load 0.7, " + std::to_string(instances) + " instances, age " +
                   std::to_string(age.count()) + " ms",
                 aReport);
    }
  }
}

} // namespace Measure
