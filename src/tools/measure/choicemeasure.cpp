#include "measure/choicemeasure.h"

#include "measure/choicecost.h"
#include "measure/evenloadmeasure.h"
#include "steering/choice.h"
#include "steering/loadreports.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Measure {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kZones = 3;
constexpr size_t kEntriesPerZone[kZones] = { 9, 4, 7 };
constexpr size_t kUpstreamsPerZone[kZones] = { 5, 5, 4 };
constexpr size_t kSlots = 3;
constexpr size_t kQueueCapacity = 12;
constexpr milliseconds kLatencyObjective{ 200 };
/// Time after which a flow for which there was no room is placed again.
constexpr milliseconds kHoldTime{ 10 };
const std::string kService = "desk";
constexpr seconds kRunDuration{ 60 };
constexpr microseconds kDelayWithinZone{ 200 };
constexpr microseconds kDelayBetweenZones{ 1400 };
constexpr double kMeanServiceTimeMs = 43;
/// Standard deviation of the logarithm of the service time.
constexpr double kServiceTimeSigma = 0.5;
/// IP and UDP headers.
constexpr size_t kHeaderBytes = 28;
/// Addresses and ports of a flow plus the route tag.
constexpr size_t kDispatchBytes = 20;

struct Upstream
{
  Directory::RouteTag mTag;
  size_t mZone = 0;
  size_t mBusy = 0;
  std::deque<size_t> mQueue;
};

struct Entry
{
  size_t mZone = 0;
  Steering::LoadTable mLoads;
  Steering::PeerReports mReports;
  uint64_t mReportSequence = 0;
};

struct Flow
{
  size_t mEntry = 0;
  size_t mUpstream = 0;
  Base::TimePoint mArrival;
  Base::Duration mServiceTime{};
};

/// Discrete-event simulation of one run.
class Simulation
{
public:
  Simulation(uint64_t aSeed, LoadTracking aTracking, double aLoad)
    : mRandom{ aSeed }
    , mTracking(aTracking)
    , mMeanInterarrivalSeconds(kMeanServiceTimeMs / 1000 / (aLoad * kSlots * UpstreamCount()))
  {
    AddUpstreams();
    for (size_t zone = 0; zone < kZones; ++zone) {
      mDispatchers.emplace_back();
      mDispatchers.back().mZone = zone;
      for (size_t i = 0; i < kEntriesPerZone[zone]; ++i) {
        mEntries.emplace_back();
        mEntries.back().mZone = zone;
      }
    }
  }

  ChoiceFigures Run()
  {
    Schedule(mNow, [this] { HandleArrival(); });
    if (mTracking == LoadTracking::Reports) {
      for (size_t i = 0; i < mEntries.size(); ++i) {
        Schedule(mNow + ReportIntervalOf(mEntries[i]) * i / mEntries.size(),
                 [this, i] { SendReport(i); });
      }
    }
    const Base::TimePoint end = mNow + kRunDuration;
    while (!mEvents.empty() && mEvents.begin()->first < end) {
      const auto event = mEvents.begin();
      mNow = event->first;
      const std::function<void()> run = std::move(event->second);
      mEvents.erase(event);
      run();
    }
    return Figures();
  }

private:
  static size_t UpstreamCount()
  {
    size_t count = 0;
    for (const size_t upstreams : kUpstreamsPerZone) {
      count += upstreams;
    }
    return count;
  }

  static std::string ZoneName(size_t aZone)
  {
    return std::string(1, static_cast<char>('a' + aZone));
  }

  void AddUpstreams()
  {
    lw::fleet::PollReply reply;
    for (size_t zone = 0; zone < kZones; ++zone) {
      for (size_t i = 0; i < kUpstreamsPerZone[zone]; ++i) {
        const uint64_t id = mUpstreams.size() + 1;
        lw::fleet::Upstream* message = reply.add_upstreams();
        message->set_id(id);
        message->set_address(static_cast<uint32_t>(id));
        message->set_port(1);
        message->set_service(kService);
        message->set_availability_zone(ZoneName(zone));
        message->set_slots(kSlots);
        message->set_state(lw::fleet::READY);
        mUpstreams.push_back({ Directory::TagOf(Directory::UpstreamId(id), 0), zone, 0, {} });
        mIndexOf[mUpstreams.back().mTag.mValue] = id - 1;
      }
    }
    Directory::Merge(mDirectory, Base::InstanceId(1), reply, mNow);
  }

  void Schedule(Base::TimePoint aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  Base::Duration ToDuration(double aSeconds) const
  {
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(aSeconds));
  }

