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
  /// Sequence number that orders events scheduled for the same time.
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
  uint32_t mSchedulerGeneration = 0;
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
  /// Availability zone that the caller can reach during a partition.
  uint32_t mReachableZone = 0;
  uint32_t mRequestsLeft = 0;
};

/// Poisson process that generates the requests of one kind and client.
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

/// State of one run. Owned by RunFlood. Its size grows with the number of requests.
struct RunState
{
  FloodPlan mPlan;
  AdmissionControl mControl = AdmissionControl::Policy;
  Admission::Policy mPolicy;
  Base::TimePoint mNow;
  /// Measurement window.
  Base::TimePoint mStart;
  Base::TimePoint mEnd;
  std::priority_queue<Event, std::vector<Event>, IsLater> mEvents;
  uint64_t mNextEvent = 0;
  std::vector<Stream> mStreams;
  std::vector<Request> mRequests;
  uint64_t mOpenRequests = 0;
  Router mRouter;
  // Indexed by host:
  std::vector<FakeUpstream> mUpstreams;
  std::vector<UpstreamScheduler> mSchedulers;
  std::vector<uint32_t> mSchedulerGenerations;
  std::vector<std::set<uint64_t>> mDispatched;
  std::vector<uint32_t> mDispatchers;
  std::vector<bool> mLost;
  std::vector<bool> mReportsSuppressed;
  std::vector<Base::TimePoint> mHungUntil;
  std::vector<uint64_t> mRanByHost;
  std::vector<bool> mIsPartlyAbsent;
  FloodResult mResult;
};

RunState
MakeRunState(const FloodPlan& aPlan, AdmissionControl aControl);

void
Schedule(RunState& aState, Base::TimePoint aAt, EventKind aKind, uint64_t aIndex);

Base::Duration
NextPause(Stream& aStream);

/// \return the live instance that dispatches requests to a host.
uint32_t
SelectDispatcher(const RunState& aState, uint32_t aHost);

/// Sends the next request of a stream, on a new flow if the selected flow has ended.
void
SendRequest(RunState& aState, uint32_t aStream);

/// Handles the arrival of a request at the dispatcher of its flow.
void
OfferRequest(RunState& aState, uint64_t aId);

/// Handles the completion of a request at its upstream.
void
HandleDone(RunState& aState, uint64_t aId);

/// Fails dispatched requests whose deadline has passed.
void
ExpireDispatched(RunState& aState, uint32_t aHost);

/// Fails all open requests of a host after the loss of its dispatcher.
void
FailOpenRequests(RunState& aState, uint32_t aHost);

/// Executes the refusals and dispatches that a scheduler has decided.
void
Apply(RunState& aState, uint32_t aHost, const Admission::Effects& aEffects);

} // namespace Measure
