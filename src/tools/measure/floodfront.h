#pragma once

#include "admission/scheduler.h"

#include <cstdint>
#include <deque>
#include <set>

namespace Measure {

/// How requests are admitted to an upstream.
enum class Control
{
  /// The policy of the admission library.
  Policy,
  /// First come, first served, with one limit for all work.
  SingleLimit,
  /// No admission control: requests go to the upstreams in turn.
  RoundRobin
};

constexpr Control kControls[] = { Control::Policy, Control::SingleLimit, Control::RoundRobin };

const char*
ControlName(Control aControl);

/// What stands in front of one upstream. Owned by one run; bounded like Admission::Scheduler or by
/// the single limit.
struct Front
{
  Control mControl = Control::Policy;
  uint32_t mSlots = 1;
  Admission::Scheduler mScheduler;
  std::deque<Admission::WorkItem> mQueue;
  std::set<uint64_t> mRunning;
};

Admission::Effects
OfferTo(Front& aFront,
        const Admission::Policy& aPolicy,
        const Admission::WorkItem& aItem,
        Base::TimePoint aNow);

Admission::Effects
FinishAt(Front& aFront,
         const Admission::Policy& aPolicy,
         uint64_t aId,
         Admission::WorkOutcome aOutcome,
         Base::TimePoint aNow);

Admission::Effects
TickFront(Front& aFront, const Admission::Policy& aPolicy, Base::TimePoint aNow);

} // namespace Measure
