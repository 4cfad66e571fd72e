#pragma once

#include "base/ids.h"
#include "base/runtimeclock.h"

#include "absl/strings/string_view.h"
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Requests {

/// Identifies a request within the system, because flow numbers do not repeat.
struct CallKey
{
  Base::FlowNumber mFlow;
  Base::RequestNumber mNumber;
};

bool
operator==(const CallKey& aLeft, const CallKey& aRight);
bool
operator<(const CallKey& aLeft, const CallKey& aRight);

struct CallKeyHash
{
  size_t operator()(const CallKey& aKey) const;
};

/// Pieces of the answer to one dispatch. Owned by the dispatch and dropped with it.
struct Assembly
{
  std::vector<std::string> mPieces;
  std::vector<bool> mPresent;
  size_t mMissing = 0;
  size_t mBytes = 0;
};

enum class PieceResult
{
  Added,
  Complete,
  Duplicate,
  /// Index or total contradicts the piece itself or an earlier one.
  Bad,
  TooLarge
};

/// Adds one numbered piece.
/// \param aMaxBytes bounds the bytes of the whole answer.
PieceResult
AddPiece(Assembly& aAssembly,
         uint32_t aIndex,
         uint32_t aTotal,
         absl::string_view aBody,
         size_t aMaxBytes);

/// Finished answers that duplicates of their requests get again. Owned by the dispatcher and lost
/// with it; bounded in bytes and in time, the oldest goes first.
struct AnswerStore
{
  struct Answer
  {
    std::vector<std::string> mPieces;
    size_t mBytes = 0;
    Base::TimePoint mExpiry;
  };
  std::unordered_map<CallKey, Answer, CallKeyHash> mAnswers;
  /// Keys in the order of storing.
  std::deque<CallKey> mOrder;
  size_t mBytes = 0;
};

/// Stores an answer and evicts the oldest ones above the bound. An answer larger than the bound is
/// not stored.
void
StoreAnswer(AnswerStore& aStore,
            const CallKey& aKey,
            std::vector<std::string> aPieces,
            size_t aMaxBytes,
            Base::TimePoint aExpiry);

/// \return the pieces, or nullptr if the answer is not stored or has expired.
const std::vector<std::string>*
FindAnswer(const AnswerStore& aStore, const CallKey& aKey, Base::TimePoint aNow);

/// Drops expired answers, and the oldest ones until at most aMaxBytes remain.
void
TrimAnswers(AnswerStore& aStore, size_t aMaxBytes, Base::TimePoint aNow);

} // namespace Requests
