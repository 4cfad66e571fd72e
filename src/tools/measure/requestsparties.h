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

/// An entry instance; mState is empty while it is down.
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

/// A caller that sends again until it is answered. It may restart under its address.
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

struct World
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

/// Starts a new run of an instance.
void
StartInstance(World& aWorld, Instance& aInstance);

/// Schedules the times at which the instances notice that the membership has changed; they differ.
void
SpreadMembership(World& aWorld, Base::Duration aLow, Base::Duration aHigh);

/// Delivers a caller's packet to an instance.
void
DeliverToInstance(World& aWorld,
                  Instance& aInstance,
                  const Base::Endpoint& aCaller,
                  const std::string& aPayload);

/// Sends what the request code asks for, counts and checks it.
void
CarryOut(World& aWorld, Instance& aInstance, const Requests::Effects& aEffects);

Requests::Context
ContextOf(World& aWorld, Instance& aInstance);

/// Delivers a ToUpstream message.
void
DeliverToUpstream(World& aWorld,
                  size_t aUpstream,
                  Base::InstanceId aSender,
                  const std::string& aPayload);

/// Delivers an EntryPacket.
void
DeliverToCaller(World& aWorld, size_t aCaller, const std::string& aPayload);

/// Lets a caller open flows, send and resend. Call it every 20 ms.
void
TickCaller(World& aWorld, size_t aCaller);

/// Starts crashes, leaves and partitions at random times.
void
StartChaos(World& aWorld);

} // namespace RequestFakes
