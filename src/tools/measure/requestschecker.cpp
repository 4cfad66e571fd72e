#include "measure/requestschecker.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace RequestFakes {

namespace {

void
Report(Checker& aChecker, const std::string& aText)
{
  constexpr size_t kMaxReports = 50;
  if (aChecker.mViolations.size() < kMaxReports) {
    aChecker.mViolations.insert(aText);
  }
}

} // namespace

void
RecordSent(Checker& aChecker, uint64_t aUid, const RequestKey& aKey, bool aIsRepeatable)
{
  aChecker.mRequests[aUid].mIsRepeatable = aIsRepeatable;
  aChecker.mByKey[aKey] = aUid;
}

void
RecordOpened(Checker& aChecker, uint64_t aFlow, const Base::Endpoint& aCaller)
{
  const auto [entry, isNew] = aChecker.mFlowCallers.emplace(aFlow, aCaller);
  if (!isNew && entry->second != aCaller) {
    Report(aChecker, absl::StrCat("flow ", aFlow, " was opened for two callers"));
  }
}

void
RecordToCaller(Checker& aChecker, uint64_t aFlow, const Base::Endpoint& aCaller)
{
  const auto flow = aChecker.mFlowCallers.find(aFlow);
  if (flow == aChecker.mFlowCallers.end() || flow->second != aCaller) {
    Report(aChecker, absl::StrCat("a packet of flow ", aFlow, " went to another caller"));
  }
}

void
RecordDispatch(Checker& aChecker, uint64_t aUid, uint64_t aIncarnation, uint64_t aNumber)
{
  Checker::Request& request = aChecker.mRequests[aUid];
  request.mDispatches.insert({ aIncarnation, aNumber });
  if (!request.mIsRepeatable && request.mDispatches.size() > request.mSheds + 1) {
    Report(aChecker, absl::StrCat("non-idempotent request ", aUid, " was dispatched twice"));
  }
}

void
RecordShed(Checker& aChecker, uint64_t aUid)
{
  ++aChecker.mRequests[aUid].mSheds;
}

void
RecordRun(Checker& aChecker, uint64_t aUid)
{
  Checker::Request& request = aChecker.mRequests[aUid];
  ++request.mRuns;
  if (!request.mIsRepeatable && request.mRuns > 1) {
    Report(aChecker, absl::StrCat("non-idempotent request ", aUid, " ran twice"));
  }
}

void
RecordNotRun(Checker& aChecker, const RequestKey& aKey)
{
  const auto uid = aChecker.mByKey.find(aKey);
  if (uid != aChecker.mByKey.end()) {
    aChecker.mRequests[uid->second].mHasNotRun = true;
  }
}

std::string
AnswerBody(uint64_t aUid, uint64_t aRun, size_t aIndex, size_t aTotal)
{
  return absl::StrCat(aUid, ":", aRun, ":", aIndex, ":", aTotal);
}

void
RecordAnswer(Checker& aChecker, const RequestKey& aKey, const std::vector<std::string>& aPieces)
{
  const auto uid = aChecker.mByKey.find(aKey);
  const std::vector<std::string> parts = absl::StrSplit(aPieces.at(0), ':');
  uint64_t run = 0;
  if (uid == aChecker.mByKey.end() || parts.size() != 4 || !absl::SimpleAtoi(parts[1], &run)) {
    Report(aChecker, absl::StrCat("an answer of flow ", aKey.first, " is of no request"));
    return;
  }
  for (size_t i = 0; i < aPieces.size(); ++i) {
    if (aPieces[i] != AnswerBody(uid->second, run, i, aPieces.size())) {
      Report(aChecker, absl::StrCat("request ", uid->second, " got a wrong piece ", aPieces[i]));
    }
  }
}

void
FinishChecks(Checker& aChecker)
{
  for (const auto& [uid, request] : aChecker.mRequests) {
    // Stricter than checking whether the request ran: an instance cannot know that the network lost
    // a dispatch.
    if (request.mHasNotRun && (request.mRuns > 0 || request.mDispatches.size() > request.mSheds)) {
      Report(aChecker, absl::StrCat("request ", uid, " was dispatched and got \"not run\""));
    }
  }
}

} // namespace RequestFakes
