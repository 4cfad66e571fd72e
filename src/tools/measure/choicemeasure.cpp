#include "measure/choicemeasure.h"

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
constexpr size_t kEntriesByZone[kZones] = { 9, 4, 7 };
constexpr size_t kUpstreamsByZone[kZones] = { 5, 5, 4 };
constexpr size_t kSlots = 3;
constexpr size_t kQueue = 12;
constexpr milliseconds kObjective{ 200 };
constexpr seconds kRun{ 60 };
constexpr microseconds kInZone{ 200 };
constexpr microseconds kAcross{ 1400 };
constexpr double kMeanWorkMs = 43;
/// Of the logarithm of the work.
constexpr double kWorkSpread = 0.5;
/// IP and UDP headers.
constexpr size_t kHeaderBytes = 28;
/// A flow's addresses and ports, and the tag.
constexpr size_t kDispatchBytes = 20;

struct Upstream
{
  Directory::RouteTag mTag;
  size_t mZone = 0;
  size_t mBusy = 0;
  std::deque<size_t> mWaiting;
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
  Base::TimePoint mArrived;
  Base::Duration mWork{};
};

/// One run. Events are functions at a time.
class Simulation
{
public:
  Simulation(uint64_t aSeed, ChoiceWay aWay, double aLoad)
    : mRandom{ aSeed }
    , mWay(aWay)
    , mMeanGap(kMeanWorkMs / 1000 / (aLoad * kSlots * UpstreamCount()))
  {
    AddUpstreams();
    for (size_t zone = 0; zone < kZones; ++zone) {
      mDispatchers.emplace_back();
      mDispatchers.back().mZone = zone;
      for (size_t i = 0; i < kEntriesByZone[zone]; ++i) {
        mEntries.emplace_back();
        mEntries.back().mZone = zone;
      }
    }
  }

  ChoiceFigures Run()
  {
    At(mNow, [this] { Arrive(); });
    if (mWay == ChoiceWay::Reports) {
      for (size_t i = 0; i < mEntries.size(); ++i) {
        At(mNow + IntervalOf(mEntries[i]) * i / mEntries.size(), [this, i] { Report(i); });
      }
    }
    const Base::TimePoint end = mNow + kRun;
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
    for (const size_t inZone : kUpstreamsByZone) {
      count += inZone;
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
      for (size_t i = 0; i < kUpstreamsByZone[zone]; ++i) {
        const uint64_t id = mUpstreams.size() + 1;
        lw::fleet::Upstream* message = reply.add_upstreams();
        message->set_id(id);
        message->set_address(static_cast<uint32_t>(id));
        message->set_port(1);
        message->set_service("desk");
        message->set_availability_zone(ZoneName(zone));
        message->set_slots(kSlots);
        message->set_state(lw::fleet::READY);
        mUpstreams.push_back({ Directory::TagOf(Directory::UpstreamId(id), 0), zone, 0, {} });
        mIndexOf[mUpstreams.back().mTag.mValue] = id - 1;
      }
    }
    Directory::Merge(mDirectory, Base::InstanceId(1), reply, mNow);
  }

  void At(Base::TimePoint aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  Base::Duration Draw(double aSeconds) const
  {
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(aSeconds));
  }

  double Normal()
  {
    constexpr int kUniforms = 12;
    double sum = 0;
    for (int i = 0; i < kUniforms; ++i) {
      sum += Base::NextUnit(mRandom);
    }
    return sum - kUniforms / 2.0;
  }

  void Arrive()
  {
    At(mNow + Draw(-std::log(1 - Base::NextUnit(mRandom)) * mMeanGap), [this] { Arrive(); });
    Flow flow;
    flow.mEntry = Base::NextBelow(mRandom, mEntries.size());
    flow.mArrived = mNow;
    const double shift = kWorkSpread * kWorkSpread / 2;
    flow.mWork = Draw(kMeanWorkMs / 1000 * std::exp(kWorkSpread * Normal() - shift));
    mFlows.push_back(flow);
    Place(mFlows.size() - 1);
  }

  /// \return who decides for the flow's entry instance.
  Entry& DeciderOf(const Flow& aFlow)
  {
    Entry& entry = mEntries[aFlow.mEntry];
    return mWay == ChoiceWay::Dispatcher ? mDispatchers[entry.mZone] : entry;
  }

  void Place(size_t aFlow)
  {
    Flow& flow = mFlows[aFlow];
    Entry& decider = DeciderOf(flow);
    const Steering::ChoiceInput input{ mDirectory, decider.mLoads, "desk", ZoneName(decider.mZone),
                                       {},         kRun * 2,       mNow };
    const auto before = std::chrono::steady_clock::now();
    const Steering::Choice choice = Steering::ChooseUpstream(input, mChoiceRandom);
    mProcessor += std::chrono::steady_clock::now() - before;
    flow.mUpstream = mIndexOf.at(choice.mUpstream->mTag.mValue);
    ++decider.mLoads.mByTag[choice.mUpstream->mTag].mOwnFlows;
    Base::Duration way = Way(decider.mZone, mUpstreams[flow.mUpstream].mZone);
    if (mWay == ChoiceWay::Dispatcher) {
      // The opening packet there, and the end of the flow.
      way += kInZone;
      mMessages += 2;
      mBytes += 2 * (kHeaderBytes + kDispatchBytes);
    }
    At(mNow + way, [this, aFlow] { Reach(aFlow); });
  }

  static Base::Duration Way(size_t aFrom, size_t aTo) { return aFrom == aTo ? kInZone : kAcross; }

  void Reach(size_t aFlow)
  {
    Upstream& upstream = mUpstreams[mFlows[aFlow].mUpstream];
    if (upstream.mBusy < kSlots) {
      Begin(aFlow);
    } else if (upstream.mWaiting.size() < kQueue) {
      upstream.mWaiting.push_back(aFlow);
    } else {
      ++mShed;
      End(aFlow);
    }
  }

