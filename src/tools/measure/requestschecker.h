#pragma once

#include "base/endpoint.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace RequestFakes {

/// Flow and request number as a caller sees them.
using Name = std::pair<uint64_t, uint64_t>;

/// Follows each request of a run by the unique id in its body and checks the rules of section 4 of
/// docs/design.md. It sees what the fakes see, not the state of the instances.
struct Checker
{
  struct Request
  {
    bool mIsRepeatable = false;
    /// Work ids of its dispatches; a copy made by the network has the same id.
    std::set<std::pair<uint64_t, uint64_t>> mDispatches;
    uint32_t mSheds = 0;
    uint32_t mRuns = 0;
    bool mHasNotRun = false;
  };
  std::map<uint64_t, Request> mRequests;
  std::map<Name, uint64_t> mByName;
  std::map<uint64_t, Base::Endpoint> mFlowCallers;
  std::set<std::string> mViolations;
};

/// A caller sends a request for the first time.
void
NoteSent(Checker& aChecker, uint64_t aUid, const Name& aName, bool aIsRepeatable);

/// An instance tells a caller about a new flow.
void
NoteOpened(Checker& aChecker, uint64_t aFlow, const Base::Endpoint& aCaller);

/// An instance sends something about a flow to a caller.
void
NoteToCaller(Checker& aChecker, uint64_t aFlow, const Base::Endpoint& aCaller);

/// An instance dispatches a request.
void
NoteDispatch(Checker& aChecker, uint64_t aUid, uint64_t aIncarnation, uint64_t aNumber);

/// An upstream refuses a dispatch before running it.
void
NoteShed(Checker& aChecker, uint64_t aUid);

/// An upstream runs a dispatch.
void
NoteRun(Checker& aChecker, uint64_t aUid);

/// An instance says "not run".
void
NoteNotRun(Checker& aChecker, const Name& aName);

/// A caller has all pieces of an answer.
void
NoteAnswer(Checker& aChecker, const Name& aName, const std::vector<std::string>& aPieces);

/// Piece of the answer of one run of a request.
std::string
AnswerBody(uint64_t aUid, uint64_t aRun, size_t aIndex, size_t aTotal);

/// Checks what is only known when all packets have arrived.
void
FinishChecks(Checker& aChecker);

} // namespace RequestFakes