  /// Approximates a standard normal variate by a sum of uniform ones (Irwin-Hall).
  double NextNormal()
  {
    constexpr int kUniforms = 12;
    double sum = 0;
    for (int i = 0; i < kUniforms; ++i) {
      sum += Base::NextUnit(mRandom);
    }
    return sum - kUniforms / 2.0;
  }

  void HandleArrival()
  {
    Schedule(mNow + ToDuration(-std::log(1 - Base::NextUnit(mRandom)) * mMeanInterarrivalSeconds),
             [this] { HandleArrival(); });
    Flow flow;
    flow.mEntry = Base::NextBelow(mRandom, mEntries.size());
    flow.mArrival = mNow;
    const double shift = kServiceTimeSigma * kServiceTimeSigma / 2;
    flow.mServiceTime =
      ToDuration(kMeanServiceTimeMs / 1000 * std::exp(kServiceTimeSigma * NextNormal() - shift));
    mFlows.push_back(flow);
    PlaceFlow(mFlows.size() - 1);
  }

  /// \return the load table used to place the flow: that of its entry instance or of the
  /// dispatcher of the entry's availability zone.
  Entry& LoadViewOf(const Flow& aFlow)
  {
    Entry& entry = mEntries[aFlow.mEntry];
    return mTracking == LoadTracking::Dispatcher ? mDispatchers[entry.mZone] : entry;
  }

  void PlaceFlow(size_t aFlow)
  {
    Flow& flow = mFlows[aFlow];
    Entry& view = LoadViewOf(flow);
    const std::string zone = ZoneName(view.mZone);
    const Steering::ChoiceInput input{
      mDirectory, view.mLoads, {},    kService, zone, {}, kRunDuration * 2,
      mNow,       1,           false, nullptr,  {},   1
    };
    const auto start = std::chrono::steady_clock::now();
    const Steering::Choice choice = Steering::ChooseUpstream(input, mChoiceRandom);
    mProcessorTime += std::chrono::steady_clock::now() - start;
    if (choice.mUpstream == nullptr) {
      Schedule(mNow + kHoldTime, [this, aFlow] { PlaceFlow(aFlow); });
      return;
    }
    flow.mUpstream = mIndexOf.at(choice.mUpstream->mTag.mValue);
    ++view.mLoads.mByTag[choice.mUpstream->mTag].mOwnFlows;
    Base::Duration delay = NetworkDelay(view.mZone, mUpstreams[flow.mUpstream].mZone);
    if (mTracking == LoadTracking::Dispatcher) {
      // The entry instance forwards the opening packet and reports the end of the flow.
      delay += kDelayWithinZone;
      mMessages += 2;
      mBytes += 2 * (kHeaderBytes + kDispatchBytes);
    }
    Schedule(mNow + delay, [this, aFlow] { ArriveAtUpstream(aFlow); });
  }

  static Base::Duration NetworkDelay(size_t aFrom, size_t aTo)
  {
    return aFrom == aTo ? kDelayWithinZone : kDelayBetweenZones;
  }

  void ArriveAtUpstream(size_t aFlow)
  {
    Upstream& upstream = mUpstreams[mFlows[aFlow].mUpstream];
    if (upstream.mBusy < kSlots) {
      StartService(aFlow);
    } else if (upstream.mQueue.size() < kQueueCapacity) {
      upstream.mQueue.push_back(aFlow);
    } else {
      ++mShed;
      EndFlow(aFlow);
    }
  }

  void StartService(size_t aFlow)
  {
    ++mUpstreams[mFlows[aFlow].mUpstream].mBusy;
    Schedule(mNow + mFlows[aFlow].mServiceTime, [this, aFlow] { FinishService(aFlow); });
  }

  void FinishService(size_t aFlow)
  {
    Upstream& upstream = mUpstreams[mFlows[aFlow].mUpstream];
    mLatencies.push_back(mNow - mFlows[aFlow].mArrival);
    --upstream.mBusy;
    if (!upstream.mQueue.empty()) {
      const size_t next = upstream.mQueue.front();
      upstream.mQueue.pop_front();
      StartService(next);
    }
    EndFlow(aFlow);
  }

  void EndFlow(size_t aFlow)
  {
    const Base::Duration delay =
      mTracking == LoadTracking::Dispatcher ? 2 * kDelayWithinZone : kDelayWithinZone;
    Schedule(mNow + delay, [this, aFlow] {
      const Flow& flow = mFlows[aFlow];
      --LoadViewOf(flow).mLoads.mByTag[mUpstreams[flow.mUpstream].mTag].mOwnFlows;
    });
  }

  static Base::Duration ReportIntervalOf(const Entry& aEntry)
  {
    return Steering::ReportInterval(kEntriesPerZone[aEntry.mZone]);
  }

