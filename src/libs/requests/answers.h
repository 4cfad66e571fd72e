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

/// Identifies a request globally; flow numbers are never reused.
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

/// Pieces received so far of the answer to one dispatch attempt. Its lifetime is that of the
/// attempt.
struct AnswerAssembly
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
  /// The index or total is out of range or inconsistent with an earlier piece.
  Invalid,
  TooLarge
};

/// Adds one numbered piece.
/// \param aMaxBytes is the size limit of the complete answer.
PieceResult
AddPiece(AnswerAssembly& aAssembly,
         uint32_t aIndex,
         uint32_t aTotal,
         absl::string_view aBody,
         size_t aMaxBytes);

/// Cache of complete answers, resent when a duplicate of the request arrives. It is local to the
/// dispatcher and not replicated; it is limited by size and age, and the oldest entry is evicted
/// first.
struct AnswerStore
{
  struct Answer
  {
    std::vector<std::string> mPieces;
    size_t mBytes = 0;
    Base::TimePoint mExpiry;
  };
  std::unordered_map<CallKey, Answer, CallKeyHash> mAnswers;
  /// Keys in insertion order.
  std::deque<CallKey> mOrder;
  size_t mBytes = 0;
};

/// Stores an answer and evicts the oldest ones to stay within aMaxBytes. An answer larger than
/// aMaxBytes is not stored.
void
StoreAnswer(AnswerStore& aStore,
            const CallKey& aKey,
            std::vector<std::string> aPieces,
            size_t aMaxBytes,
            Base::TimePoint aExpiry);

/// \return the pieces, or nullptr if the answer is not stored or has expired.
const std::vector<std::string>*
FindAnswer(const AnswerStore& aStore, const CallKey& aKey, Base::TimePoint aNow);

/// Evicts expired answers, and then the oldest ones until the store holds at most aMaxBytes.
void
TrimAnswers(AnswerStore& aStore, size_t aMaxBytes, Base::TimePoint aNow);

} // namespace Requests
