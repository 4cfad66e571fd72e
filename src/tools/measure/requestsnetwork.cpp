#include "measure/requestsnetwork.h"

#include <utility>

namespace RequestFakes {

using std::chrono::microseconds;
using std::chrono::milliseconds;

void
ScheduleAfter(Network& aNetwork, Base::Duration aDelay, std::function<void()> aAction)
{
  aNetwork.mEntries.push({ aNetwork.mNow + aDelay, aNetwork.mNextOrder++, std::move(aAction) });
}

void
Transmit(Network& aNetwork, const Options& aOptions, const std::function<void()>& aDeliver)
{
  const int copies = DrawChance(aNetwork, aOptions.mDuplicatePermille) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (DrawChance(aNetwork, aOptions.mLossPermille)) {
      continue;
    }
    Base::Duration delay = DrawDuration(aNetwork, microseconds(200), milliseconds(3));
    if (DrawChance(aNetwork, aOptions.mLatePermille)) {
      delay += DrawDuration(aNetwork, milliseconds(10), milliseconds(2000));
    }
    ScheduleAfter(aNetwork, delay, aDeliver);
  }
}

Options
UpstreamLink(const Options& aOptions)
{
  Options link = aOptions;
  if (!aOptions.mHasUpstreamLoss) {
    link.mLossPermille = 0;
    link.mLatePermille = 0;
  }
  return link;
}

bool
DrawChance(Network& aNetwork, uint32_t aPermille)
{
  constexpr uint64_t kPermille = 1000;
  return Base::NextBelow(aNetwork.mRandom, kPermille) < aPermille;
}

Base::Duration
DrawDuration(Network& aNetwork, Base::Duration aLow, Base::Duration aHigh)
{
  const auto span = static_cast<uint64_t>((aHigh - aLow).count());
  return aLow + Base::Duration(Base::NextBelow(aNetwork.mRandom, span));
}

void
RunUntil(Network& aNetwork, Base::TimePoint aEnd)
{
  while (!aNetwork.mEntries.empty() && aNetwork.mEntries.top().mTime <= aEnd) {
    const Network::Entry entry = aNetwork.mEntries.top();
    aNetwork.mEntries.pop();
    aNetwork.mNow = entry.mTime;
    entry.mAction();
  }
  aNetwork.mNow = aEnd;
}

} // namespace RequestFakes
