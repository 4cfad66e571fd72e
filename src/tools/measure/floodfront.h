#pragma once

#include "admission/scheduler.h"

#include <cstdint>
#include <deque>
#include <set>

namespace Measure {

/// Admission control that a run applies to the requests of each upstream.
enum class AdmissionControl
{
  /// The scheduler and policy of the admission library.
  Policy,
  /// A FIFO queue with one concurrency limit for all work.
  SingleLimit,
  /// No admission control: requests are distributed over the upstreams in turn.
  RoundRobin
};

constexpr AdmissionControl kAdmissionControls[] = { AdmissionControl::Policy,
                                                    AdmissionControl::SingleLimit,
                                                    AdmissionControl::RoundRobin };

const char*
ControlName(AdmissionControl aControl);

/// Schedules the requests of one upstream. Owned by one run. Its size is bounded by
/// Admission::Scheduler or by the length of the FIFO queue.
struct UpstreamScheduler
{
  AdmissionControl mControl = AdmissionControl::Policy;
  uint32_t mSlots = 1;
  Admission::Scheduler mPolicyScheduler;
  std::deque<Admission::WorkItem> mQueue;
  std::set<uint64_t> mRunning;
};

Admission::Effects
OfferTo(UpstreamScheduler& aScheduler,
        const Admission::Policy& aPolicy,
        const Admission::WorkItem& aItem,
        Base::TimePoint aNow);

Admission::Effects
FinishAt(UpstreamScheduler& aScheduler,
         const Admission::Policy& aPolicy,
         uint64_t aId,
         Admission::WorkOutcome aOutcome,
         Base::TimePoint aNow);

Admission::Effects
TickScheduler(UpstreamScheduler& aScheduler,
              const Admission::Policy& aPolicy,
              Base::TimePoint aNow);

} // namespace Measure
