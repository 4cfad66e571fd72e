#pragma once

#include "base/endpoint.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace RequestFakes {

/// Identifies a request by its flow and request number.
using RequestKey = std::pair<uint64_t, uint64_t>;

/// Tracks every request by the unique id in its body and checks the rules of section 4 of
/// docs/design.md. It observes only the packets of the simulation, not the state of the instances.
struct Checker
{
  struct Request
  {
    bool mIsRepeatable = false;
    /// Work ids of its dispatches. A packet duplicated by the network has the same work id.
    std::set<std::pair<uint64_t, uint64_t>> mDispatches;
    uint32_t mSheds = 0;
    uint32_t mRuns = 0;
    bool mHasNotRun = false;
  };
  std::map<uint64_t, Request> mRequests;
  std::map<RequestKey, uint64_t> mByKey;
  std::map<uint64_t, Base::Endpoint> mFlowCallers;
  std::set<std::string> mViolations;
};

/// Records the first transmission of a request by its caller.
void
RecordSent(Checker& aChecker, uint64_t aUid, const RequestKey& aKey, bool aIsRepeatable);

/// Records that an instance has confirmed a new flow to a caller.
void
RecordOpened(Checker& aChecker, uint64_t aFlow, const Base::Endpoint& aCaller);

/// Records that an instance sends a packet of a flow to a caller.
void
RecordToCaller(Checker& aChecker, uint64_t aFlow, const Base::Endpoint& aCaller);

/// Records that an instance dispatches a request.
void
RecordDispatch(Checker& aChecker, uint64_t aUid, uint64_t aIncarnation, uint64_t aNumber);

/// Records that an upstream refuses a dispatch before running it.
void
RecordShed(Checker& aChecker, uint64_t aUid);

/// Records that an upstream runs a dispatch.
void
RecordRun(Checker& aChecker, uint64_t aUid);

/// Records that an instance reports a request as not run.
void
RecordNotRun(Checker& aChecker, const RequestKey& aKey);

/// Records that a caller has received all pieces of an answer.
void
RecordAnswer(Checker& aChecker, const RequestKey& aKey, const std::vector<std::string>& aPieces);

/// \return one piece of the answer that a run of a request produces.
std::string
AnswerBody(uint64_t aUid, uint64_t aRun, size_t aIndex, size_t aTotal);

/// Runs the checks that require all packets to have arrived.
void
FinishChecks(Checker& aChecker);

} // namespace RequestFakes
