#include "measure/evenloadmeasure.h"

#include "measure/evenloadsimulation.h"

#include <chrono>
#include <string>
#include <utility>

namespace Measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
                                    { "narrow subset", EvenMethod::NarrowSubset },
                                    { "wide subset", EvenMethod::WideSubset },
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
