#include "requestqueue.h"

#include <glog/logging.h>

#include <cerrno>
#include <cstring>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace Control {

namespace {

/// Operators' calls in progress. 5,400 changes a day are far below it; it bounds the memory.
constexpr size_t kMaxRequests = 1024;

ChangeOutcome
LeadershipLost()
{
  return {
    absl::UnavailableError(
      "this control instance stopped leading; resend the change with the same request number"),
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
  auto request = std::make_shared<Request>();
  request->mCommand = std::move(aCommand);
  std::future<ChangeOutcome> outcome = request->mPromise.get_future();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mClosed || mRequests.size() >= kMaxRequests) {
      return { absl::UnavailableError("this control instance is stopping or overloaded"), {}, 0 };
    }
    mRequests.push_back(std::move(request));
    const uint64_t one = 1;
    if (write(mDescriptor, &one, sizeof(one)) < 0) {
      LOG(WARNING) << "[control] Wake-up failed: " << std::strerror(errno) << ".";
    }
  }
  if (outcome.wait_for(aLimit) != std::future_status::ready) {
    return { absl::DeadlineExceededError(
               "no outcome yet; resend the change with the same request number"),
             {},
             0 };
  }
  return outcome.get();
}

std::vector<RequestPtr>
RequestQueue::Take()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  uint64_t wakeUps = 0;
  if (read(mDescriptor, &wakeUps, sizeof(wakeUps)) < 0 && errno != EAGAIN) {
    LOG(WARNING) << "[control] Wake-up lost: " << std::strerror(errno) << ".";
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
    // Proposed when this instance led before; its entry was replaced.
    pending.mRequest->mPromise.set_value(LeadershipLost());
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
  const bool own = found->second.mTerm == aTerm;
  found->second.mRequest->mPromise.set_value(own ? aOutcome : LeadershipLost());
  mPending.erase(found);
}

void
PendingChanges::FailAll()
{
  for (auto& [index, pending] : mPending) {
    pending.mRequest->mPromise.set_value(LeadershipLost());
  }
  mPending.clear();
}

} // namespace Control
