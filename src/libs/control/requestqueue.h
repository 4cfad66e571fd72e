#pragma once

#include "absl/status/status.h"
#include "base/ids.h"
#include "base/runtimeclock.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Control {

/// Result of a change.
struct ChangeOutcome
{
  absl::Status mStatus;
  Base::ConfigVersion mVersion;
  /// Version after the change was accepted or rejected, or 0 if the outcome is unknown.
  uint64_t mCurrentVersion = 0;
};

/// Receives the outcome of a request. Called once, on the log thread unless the request is rejected
/// immediately.
using FinishCallback = std::function<void(const ChangeOutcome&)>;

/// Returns true if the requester no longer waits for the outcome. Called on the log thread.
using WithdrawalCheck = std::function<bool()>;

/// A request of an operator: a change, or a read if mCommand is empty.
struct Request
{
  std::string mCommand;
  FinishCallback mFinish;
  /// Evaluated directly before the proposal. A withdrawn change is not proposed and finishes with
  /// Cancelled. May be empty.
  WithdrawalCheck mIsWithdrawn;
};

using RequestPtr = std::shared_ptr<Request>;

/// Passes requests from gRPC threads to the log thread.
class RequestQueue
{
public:
  RequestQueue();
  ~RequestQueue();
  RequestQueue(const RequestQueue&) = delete;
  RequestQueue& operator=(const RequestQueue&) = delete;

  /// Queues a request and waits for its outcome.
  /// \return the outcome; Unavailable if the queue is full or closed; DeadlineExceeded after
  /// aLimit.
  ChangeOutcome Submit(std::string aCommand, Base::Duration aLimit);

  /// Queues a request without waiting.
  /// \param aFinish is called with Unavailable immediately if the queue is full or closed.
  void Submit(std::string aCommand, FinishCallback aFinish, WithdrawalCheck aIsWithdrawn = {});

  /// Removes all queued requests. The caller must call mFinish of each one.
  /// \return the requests in order of arrival.
  std::vector<RequestPtr> Take();

  /// Rejects further requests.
  void Close();

  /// \return a descriptor that is readable while requests are queued.
  int Descriptor() const { return mDescriptor; }

private:
  const int mDescriptor;
  std::mutex mMutex;
  bool mClosed = false;
  std::vector<RequestPtr> mRequests;
};

/// Changes that were proposed and not yet applied, by log index. Used only by the log thread.
/// Bounded by the number of requests in progress.
class PendingChanges
{
public:
  void Add(uint64_t aIndex, uint64_t aTerm, RequestPtr aRequest);

  /// Finishes the change at the index of an applied entry.
  /// \param aTerm is the term of the applied entry. If it differs from the term of the proposal,
  /// the proposed entry was replaced.
  void Finish(uint64_t aIndex, uint64_t aTerm, const ChangeOutcome& aOutcome);

  /// Finishes all changes with an unknown outcome, because this instance is no longer the leader.
  void FailAll();

private:
  struct Pending
  {
    uint64_t mTerm = 0;
    RequestPtr mRequest;
  };

  std::map<uint64_t, Pending> mPending;
};

} // namespace Control
