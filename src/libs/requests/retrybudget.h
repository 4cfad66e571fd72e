#pragma once

#include "base/runtimeclock.h"

#include <array>
#include <cstdint>

namespace Requests {

/// Requests and retries of one service in a sliding window of 10 s with a resolution of 1 s. It
/// keeps retries from multiplying the load on upstreams that already refuse work.
struct RetryBudget
{
  static constexpr size_t kSteps = 10;
  std::array<uint32_t, kSteps> mRequests{};
  std::array<uint32_t, kSteps> mRetries{};
  int64_t mStep = 0;
};

void
CountRequest(RetryBudget& aBudget, Base::TimePoint aNow);

/// Takes one retry from the budget.
/// \param aPermille is the maximum ratio of retries to requests in the last 10 s, in thousandths.
/// \return false if the budget is exhausted.
bool
TakeRetry(RetryBudget& aBudget, uint32_t aPermille, Base::TimePoint aNow);

} // namespace Requests
