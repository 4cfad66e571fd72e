#pragma once

#include "base/random.h"
#include "measure/fakeupstream.h"
#include "measure/floodfront.h"
#include "measure/floodplan.h"
#include "measure/floodrouter.h"
#include "measure/floodrun.h"

#include <algorithm>
#include <cstdint>
#include <queue>
#include <set>
#include <vector>

namespace Measure {

enum class EventKind
{
  Arrival,
  Offer,
  Done,
  Tick,
  Report,
  FaultStart,
  FaultEnd,
  Withdraw,
  FabricUpdate,
  Takeover
};

struct Event
{
  Base::TimePoint mAt;
  /// Keeps the order of events at the same time.
  uint64_t mNumber = 0;
  EventKind mKind = EventKind::Tick;
  uint64_t mIndex = 0;
};

struct IsLater
{
  bool operator()(const Event& aLeft, const Event& aRight) const
  {
    return aLeft.mAt != aRight.mAt ? aLeft.mAt > aRight.mAt : aLeft.mNumber > aRight.mNumber;
  }
};

enum class RequestState
{
  Sent,
  Dispatched,
  Ended
};

struct Request
{
  uint32_t mStream = 0;
  uint32_t mFlow = 0;
  uint32_t mHost = 0;
  uint32_t mFrontGeneration = 0;
  Base::TimePoint mSent;
  Base::Duration mService{ 0 };
  Base::TimePoint mStarted;
  Base::TimePoint mDone;
  RequestState mState = RequestState::Sent;
  bool mRetried = false;
};

struct CallerFlow
{
  uint32_t mHost = 0;
  /// Availability zone that the caller reaches during a partition.
  uint32_t mSide = 0;
  uint32_t mRequestsLeft = 0;
};

/// Poisson source of requests of one kind and client.
struct Stream
{
  uint32_t mKind = 0;
  std::string mClient;
  double mRate = 0;
  Base::TimePoint mFirst;
  std::vector<CallerFlow> mFlows;
  Base::RandomSource mArrivals;
  Base::RandomSource mServices;
};

/// State of one run. Owned by RunFlood; it grows with the number of requests.
struct RunState
{
  FloodPlan mPlan;
  Control mControl = Control::Policy;
  Admission::Policy mPolicy;
  Base::TimePoint mNow;
  /// Measured time.
  Base::TimePoint mStart;
  Base::TimePoint mEnd;
  std::priority_queue<Event, std::vector<Event>, IsLater> mEvents;
  uint64_t mNextEvent = 0;
  std::vector<Stream> mStreams;
  std::vector<Request> mRequests;
  uint64_t mOpenRequests = 0;
  Router mRouter;
  // By host:
  std::vector<FakeUpstream> mUpstreams;
  std::vector<Front> mFronts;
  std::vector<uint32_t> mFrontGenerations;
  std::vector<std::set<uint64_t>> mDispatched;
  std::vector<uint32_t> mDispatchers;
  std::vector<bool> mLost;
  std::vector<bool> mSilent;
  std::vector<Base::TimePoint> mHungUntil;
  std::vector<uint64_t> mRanByHost;
  std::vector<bool> mChanged;
  FloodResult mResult;
};

RunState
MakeRunState(const FloodPlan& aPlan, Control aControl);

void
Schedule(RunState& aState, Base::TimePoint aAt, EventKind aKind, uint64_t aIndex);

Base::Duration
NextPause(Stream& aStream);

/// \return the live instance that dispatches for a host.
uint32_t
SelectDispatcher(const RunState& aState, uint32_t aHost);

/// A caller sends its next request, on a new flow if its flow has ended.
void
SendRequest(RunState& aState, uint32_t aStream);

/// A request arrives at the dispatcher of its flow.
void
OfferRequest(RunState& aState, uint64_t aId);

/// An upstream finishes work.
void
HandleDone(RunState& aState, uint64_t aId);

/// Ends dispatched work whose deadline has passed.
void
ExpireDispatched(RunState& aState, uint32_t aHost);

/// Ends all requests at the dispatcher of a host without an answer.
void
LoseRequests(RunState& aState, uint32_t aHost);

/// Carries out what a front decided.
void
Apply(RunState& aState, uint32_t aHost, const Admission::Effects& aEffects);

} // namespace Measure
