#pragma once

#include "admission/scheduler.h"
#include "base/random.h"
#include "config/serviceindex.h"
#include "membership/view.h"
#include "requestpeer.pb.h"
#include "requests/answers.h"
#include "requests/clientterms.h"
#include "requests/flowtable.h"
#include "requests/retrybudget.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Requests {

/// Bounds of the memory of one shard. A program with several shards passes what the others leave
/// over.
struct Limits
{
  size_t mMaxFlows = 50000;
  size_t mMaxAnswerBytes = size_t{ 16 } * 1024 * 1024;
};

struct Settings
{
  /// Key of the region for tickets, the same on all its instances.
  TicketKey mTicketKey;
  /// The same key for the sealed terms of clients.
  std::string mTermsKey;
  uint32_t mRetryPermille = 100;
  Base::Duration mFlowIdle = std::chrono::minutes(10);
  Base::Duration mAnswerLife = std::chrono::seconds(10);
};

/// What a decision depends on besides the state and the message.
struct Context
{
  const Membership::View& mView;
  const Config::ServiceIndex& mServices;
  const Settings& mSettings;
  Limits mLimits;
  Base::TimePoint mNow;
  Base::RandomSource& mRandom;
  /// Dates the terms of clients, which outlive processes.
  Terms::WallSeconds mWallNow{};
};

/// An upstream within one generation of its service.
struct UpstreamKey
{
  Base::Endpoint mEndpoint;
  Base::ServiceGeneration mGeneration;
};

bool
operator<(const UpstreamKey& aLeft, const UpstreamKey& aRight);

/// Queue of one upstream with the policy of its service.
struct UpstreamQueue
{
  Admission::Scheduler mScheduler;
  Admission::Policy mPolicy;
  /// Definition that mPolicy was made from.
  std::shared_ptr<const Config::ServiceView> mService;
  /// Lease end of the last report that the scheduler was told.
  Base::TimePoint mReportedLeaseEnd;
  /// Attempts that are queued or running.
  uint32_t mOpenAttempts = 0;
  /// Time from which a draining upstream gets no more requests of its old flows.
  std::optional<Base::TimePoint> mClosedFrom;
};

/// One dispatch, or the wait for it in the scheduler's queue. A retry is a new attempt with a new
/// work number, so that the pieces of two answers cannot mix.
struct Attempt
{
  CallKey mCall;
  bool mIsRunning = false;
  Base::TimePoint mStarted;
  Base::TimePoint mLastPiece;
  Assembly mAnswer;
};

/// A request that is queued or dispatched.
struct Call
{
  UpstreamKey mUpstream;
  std::string mKind;
  bool mIsRepeatable = false;
  bool mIsCanceled = false;
  uint32_t mRetries = 0;
  Base::TimePoint mDeadline;
  /// Time of the next attempt while there is none; the far future while a handover holds the
  /// request.
  Base::TimePoint mResumeAt;
  Base::TimePoint mCanceledAt;
  std::string mBody;
  std::vector<uint64_t> mAttempts;
};

/// A flow on its way to the successor. It is frozen: nothing but resending it may happen here.
struct PendingTransfer
{
  lw::requestpeer::RequestPeerPacket mPacket;
  Base::TimePoint mFrozenAt;
  Base::TimePoint mSentAt;
};

/// Progress of a graceful leave. Owned by the instance that leaves; what is unconfirmed when it
/// ends gets "outcome unknown" from the others.
struct Handover
{
  bool mIsLeaving = false;
  std::optional<Run> mSuccessor;
  std::unordered_map<Base::FlowNumber, PendingTransfer> mPending;
  Base::TimePoint mNextNotice;
  uint32_t mNotices = 0;
};

/// What an instance knows of runs that left, from their notices. Bounded in entries and by age.
struct Successions
{
  struct Entry
  {
    Run mSuccessor;
    Base::TimePoint mExpiry;
  };
  std::map<Run, Entry> mByOwner;
  /// Flows accepted from each leaving run. A late copy of a transfer must not bring back an old
  /// window, even if the flow has left this instance again.
  struct Accepted
  {
    std::unordered_set<Base::FlowNumber> mFlows;
    /// The sender and the owners that the tickets of these flows name.
    std::set<Run> mOrigins;
    Base::TimePoint mLastTransfer;
  };
  std::map<Run, Accepted> mAccepted;
  Base::TimePoint mNextNotice;
};

/// Runs that were or are missing in the view, so that a run that has just joined or that is being
/// succeeded is told apart from one that is gone. Bounded in entries; rebuilt from the view.
struct RunHistory
{
  /// Members at the last Tick, and a digest of them.
  std::map<Run, Membership::MemberState> mMembers;
  uint64_t mDigest = 0;
  /// Time from which a run that is not in the view counts as gone.
  std::map<Run, Base::TimePoint> mGoneFrom;
};

/// Requests of the upstreams of one shard. Owned by one run of an instance and lost with it: queued
/// requests time out at their callers, later copies get "outcome unknown".
struct State
{
  Run mSelf;
  /// Number of the shard, part of its flow and work numbers.
  uint32_t mShard = 0;
  uint64_t mNextFlow = 1;
  uint64_t mNextWork = 1;
  FlowTable mFlows;
  std::unordered_map<CallKey, Call, CallKeyHash> mCalls;
  /// Attempts by work number.
  std::unordered_map<uint64_t, Attempt> mAttempts;
  /// Work numbers of dispatched attempts.
  std::set<uint64_t> mRunning;
  /// Calls without an attempt.
  std::set<CallKey> mWaiting;
  std::map<UpstreamKey, UpstreamQueue> mQueues;
  KnownClients mClients;
  AnswerStore mAnswers;
  /// Bytes of answers that are not complete; shares the bound of the answer store.
  size_t mAssemblyBytes = 0;
  std::map<std::string, RetryBudget> mRetryBudgets;
  Handover mHandover;
  Successions mSuccessions;
  RunHistory mRuns;
};

/// Prepares the state of a new run.
State
MakeState(const Run& aSelf, uint32_t aShard);

} // namespace Requests