  void Begin(size_t aFlow)
  {
    ++mUpstreams[mFlows[aFlow].mUpstream].mBusy;
    At(mNow + mFlows[aFlow].mWork, [this, aFlow] { Finish(aFlow); });
  }

  void Finish(size_t aFlow)
  {
    Upstream& upstream = mUpstreams[mFlows[aFlow].mUpstream];
    mTook.push_back(mNow - mFlows[aFlow].mArrived);
    --upstream.mBusy;
    if (!upstream.mWaiting.empty()) {
      const size_t next = upstream.mWaiting.front();
      upstream.mWaiting.pop_front();
      Begin(next);
    }
    End(aFlow);
  }

  void End(size_t aFlow)
  {
    const Base::Duration way = mWay == ChoiceWay::Dispatcher ? 2 * kInZone : kInZone;
    At(mNow + way, [this, aFlow] {
      const Flow& flow = mFlows[aFlow];
      --DeciderOf(flow).mLoads.mByTag[mUpstreams[flow.mUpstream].mTag].mOwnFlows;
    });
  }

  static Base::Duration IntervalOf(const Entry& aEntry)
  {
    return Steering::ReportInterval(kEntriesByZone[aEntry.mZone]);
  }

  void Report(size_t aEntry)
  {
    Entry& entry = mEntries[aEntry];
    At(mNow + IntervalOf(entry), [this, aEntry] { Report(aEntry); });
    const auto before = std::chrono::steady_clock::now();
    lw::fleet::LoadReport report = Steering::MakeReport(entry.mLoads, mNow);
    report.set_instance(static_cast<uint32_t>(aEntry + 1));
    report.set_sequence(++entry.mReportSequence);
    mProcessor += std::chrono::steady_clock::now() - before;
    for (size_t i = 0; i < mEntries.size(); ++i) {
      if (i == aEntry || mEntries[i].mZone != entry.mZone) {
        continue;
      }
      ++mMessages;
      mBytes += static_cast<double>(report.ByteSizeLong() + kHeaderBytes);
      At(mNow + kInZone, [this, i, report] {
        const auto start = std::chrono::steady_clock::now();
        Steering::ApplyLoadReport(mEntries[i].mReports, mEntries[i].mLoads, report, mNow);
        mProcessor += std::chrono::steady_clock::now() - start;
      });
    }
  }

  ChoiceFigures Figures()
  {
    ChoiceFigures figures;
    std::sort(mTook.begin(), mTook.end());
    double sum = 0;
    size_t inObjective = 0;
    for (const Base::Duration took : mTook) {
      sum += std::chrono::duration<double, std::milli>(took).count();
      inObjective += took <= kObjective ? 1 : 0;
    }
    const auto ended = static_cast<double>(mTook.size() + mShed);
    figures.mMeanMs = sum / static_cast<double>(mTook.size());
    const size_t rank = mTook.size() * 99 / 100;
    figures.mP99Ms = std::chrono::duration<double, std::milli>(mTook[rank]).count();
    figures.mInObjective = static_cast<double>(inObjective) / ended;
    figures.mShed = static_cast<double>(mShed) / ended;
    figures.mMessages = mMessages / ended;
    figures.mBytes = mBytes / ended;
    figures.mMicroseconds = std::chrono::duration<double, std::micro>(mProcessor).count() / ended;
    return figures;
  }

  Base::RandomSource mRandom;
  /// Apart from mRandom, so that the ways get the same flows.
  Base::RandomSource mChoiceRandom{ 1 };
  const ChoiceWay mWay;
  const double mMeanGap;
  Base::TimePoint mNow{ seconds(1000) };
  std::multimap<Base::TimePoint, std::function<void()>> mEvents;
  Directory::MergedDirectory mDirectory;
  std::vector<Upstream> mUpstreams;
  std::map<uint32_t, size_t> mIndexOf;
  std::vector<Entry> mEntries;
  std::vector<Entry> mDispatchers;
  std::vector<Flow> mFlows;
  std::vector<Base::Duration> mTook;
  size_t mShed = 0;
  double mMessages = 0;
  double mBytes = 0;
  std::chrono::steady_clock::duration mProcessor{};
};

} // namespace

ChoiceFigures
RunChoice(uint64_t aSeed, ChoiceWay aWay, double aLoad)
{
  return Simulation(aSeed, aWay, aLoad).Run();
}

Report
MeasureChoice(uint64_t aSeed)
{
  const struct
  {
    const char* mName;
    ChoiceWay mWay;
  } ways[] = { { "local counts", ChoiceWay::LocalCounts },
               { "reports", ChoiceWay::Reports },
               { "dispatcher", ChoiceWay::Dispatcher } };
  Report report;
  report.mSubcommand = "choice";
  report.mSeed = aSeed;
  for (const double load : { 0.4, 0.7, 0.85, 0.95 }) {
    Section section;
    section.mTitle = "load " + std::to_string(load).substr(0, 4);
    for (const auto& way : ways) {
      const ChoiceFigures figures = RunChoice(aSeed, way.mWay, load);
      section.mRows.push_back({ way.mName,
                                { { "mean", figures.mMeanMs, "ms" },
                                  { "p99", figures.mP99Ms, "ms" },
                                  { "in objective", figures.mInObjective, "" },
                                  { "shed", figures.mShed, "" },
                                  { "messages", figures.mMessages, "/flow" },
                                  { "bytes", figures.mBytes, "B/flow" },
                                  { "processor", figures.mMicroseconds, "us/flow" } } });
    }
    report.mSections.push_back(std::move(section));
  }
  return report;
}

} // namespace Measure
