#pragma once

#include "base/ids.h"
#include "requests/event.h"

#include "absl/strings/string_view.h"
#include <cstdint>
#include <vector>

namespace Requests {

/// The numeric values are transmitted in flow transfers.
enum class RequestState : uint8_t
{
  Queued,
  Dispatched,
  Answered,
  /// The request has not run and must not run.
  Refused,
  /// The request was dispatched, but its outcome is unknown.
  Unknown
};

struct WindowEntry
{
  Base::RequestNumber mNumber;
  /// Distinguishes a duplicate from a different request with the same number; 0 if only a Cancel
  /// was received.
  uint32_t mDigest = 0;
  RequestState mState = RequestState::Queued;
  Event mReason = Event::None;
};

/// Number of request numbers whose state a flow keeps.
constexpr uint64_t kWindowSize = 64;

/// Sliding window over the highest request numbers of a flow, with at most kWindowSize entries. The
/// state of numbers below mBase is no longer known, so they are never dispatched.
struct Window
{
  Base::RequestNumber mBase{ 1 };
  /// Received numbers in ascending order.
  std::vector<WindowEntry> mEntries;
};

/// \return the entry of a request number, or nullptr if it was not received or is below the window.
WindowEntry*
FindEntry(Window& aWindow, Base::RequestNumber aNumber);

/// Adds a request number that is not below the window and has no entry, and advances the window if
/// necessary.
WindowEntry&
AddEntry(Window& aWindow, Base::RequestNumber aNumber, uint32_t aDigest);

/// \return a hash that identifies the contents of a request, never 0.
uint32_t
RequestDigest(absl::string_view aKind, bool aRepeatable, absl::string_view aBody);

} // namespace Requests
