#pragma once

#include "admission/scheduler.h"

#include <string>

namespace Admission {

/// Queue from which the next work is dispatched.
struct Selection
{
  std::string mKindName;
  std::string mClientName;
  /// nullptr if no work can be dispatched.
  KindQueue* mKind = nullptr;
  ClientQueue* mClient = nullptr;
  bool mKindGuaranteed = false;
  bool mClientGuaranteed = false;
};

/// Selects the next work: first what has waited for kStarvationBound, then kinds and clients within
/// their guarantee by urgency, then the others by deficit round robin; within the kind the same for
/// clients, without urgency.
Selection
SelectNext(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow);

} // namespace Admission
