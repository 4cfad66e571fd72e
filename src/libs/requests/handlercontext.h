#pragma once

#include "requests/effects.h"
#include "requests/state.h"

#include <deque>
#include <utility>

namespace Requests::Internal {

/// State, context and effects of the message or tick being handled. Effects of the schedulers are
/// queued here and applied iteratively, because applying one can produce further ones.
struct HandlerContext
{
  State& mState;
  const Context& mContext;
  Effects& mEffects;
  std::deque<std::pair<UpstreamKey, Admission::Effects>> mSchedulerEffects;
};

} // namespace Requests::Internal
