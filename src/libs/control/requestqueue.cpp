#include "control/requestqueue.h"

#include <glog/logging.h>

#include <cerrno>
#include <cstring>
#include <future>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace Control {

namespace {

/// Maximum number of queued requests, which bounds the memory. The expected load of 5,400 changes a
/// day is far below it.
constexpr size_t kMaxRequests = 1024;

ChangeOutcome
LeadershipLostError()
{
  return {
    absl::UnavailableError(
      "this control instance is no longer the leader; resend the change with the same request "
      "number"),
    {},
    0
  };
}

} // namespace

RequestQueue::RequestQueue()
  : mDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
  PCHECK(mDescriptor >= 0) << "eventfd";
}

RequestQueue::~RequestQueue()
{
  close(mDescriptor);
}

ChangeOutcome
RequestQueue::Submit(std::string aCommand, Base::Duration aLimit)
{
  // Shared with the log thread, which may finish the request after the wait below has timed out.
  auto promise = std::make_shared<std::promise<ChangeOutcome>>();
  std::future<ChangeOutcome> outcome = promise->get_future();
  Submit(std::move(aCommand),
         [promise](const ChangeOutcome& aOutcome) { promise->set_value(aOutcome); });
  if (outcome.wait_for(aLimit) != std::future_status::ready) {
    return { absl::DeadlineExceededError(
               "no outcome yet; resend the change with the same request number"),
             {},
             0 };
  }
  return outcome.get();
}

void
RequestQueue::Submit(std::string aCommand, FinishCallback aFinish, WithdrawalCheck aIsWithdrawn)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mClosed && mRequests.size() < kMaxRequests) {
      mRequests.push_back(std::make_shared<Request>(
        Request{ std::move(aCommand), std::move(aFinish), std::move(aIsWithdrawn) }));
      const uint64_t one = 1;
      if (write(mDescriptor, &one, sizeof(one)) < 0) {
        LOG(WARNING) << "[control] Cannot wake up the log thread: " << std::strerror(errno) << ".";
      }
      return;
    }
  }
  aFinish({ absl::UnavailableError("this control instance is stopping or overloaded"), {}, 0 });
}

std::vector<RequestPtr>
RequestQueue::Take()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  uint64_t wakeUps = 0;
  if (read(mDescriptor, &wakeUps, sizeof(wakeUps)) < 0 && errno != EAGAIN) {
    LOG(WARNING) << "[control] Cannot read the wake-up counter: " << std::strerror(errno) << ".";
  }
  return std::exchange(mRequests, {});
}

void
RequestQueue::Close()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mClosed = true;
}

void
PendingChanges::Add(uint64_t aIndex, uint64_t aTerm, RequestPtr aRequest)
{
  Pending& pending = mPending[aIndex];
  if (pending.mRequest != nullptr) {
    // Proposed in an earlier term of this instance. The entry has been replaced.
    pending.mRequest->mFinish(LeadershipLostError());
  }
  pending = { aTerm, std::move(aRequest) };
}

void
PendingChanges::Finish(uint64_t aIndex, uint64_t aTerm, const ChangeOutcome& aOutcome)
{
  const auto found = mPending.find(aIndex);
  if (found == mPending.end()) {
    return;
  }
  const bool isSameEntry = found->second.mTerm == aTerm;
  found->second.mRequest->mFinish(isSameEntry ? aOutcome : LeadershipLostError());
  mPending.erase(found);
}

void
PendingChanges::FailAll()
{
  for (auto& [index, pending] : mPending) {
    pending.mRequest->mFinish(LeadershipLostError());
  }
  mPending.clear();
}

} // namespace Control
