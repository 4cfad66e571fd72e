#pragma once

#include "admission/scheduler.h"

#include <string>

namespace Admission {

/// Queue from which the next item is dispatched.
struct Selection
{
  std::string mKindName;
  std::string mClientName;
  /// Null if no work can be dispatched.
  KindQueue* mKind = nullptr;
  ClientQueue* mClient = nullptr;
  bool mKindGuaranteed = false;
  bool mClientGuaranteed = false;
};

/// Selects the queue to serve next: first a queue that has waited for kStarvationBound, then kinds
/// with work within a guarantee, ordered by urgency, then the others by deficit round robin. Within
/// a kind, clients are selected in the same way, but without urgency.
Selection
SelectNext(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow);

} // namespace Admission
