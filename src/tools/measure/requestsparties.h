#pragma once

#include "measure/requestschecker.h"
#include "measure/requestsfakes.h"
#include "measure/requestsnetwork.h"
#include "requests/dispatcher.h"

#include "caller.pb.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace RequestFakes {

/// A simulated entry instance. mState is empty while the instance is down.
struct Instance
{
  Base::InstanceId mId;
  uint32_t mPartition = 0;
  std::optional<Requests::State> mState;
  Membership::View mView;
  Base::RandomSource mRandom;
};

/// An upstream that runs each work id once, as WorkId requires.
struct Upstream
{
  Base::Endpoint mEndpoint;
  std::set<std::pair<uint64_t, uint64_t>> mSeen;
  std::set<std::pair<uint64_t, uint64_t>> mPending;
  uint64_t mNextRun = 1;
};

struct CallerRequest
{
  uint64_t mUid = 0;
  bool mIsRepeatable = false;
  Base::TimePoint mSentAt;
  Base::TimePoint mDeadline;
  std::map<uint32_t, std::string> mPieces;
};

/// A caller that retransmits until it receives an answer. It may restart with the same address.
struct Caller
{
  Base::Endpoint mEndpoint;
  uint64_t mOpenId = 0;
  Base::TimePoint mOpenSentAt;
  uint64_t mFlow = 0;
  std::string mTicket;
  uint64_t mNextNumber = 1;
  std::map<uint64_t, CallerRequest> mRequests;
};

struct Simulation
{
  Options mOptions;
  Network mNetwork;
  Checker mChecker;
  Result mResult;
  Requests::Settings mSettings;
  Config::ServiceIndex mServices;
  std::vector<std::unique_ptr<Instance>> mInstances;
  std::vector<Upstream> mUpstreams;
  std::vector<Caller> mCallers;
  uint64_t mNextUid = 1;
};

constexpr Base::Endpoint kService{ 0xC0000201, 7000 };

/// Starts or restarts an instance with empty state.
void
StartInstance(Simulation& aSimulation, Instance& aInstance);

/// Notifies each instance of a membership change after a random delay in [aLow, aHigh).
void
SpreadMembership(Simulation& aSimulation, Base::Duration aLow, Base::Duration aHigh);

/// Delivers a caller's packet to an instance.
void
DeliverToInstance(Simulation& aSimulation,
                  Instance& aInstance,
                  const Base::Endpoint& aCaller,
                  const std::string& aPayload);

/// Executes the effects returned by the request code and passes them to the checker.
void
ExecuteEffects(Simulation& aSimulation, Instance& aInstance, const Requests::Effects& aEffects);

Requests::Context
ContextOf(Simulation& aSimulation, Instance& aInstance);

/// Delivers a ToUpstream message.
void
DeliverToUpstream(Simulation& aSimulation,
                  size_t aUpstream,
                  Base::InstanceId aSender,
                  const std::string& aPayload);

/// Delivers an EntryPacket.
void
DeliverToCaller(Simulation& aSimulation, size_t aCaller, const std::string& aPayload);

/// Runs the timers of a caller: opens flows, sends and retransmits requests. Call it every 20 ms.
void
TickCaller(Simulation& aSimulation, size_t aCaller);

/// Schedules crashes, leaves and partitions at random times.
void
ScheduleFaults(Simulation& aSimulation);

} // namespace RequestFakes
