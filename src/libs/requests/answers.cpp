#include "requests/answers.h"

#include "base/hash.h"

#include <tuple>
#include <utility>

namespace Requests {

namespace {

// Limits the memory that a single corrupt piece can cause to be allocated to 0.5 MB. With pieces of
// 1,200 bytes this allows answers of 19 MB, which is more than the answer store holds.
constexpr uint32_t kMaxPieces = 16384;
// Estimated bookkeeping memory per stored piece and per stored answer, in bytes.
constexpr size_t kPieceOverhead = 48;
constexpr size_t kAnswerOverhead = 128;

void
DropOldest(AnswerStore& aStore)
{
  const auto found = aStore.mAnswers.find(aStore.mOrder.front());
  aStore.mBytes -= found->second.mBytes;
  aStore.mAnswers.erase(found);
  aStore.mOrder.pop_front();
}

} // namespace

bool
operator==(const CallKey& aLeft, const CallKey& aRight)
{
  return aLeft.mFlow == aRight.mFlow && aLeft.mNumber == aRight.mNumber;
}

bool
operator<(const CallKey& aLeft, const CallKey& aRight)
{
  return std::tie(aLeft.mFlow, aLeft.mNumber) < std::tie(aRight.mFlow, aRight.mNumber);
}

size_t
CallKeyHash::operator()(const CallKey& aKey) const
{
  return Base::StableHash({ aKey.mFlow.mValue, aKey.mNumber.mValue });
}

PieceResult
AddPiece(AnswerAssembly& aAssembly,
         uint32_t aIndex,
         uint32_t aTotal,
         absl::string_view aBody,
         size_t aMaxBytes)
{
  const bool isFirst = aAssembly.mPieces.empty();
  if (aTotal == 0 || aTotal > kMaxPieces || aIndex >= aTotal ||
      (!isFirst && aAssembly.mPieces.size() != aTotal)) {
    return PieceResult::Invalid;
  }
  if (aAssembly.mBytes + aBody.size() > aMaxBytes) {
    return PieceResult::TooLarge;
  }
  if (isFirst) {
    aAssembly.mPieces.resize(aTotal);
    aAssembly.mPresent.resize(aTotal, false);
    aAssembly.mMissing = aTotal;
  }
  if (aAssembly.mPresent[aIndex]) {
    return PieceResult::Duplicate;
  }
  aAssembly.mPieces[aIndex].assign(aBody.data(), aBody.size());
  aAssembly.mPresent[aIndex] = true;
  aAssembly.mBytes += aBody.size();
  --aAssembly.mMissing;
  return aAssembly.mMissing == 0 ? PieceResult::Complete : PieceResult::Added;
}

void
StoreAnswer(AnswerStore& aStore,
            const CallKey& aKey,
            std::vector<std::string> aPieces,
            size_t aMaxBytes,
            Base::TimePoint aExpiry)
{
  AnswerStore::Answer answer;
  answer.mBytes = kAnswerOverhead;
  for (const std::string& piece : aPieces) {
    answer.mBytes += kPieceOverhead + piece.size();
  }
  if (answer.mBytes > aMaxBytes || aStore.mAnswers.count(aKey) != 0) {
    return;
  }
  while (!aStore.mOrder.empty() && aStore.mBytes + answer.mBytes > aMaxBytes) {
    DropOldest(aStore);
  }
  answer.mPieces = std::move(aPieces);
  answer.mExpiry = aExpiry;
  aStore.mBytes += answer.mBytes;
  aStore.mAnswers.emplace(aKey, std::move(answer));
  aStore.mOrder.push_back(aKey);
}

const std::vector<std::string>*
FindAnswer(const AnswerStore& aStore, const CallKey& aKey, Base::TimePoint aNow)
{
  const auto found = aStore.mAnswers.find(aKey);
  const bool hit = found != aStore.mAnswers.end() && aNow < found->second.mExpiry;
  return hit ? &found->second.mPieces : nullptr;
}

void
TrimAnswers(AnswerStore& aStore, size_t aMaxBytes, Base::TimePoint aNow)
{
  while (!aStore.mOrder.empty() &&
         (aStore.mBytes > aMaxBytes || aStore.mAnswers.at(aStore.mOrder.front()).mExpiry <= aNow)) {
    DropOldest(aStore);
  }
}

} // namespace Requests
