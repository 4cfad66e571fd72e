#include "measure/evenloadchooser.h"

#include <optional>
#include <string>

namespace Measure {

namespace {

constexpr int kSamples = 3;
const std::string kService = "desk";
const std::string kZone = "a";

} // namespace

EvenLoadChooser::EvenLoadChooser(const EvenLoadCase& aCase,
                                 Base::Duration aReportInterval,
                                 Base::TimePoint aNow)
  : mCase(aCase)
  , mOwn(aCase.mInstances, std::vector<uint32_t>(aCase.mUpstreams))
  , mReported(mOwn)
  , mReportedSum(aCase.mUpstreams)
  , mAssigned(aCase.mUpstreams)
  , mNextTurn(aCase.mInstances)
  , mLoads(aCase.mInstances)
{
  for (uint32_t i = 0; i < aCase.mInstances; ++i) {
    mNextTurn[i] = RandomUpstream();
  }
  const std::chrono::duration<double> serviceTime(kEvenLoadMeanServiceSeconds);
  mReportWeight = Steering::ReportWeight(aReportInterval,
                                         std::chrono::duration_cast<Base::Duration>(serviceTime));
  AddUpstreams(aNow);
}

void
EvenLoadChooser::AddUpstreams(Base::TimePoint aNow)
{
  lw::fleet::PollReply reply;
  for (uint32_t id = 1; id <= mCase.mUpstreams; ++id) {
    lw::fleet::Upstream* message = reply.add_upstreams();
    message->set_id(id);
    message->set_address(id);
    message->set_port(1);
    message->set_service(kService);
    message->set_availability_zone(kZone);
    message->set_slots(kEvenLoadSlots);
    message->set_state(lw::fleet::READY);
    mTags.push_back(Directory::TagOf(Directory::UpstreamId(id), 0));
  }
  Directory::Merge(mDirectory, Base::InstanceId(1), reply, aNow);
}

uint32_t
EvenLoadChooser::ReportedByPeers(uint32_t aInstance, uint32_t aUpstream) const
{
  return mReportedSum[aUpstream] - mReported[aInstance][aUpstream];
}

double
EvenLoadChooser::Cost(uint32_t aInstance, uint32_t aUpstream, double aWeight) const
{
  return mOwn[aInstance][aUpstream] + aWeight * ReportedByPeers(aInstance, aUpstream);
}

uint32_t
EvenLoadChooser::RandomUpstream()
{
  return static_cast<uint32_t>(Base::NextBelow(mRandom, mCase.mUpstreams));
}

uint32_t
EvenLoadChooser::BestOfSamples(uint32_t aInstance, double aWeight)
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
uint32_t
EvenLoadChooser::BestOfAll(CostFunction aCost)
{
  uint32_t best = RandomUpstream();
  for (uint32_t i = 1, next = best; i < mCase.mUpstreams; ++i) {
    next = (next + 1) % mCase.mUpstreams;
    best = aCost(next) < aCost(best) ? next : best;
  }
  return best;
}

uint32_t
EvenLoadChooser::ChooseFromSubset(uint32_t aInstance, double aShares, Base::TimePoint aNow)
{
  std::vector<Steering::SubsetCandidate> candidates(mCase.mUpstreams);
  for (uint32_t i = 0; i < mCase.mUpstreams; ++i) {
    candidates[i].mSlots = kEvenLoadSlots;
    candidates[i].mOwnFlows = mOwn[aInstance][i];
    candidates[i].mCost = Cost(aInstance, i, mReportWeight);
    candidates[i].mLastChosenAt = LoadAt(aInstance, i).mLastChosenAt;
  }
  const std::optional<size_t> chosen =
    Steering::ChooseFromSubset(candidates, { aInstance, mCase.mInstances }, aNow, mRandom, aShares);
  return chosen.has_value() ? static_cast<uint32_t>(*chosen)
                            : BestOfSamples(aInstance, mReportWeight);
}

Steering::Load&
EvenLoadChooser::LoadAt(uint32_t aInstance, uint32_t aUpstream)
{
  return mLoads[aInstance].mByTag[mTags[aUpstream]];
}

uint32_t
EvenLoadChooser::ChooseByProduct(uint32_t aInstance,
                                 const Steering::ZonePosition& aPosition,
                                 Base::TimePoint aNow)
{
  for (uint32_t i = 0; i < mCase.mUpstreams; ++i) {
    Steering::Load& load = LoadAt(aInstance, i);
    load.mOwnFlows = mOwn[aInstance][i];
    load.mPeerFlows = ReportedByPeers(aInstance, i);
  }
  const double weight = aPosition.mInstances > 1 ? mReportWeight : 1;
  const Steering::ChoiceInput input{
    mDirectory, mLoads[aInstance], {},    kService, kZone,     {},    mCase.mDuration * 2,
    aNow,       mCase.mInstances,  false, nullptr,  aPosition, weight
  };
  const Steering::Choice choice = Steering::ChooseUpstream(input, mRandom);
  return choice.mUpstream == nullptr ? mCase.mUpstreams
                                     : choice.mUpstream->mUpstream.mAddress.mAddress - 1;
}

uint32_t
EvenLoadChooser::Choose(uint32_t aInstance, Base::TimePoint aNow)
{
  switch (mCase.mMethod) {
    case EvenMethod::CompleteKnowledge:
      return BestOfAll([this](uint32_t aUpstream) { return mAssigned[aUpstream]; });
    case EvenMethod::Random:
      return RandomUpstream();
    case EvenMethod::RoundRobin:
      return mNextTurn[aInstance]++ % mCase.mUpstreams;
    case EvenMethod::Sampled:
      return ChooseByProduct(aInstance, {}, aNow);
    case EvenMethod::BestReported:
      return BestOfAll(
        [this, aInstance](uint32_t aUpstream) { return Cost(aInstance, aUpstream, 1); });
    case EvenMethod::Discounted:
      return BestOfSamples(aInstance, mReportWeight);
    case EvenMethod::NarrowSubset:
      return ChooseFromSubset(aInstance, 1, aNow);
    case EvenMethod::WideSubset:
      return ChooseFromSubset(aInstance, 3, aNow);
    case EvenMethod::Product:
      break;
  }
  return ChooseByProduct(aInstance, { aInstance, mCase.mInstances }, aNow);
}

void
EvenLoadChooser::AddFlow(uint32_t aInstance, uint32_t aUpstream, Base::TimePoint aNow)
{
  ++mOwn[aInstance][aUpstream];
  ++mAssigned[aUpstream];
  LoadAt(aInstance, aUpstream).mLastChosenAt = aNow;
}

void
EvenLoadChooser::FinishFlow(uint32_t aUpstream)
{
  --mAssigned[aUpstream];
}

void
EvenLoadChooser::ReleaseFlow(uint32_t aInstance, uint32_t aUpstream)
{
  --mOwn[aInstance][aUpstream];
}

void
EvenLoadChooser::SendReport(uint32_t aInstance)
{
  for (uint32_t i = 0; i < mCase.mUpstreams; ++i) {
    mReportedSum[i] += mOwn[aInstance][i] - mReported[aInstance][i];
  }
  mReported[aInstance] = mOwn[aInstance];
}

} // namespace Measure
