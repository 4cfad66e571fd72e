#pragma once

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "base/runtimeclock.h"
#include "steering/steering.h"

#include <deque>
#include <string>

namespace Fleet {

/// Explanations take time of the packet thread.
constexpr size_t kMaxExplanationsPerSecond = 5;

/// Limits explanations to kMaxExplanationsPerSecond within any second.
struct ExplanationLimit
{
  /// Times of the explanations in the last second, at most kMaxExplanationsPerSecond.
  std::deque<Base::TimePoint> mGivenAt;
};

/// Counts an explanation, unless there have been too many within the last second.
/// \return true if it is allowed.
bool
AllowExplanation(ExplanationLimit& aLimit, Base::TimePoint aNow);

/// Reads the flow from the query of an HTTP request: caller=ADDRESS:PORT&service=ADDRESS:PORT.
/// \return the flow, or InvalidArgument with the parameter and its expected form.
absl::StatusOr<Steering::FlowKey>
ParseExplainQuery(absl::string_view aQuery);

/// Explains where the flow of the query would go now.
/// \return JSON, InvalidArgument for a wrong query, or ResourceExhausted above the limit.
absl::StatusOr<std::string>
ServeExplanation(const Steering::State& aState,
                 const Steering::Settings& aSettings,
                 ExplanationLimit& aLimit,
                 absl::string_view aQuery,
                 Base::TimePoint aNow);

} // namespace Fleet
