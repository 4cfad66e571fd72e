#include "requests/retrybudget.h"

#include <algorithm>
#include <numeric>

namespace Requests {

namespace {

size_t
StepIndex(int64_t aStep)
{
  return static_cast<size_t>(aStep) % RetryBudget::kSteps;
}

void
AdvanceTo(RetryBudget& aBudget, Base::TimePoint aNow)
{
  const int64_t step =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch()).count();
  const int64_t oldest = step - static_cast<int64_t>(RetryBudget::kSteps);
  for (int64_t passed = std::max(aBudget.mStep, oldest) + 1; passed <= step; ++passed) {
    aBudget.mRequests[StepIndex(passed)] = 0;
    aBudget.mRetries[StepIndex(passed)] = 0;
  }
  aBudget.mStep = std::max(aBudget.mStep, step);
}

uint64_t
Sum(const std::array<uint32_t, RetryBudget::kSteps>& aCounts)
{
  return std::accumulate(aCounts.begin(), aCounts.end(), uint64_t{ 0 });
}

} // namespace

void
CountRequest(RetryBudget& aBudget, Base::TimePoint aNow)
{
  AdvanceTo(aBudget, aNow);
  ++aBudget.mRequests[StepIndex(aBudget.mStep)];
}

bool
TakeRetry(RetryBudget& aBudget, uint32_t aPermille, Base::TimePoint aNow)
{
  constexpr uint64_t kPermille = 1000;
  AdvanceTo(aBudget, aNow);
  if ((Sum(aBudget.mRetries) + 1) * kPermille > Sum(aBudget.mRequests) * aPermille) {
    return false;
  }
  ++aBudget.mRetries[StepIndex(aBudget.mStep)];
  return true;
}

} // namespace Requests
