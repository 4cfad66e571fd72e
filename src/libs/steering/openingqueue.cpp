#include "steering/openingqueue.h"

#include <iterator>
#include <utility>

namespace Steering {

namespace {

using Openings = std::map<OpeningOrder, HeldOpening>;

void
RemoveExpiredFrom(Openings& aOpenings,
                  Base::Duration aLifetime,
                  Base::TimePoint aNow,
                  std::vector<FlowKey>& aRemoved)
{
  for (auto item = aOpenings.begin(); item != aOpenings.end();) {
    if (aNow - item->second.mSentAt < aLifetime) {
      ++item;
      continue;
    }
    aRemoved.push_back(item->second.mFlow);
    item = aOpenings.erase(item);
  }
}

/// Moves the first packets to the late ones as long as they can't meet their objective any more.
void
MoveLateOpenings(OpeningQueue& aQueue, Base::TimePoint aNow)
{
  auto first = aQueue.mInTime.begin();
  while (first != aQueue.mInTime.end() && aNow > first->second.mUsefulUntil) {
    aQueue.mLate.insert(aQueue.mInTime.extract(first));
    first = aQueue.mInTime.begin();
  }
}

} // namespace

bool
operator<(const OpeningOrder& aLeft, const OpeningOrder& aRight)
{
  if (aLeft.mPriority != aRight.mPriority) {
    return aLeft.mPriority < aRight.mPriority;
  }
  if (aLeft.mSentAt != aRight.mSentAt) {
    return aLeft.mSentAt < aRight.mSentAt;
  }
  return aLeft.mNumber < aRight.mNumber;
}

size_t
Size(const OpeningQueue& aQueue)
{
  return aQueue.mInTime.size() + aQueue.mLate.size();
}

size_t
CountAhead(const OpeningQueue& aQueue, const HeldOpening& aOpening, Base::TimePoint aNow)
{
  const bool late = aNow > aOpening.mUsefulUntil;
  const Openings& same = late ? aQueue.mLate : aQueue.mInTime;
  const OpeningOrder order{ aOpening.mPriority, aOpening.mSentAt, aQueue.mNextNumber };
  const auto ahead = std::distance(same.begin(), same.lower_bound(order));
  return static_cast<size_t>(ahead) + (late ? aQueue.mInTime.size() : 0);
}

void
Hold(OpeningQueue& aQueue, HeldOpening aOpening)
{
  const OpeningOrder order{ aOpening.mPriority, aOpening.mSentAt, aQueue.mNextNumber++ };
  aQueue.mInTime.emplace(order, std::move(aOpening));
}

const HeldOpening*
Next(OpeningQueue& aQueue, Base::TimePoint aNow)
{
  MoveLateOpenings(aQueue, aNow);
  const Openings& openings = aQueue.mInTime.empty() ? aQueue.mLate : aQueue.mInTime;
  return openings.empty() ? nullptr : &openings.begin()->second;
}

void
RemoveNext(OpeningQueue& aQueue)
{
  Openings& openings = aQueue.mInTime.empty() ? aQueue.mLate : aQueue.mInTime;
  openings.erase(openings.begin());
}

std::vector<FlowKey>
RemoveExpired(OpeningQueue& aQueue, Base::Duration aLifetime, Base::TimePoint aNow)
{
  std::vector<FlowKey> removed;
  RemoveExpiredFrom(aQueue.mInTime, aLifetime, aNow, removed);
  RemoveExpiredFrom(aQueue.mLate, aLifetime, aNow, removed);
  return removed;
}

} // namespace Steering
