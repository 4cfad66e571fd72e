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

/// Answer to an operator's change.
struct ChangeOutcome
{
  absl::Status mStatus;
  Base::ConfigVersion mVersion;
  /// Version after the change was accepted or refused; 0 if it was not decided.
  uint64_t mCurrentVersion = 0;
};

/// Receives the outcome of a call, once, on the log thread.
using FinishCall = std::function<void(const ChangeOutcome&)>;

/// An operator's call. Without a command it is a read.
struct Request
{
  std::string mCommand;
  FinishCall mFinish;
};

using RequestPtr = std::shared_ptr<Request>;

/// Takes operators' calls from the threads of gRPC to the log thread.
class RequestQueue
{
public:
  RequestQueue();
  ~RequestQueue();
  RequestQueue(const RequestQueue&) = delete;
  RequestQueue& operator=(const RequestQueue&) = delete;

  /// Waits for the outcome.
  /// \return the outcome; Unavailable if the queue is full or closed; DeadlineExceeded after
  /// aLimit.
  ChangeOutcome Submit(std::string aCommand, Base::Duration aLimit);

  /// Queues a call without waiting.
  /// \param aFinish gets Unavailable at once if the queue is full or closed.
  void Submit(std::string aCommand, FinishCall aFinish);

  /// \return the calls that have arrived. Each one must get its outcome.
  std::vector<RequestPtr> Take();

  /// Refuses calls from now on.
  void Close();

  /// \return a descriptor that is readable while calls wait.
  int Descriptor() const { return mDescriptor; }

private:
  const int mDescriptor;
  std::mutex mMutex;
  bool mClosed = false;
  std::vector<RequestPtr> mRequests;
};

/// Changes that were proposed and are not yet applied, by log index. Used by the log thread only;
/// bounded by the calls in progress.
class PendingChanges
{
public:
  void Add(uint64_t aIndex, uint64_t aTerm, RequestPtr aRequest);

  /// Finishes the change at the index of an applied entry.
  /// \param aTerm is the entry's; another term than the proposed one means that it was replaced.
  void Finish(uint64_t aIndex, uint64_t aTerm, const ChangeOutcome& aOutcome);

  /// Finishes all changes with an unknown outcome, because this instance no longer leads.
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
