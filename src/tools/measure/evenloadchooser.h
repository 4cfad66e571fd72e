#pragma once

#include "measure/evenloadsimulation.h"
#include "steering/choice.h"
#include "steering/loadreports.h"

#include <vector>

namespace Measure {

/// Chooses upstreams for the entry instances of a simulated availability zone, and keeps the flow
/// counts that the choices use. Instances and upstreams are numbered from 0.
class EvenLoadChooser
{
public:
  /// \param aReportInterval is the time between two reports of an instance.
  EvenLoadChooser(const EvenLoadCase& aCase, Base::Duration aReportInterval, Base::TimePoint aNow);

  /// \return the chosen upstream, or the number of upstreams if the flow is held.
  uint32_t Choose(uint32_t aInstance, Base::TimePoint aNow);
  /// Counts a flow that an instance sends to an upstream.
  void AddFlow(uint32_t aInstance, uint32_t aUpstream, Base::TimePoint aNow);
  /// The upstream has finished a flow, which its instance does not know yet.
  void FinishFlow(uint32_t aUpstream);
  /// The instance learns that its flow has ended.
  void ReleaseFlow(uint32_t aInstance, uint32_t aUpstream);
  /// Tells all other instances the flows of an instance.
  void SendReport(uint32_t aInstance);

private:
  void AddUpstreams(Base::TimePoint aNow);
  uint32_t ReportedByPeers(uint32_t aInstance, uint32_t aUpstream) const;
  double Cost(uint32_t aInstance, uint32_t aUpstream, double aWeight) const;
  uint32_t RandomUpstream();
  uint32_t BestOfSamples(uint32_t aInstance, double aWeight);
  template<typename CostFunction>
  uint32_t BestOfAll(CostFunction aCost);
  uint32_t ChooseFromSubset(uint32_t aInstance, double aShares, Base::TimePoint aNow);
  Steering::Load& LoadAt(uint32_t aInstance, uint32_t aUpstream);
  uint32_t ChooseByProduct(uint32_t aInstance,
                           const Steering::ZonePosition& aPosition,
                           Base::TimePoint aNow);

  const EvenLoadCase mCase;
  double mReportWeight = 0;
  /// Separate from the random source of the requests so that every method sees the same requests.
  Base::RandomSource mRandom{ 1 };
  /// Flows by instance and upstream: current ones and those in the latest report, and their sum.
  std::vector<std::vector<uint32_t>> mOwn;
  std::vector<std::vector<uint32_t>> mReported;
  std::vector<uint32_t> mReportedSum;
  /// Flows at each upstream and on their way, for the chooser with complete knowledge.
  std::vector<uint32_t> mAssigned;
  std::vector<uint32_t> mNextTurn;
  /// Used by the choices that need the product's tables.
  std::vector<Steering::LoadTable> mLoads;
  Directory::MergedDirectory mDirectory;
  std::vector<Directory::RouteTag> mTags;
};

} // namespace Measure