  void SendReport(size_t aEntry)
  {
    Entry& entry = mEntries[aEntry];
    Schedule(mNow + ReportIntervalOf(entry), [this, aEntry] { SendReport(aEntry); });
    const auto start = std::chrono::steady_clock::now();
    lw::fleet::LoadReport report = Steering::MakeReport(entry.mLoads, mNow);
    report.set_instance(static_cast<uint32_t>(aEntry + 1));
    report.set_sequence(++entry.mReportSequence);
    mProcessorTime += std::chrono::steady_clock::now() - start;
    for (size_t i = 0; i < mEntries.size(); ++i) {
      if (i == aEntry || mEntries[i].mZone != entry.mZone) {
        continue;
      }
      ++mMessages;
      mBytes += static_cast<double>(report.ByteSizeLong() + kHeaderBytes);
      Schedule(mNow + kDelayWithinZone, [this, i, report] {
        const auto applyStart = std::chrono::steady_clock::now();
        Steering::ApplyLoadReport(mEntries[i].mReports, mEntries[i].mLoads, report, mNow);
        mProcessorTime += std::chrono::steady_clock::now() - applyStart;
      });
    }
  }

  ChoiceFigures Figures()
  {
    ChoiceFigures figures;
    std::sort(mLatencies.begin(), mLatencies.end());
    double sum = 0;
    size_t withinObjective = 0;
    for (const Base::Duration latency : mLatencies) {
      sum += std::chrono::duration<double, std::milli>(latency).count();
      withinObjective += latency <= kLatencyObjective ? 1 : 0;
    }
    const auto ended = static_cast<double>(mLatencies.size() + mShed);
    figures.mMeanMs = sum / static_cast<double>(mLatencies.size());
    const size_t rank = mLatencies.size() * 99 / 100;
    figures.mP99Ms = std::chrono::duration<double, std::milli>(mLatencies[rank]).count();
    figures.mWithinObjective = static_cast<double>(withinObjective) / ended;
    figures.mShed = static_cast<double>(mShed) / ended;
    figures.mMessages = mMessages / ended;
    figures.mBytes = mBytes / ended;
    figures.mProcessorMicroseconds =
      std::chrono::duration<double, std::micro>(mProcessorTime).count() / ended;
    return figures;
  }

  Base::RandomSource mRandom;
  /// Separate from mRandom so that every tracking method sees the same flows.
  Base::RandomSource mChoiceRandom{ 1 };
  const LoadTracking mTracking;
  const double mMeanInterarrivalSeconds;
  Base::TimePoint mNow{ seconds(1000) };
  std::multimap<Base::TimePoint, std::function<void()>> mEvents;
  Directory::MergedDirectory mDirectory;
  std::vector<Upstream> mUpstreams;
  std::map<uint32_t, size_t> mIndexOf;
  std::vector<Entry> mEntries;
  std::vector<Entry> mDispatchers;
  std::vector<Flow> mFlows;
  std::vector<Base::Duration> mLatencies;
  size_t mShed = 0;
  double mMessages = 0;
  double mBytes = 0;
  std::chrono::steady_clock::duration mProcessorTime{};
};

} // namespace

ChoiceFigures
RunChoice(uint64_t aSeed, LoadTracking aTracking, double aLoad)
{
  return Simulation(aSeed, aTracking, aLoad).Run();
}

Report
MeasureChoice(uint64_t aSeed)
{
  const struct
  {
    const char* mName;
    LoadTracking mTracking;
  } methods[] = { { "local counts", LoadTracking::LocalCounts },
                  { "reports", LoadTracking::Reports },
                  { "dispatcher", LoadTracking::Dispatcher } };
  Report report;
  report.mSubcommand = "choice";
  report.mSeed = aSeed;
  for (const double load : { 0.4, 0.7, 0.85, 0.95 }) {
    Section section;
    section.mTitle = "load " + std::to_string(load).substr(0, 4);
    for (const auto& method : methods) {
      const ChoiceFigures figures = RunChoice(aSeed, method.mTracking, load);
      section.mRows.push_back({ method.mName,
                                { { "mean", figures.mMeanMs, "ms" },
                                  { "p99", figures.mP99Ms, "ms" },
                                  { "in objective", figures.mWithinObjective, "" },
                                  { "shed", figures.mShed, "" },
                                  { "messages", figures.mMessages, "/flow" },
                                  { "bytes", figures.mBytes, "B/flow" },
                                  { "processor", figures.mProcessorMicroseconds, "us/flow" } } });
    }
    report.mSections.push_back(std::move(section));
  }
  MeasureChoiceCost(aSeed, report);
  MeasureEvenLoad(aSeed, report);
  return report;
}

} // namespace Measure
