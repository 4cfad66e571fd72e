#include "requests/flowtable.h"

#include <tuple>
#include <utility>

namespace Requests {

namespace {

// Callers resend an unanswered OpenFlow after about a second; 3 s also covers delayed packets.
constexpr std::chrono::seconds kRecentOpenLifetime{ 3 };

} // namespace

bool
operator<(const OpenKey& aLeft, const OpenKey& aRight)
{
  return std::tie(aLeft.mOpenId, aLeft.mCaller, aLeft.mService) <
         std::tie(aRight.mOpenId, aRight.mCaller, aRight.mService);
}

Flow*
FindFlow(FlowTable& aTable, Base::FlowNumber aNumber)
{
  const auto found = aTable.mFlows.find(aNumber);
  return found == aTable.mFlows.end() ? nullptr : &found->second;
}

Flow&
AddFlow(FlowTable& aTable, Flow aFlow, Base::TimePoint aNow)
{
  const Base::FlowNumber number = aFlow.mNumber;
  aFlow.mLastUsed = aNow;
  aFlow.mPosition = aTable.mLruOrder.insert(aTable.mLruOrder.end(), number);
  return aTable.mFlows.emplace(number, std::move(aFlow)).first->second;
}

void
TouchFlow(FlowTable& aTable, Flow& aFlow, Base::TimePoint aNow)
{
  aFlow.mLastUsed = aNow;
  aTable.mLruOrder.splice(aTable.mLruOrder.end(), aTable.mLruOrder, aFlow.mPosition);
}

void
RemoveFlow(FlowTable& aTable, Base::FlowNumber aNumber)
{
  const auto found = aTable.mFlows.find(aNumber);
  if (found != aTable.mFlows.end()) {
    aTable.mLruOrder.erase(found->second.mPosition);
    aTable.mFlows.erase(found);
  }
}

Flow*
FindOpened(FlowTable& aTable, const OpenKey& aKey, Base::TimePoint aNow)
{
  const auto found = aTable.mRecentOpens.find(aKey);
  if (found == aTable.mRecentOpens.end() || found->second.mExpiry <= aNow) {
    return nullptr;
  }
  Flow* flow = FindFlow(aTable, found->second.mFlow);
  const bool isUnused = flow != nullptr && flow->mWindow.mEntries.empty();
  return isUnused ? flow : nullptr;
}

void
RememberOpened(FlowTable& aTable, const OpenKey& aKey, Base::FlowNumber aFlow, Base::TimePoint aNow)
{
  const FlowTable::Opened opened{ aFlow, aNow + kRecentOpenLifetime };
  if (aTable.mRecentOpens.insert_or_assign(aKey, opened).second) {
    aTable.mRecentOpenOrder.push_back(aKey);
  }
}

void
DropIdleFlows(FlowTable& aTable, Base::Duration aIdle, Base::TimePoint aNow)
{
  while (!aTable.mLruOrder.empty()) {
    Flow& flow = aTable.mFlows.at(aTable.mLruOrder.front());
    if (flow.mLastUsed + aIdle > aNow) {
      break;
    }
    if (flow.mOpenCalls > 0) {
      TouchFlow(aTable, flow, aNow);
    } else {
      RemoveFlow(aTable, flow.mNumber);
    }
  }
  while (!aTable.mRecentOpenOrder.empty()) {
    const auto oldest = aTable.mRecentOpens.find(aTable.mRecentOpenOrder.front());
    if (oldest->second.mExpiry > aNow) {
      break;
    }
    aTable.mRecentOpens.erase(oldest);
    aTable.mRecentOpenOrder.pop_front();
  }
}

} // namespace Requests
