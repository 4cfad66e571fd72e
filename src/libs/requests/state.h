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

/// Memory limits of one shard. A program with several shards passes what the other shards leave
/// unused.
struct Limits
{
  size_t mMaxFlows = 50000;
  size_t mMaxAnswerBytes = size_t{ 16 } * 1024 * 1024;
};

struct Settings
{
  /// Ticket key, shared by all instances of the region.
  TicketKey mTicketKey;
  /// The same key, used for the sealed terms of clients.
  std::string mTermsKey;
  uint32_t mRetryPermille = 100;
  Base::Duration mFlowIdle = std::chrono::minutes(10);
  Base::Duration mAnswerLife = std::chrono::seconds(10);
};

/// Inputs of a decision other than the state and the message.
struct Context
{
  const Membership::View& mView;
  const Config::ServiceIndex& mServices;
  const Settings& mSettings;
  Limits mLimits;
  Base::TimePoint mNow;
  Base::RandomSource& mRandom;
  /// Wall clock for the terms of clients, which outlive the process.
  Terms::WallSeconds mWallNow{};
};

/// An upstream of one generation of a service.
struct UpstreamKey
{
  Base::Endpoint mEndpoint;
  Base::ServiceGeneration mGeneration;
};

bool
operator<(const UpstreamKey& aLeft, const UpstreamKey& aRight);

/// Scheduler of one upstream and the policy of its service.
struct UpstreamQueue
{
  Admission::Scheduler mScheduler;
  Admission::Policy mPolicy;
  /// Service definition from which mPolicy was built.
  std::shared_ptr<const Config::ServiceView> mService;
  /// Lease end of the last load report passed to the scheduler.
  Base::TimePoint mReportedLeaseEnd;
  /// Number of queued or running attempts.
  uint32_t mOpenAttempts = 0;
  /// Time at which a draining upstream stops receiving requests of existing flows.
  std::optional<Base::TimePoint> mClosedAt;
};

/// A queued or running dispatch of a request. A retry is a new attempt with a new work number, so
/// that the pieces of two answers cannot be mixed.
struct Attempt
{
  CallKey mCall;
  bool mIsRunning = false;
  Base::TimePoint mStarted;
  Base::TimePoint mLastPiece;
  AnswerAssembly mAnswer;
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
  /// Time of the next attempt while there is none; TimePoint::max() while the request is suspended
  /// for a handover.
  Base::TimePoint mResumeAt;
  Base::TimePoint mCanceledAt;
  std::string mBody;
  std::vector<uint64_t> mAttempts;
};

/// A flow being transferred to the successor. It is frozen: the only permitted operation is to
/// resend it.
struct PendingTransfer
{
  lw::requestpeer::RequestPeerPacket mPacket;
  Base::TimePoint mFrozenAt;
  Base::TimePoint mSentAt;
};

/// Progress of a graceful shutdown. For flows whose transfer is unconfirmed when the instance
/// exits, the other instances reply OUTCOME_UNKNOWN.
struct Handover
{
  bool mIsLeaving = false;
  std::optional<Run> mSuccessor;
  std::unordered_map<Base::FlowNumber, PendingTransfer> mPending;
  Base::TimePoint mNextNotice;
  uint32_t mNotices = 0;
};

/// Successors of runs that have left, as learned from succession notices. Limited in size and age.
struct Successions
{
  struct Entry
  {
    Run mSuccessor;
    Base::TimePoint mExpiry;
  };
  std::map<Run, Entry> mByOwner;
  /// Flows accepted from a leaving run. A late copy of a transfer must not restore an old window,
  /// even if the flow has since been transferred to another instance.
  struct Accepted
  {
    std::unordered_set<Base::FlowNumber> mFlows;
    /// The sender and the runs named in the tickets of these flows.
    std::set<Run> mOrigins;
    Base::TimePoint mLastTransfer;
  };
  std::map<Run, Accepted> mAccepted;
  Base::TimePoint mNextNotice;
};

/// Runs that are missing from the view. Distinguishes runs that have just joined or are handing
/// over their flows from runs that are gone. Limited in size; rebuilt from the view after a
/// restart.
struct RunHistory
{
  /// Members at the last tick, and a digest of them.
  std::map<Run, Membership::MemberState> mMembers;
  uint64_t mDigest = 0;
  /// Time from which a run that is not in the view is considered gone.
  std::map<Run, Base::TimePoint> mGoneAt;
};

/// Flows and requests of the upstreams of one shard. It belongs to one run of an instance and is
/// not persistent: after a crash, callers of queued requests time out, and duplicates receive
/// OUTCOME_UNKNOWN.
struct State
{
  Run mSelf;
  /// Shard number; part of the flow and work numbers assigned by the shard.
  uint32_t mShard = 0;
  uint64_t mNextFlow = 1;
  uint64_t mNextWork = 1;
  FlowTable mFlows;
  std::unordered_map<CallKey, Call, CallKeyHash> mCalls;
  /// Attempts by work number.
  std::unordered_map<uint64_t, Attempt> mAttempts;
  /// Work numbers of dispatched attempts.
  std::set<uint64_t> mRunning;
  /// Calls that have no attempt.
  std::set<CallKey> mWaiting;
  std::map<UpstreamKey, UpstreamQueue> mQueues;
  KnownClients mClients;
  AnswerStore mAnswers;
  /// Size of all incomplete answers in bytes; counts towards the limit of the answer store.
  size_t mAssemblyBytes = 0;
  std::map<std::string, RetryBudget> mRetryBudgets;
  Handover mHandover;
  Successions mSuccessions;
  RunHistory mRuns;
};

/// Creates the state of a new run.
State
MakeState(const Run& aSelf, uint32_t aShard);

} // namespace Requests
