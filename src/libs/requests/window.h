#pragma once

#include "base/ids.h"
#include "requests/event.h"

#include "absl/strings/string_view.h"
#include <cstdint>
#include <vector>

namespace Requests {

/// Numeric values are part of the handover message.
enum class RequestState : uint8_t
{
  Queued,
  Dispatched,
  Answered,
  /// It has not run and must not run.
  Refused,
  /// It was dispatched and its outcome was not seen.
  Unknown
};

struct WindowEntry
{
  Base::RequestNumber mNumber;
  /// Tells a duplicate from another request under the same number; 0 if only a Cancel was seen.
  uint32_t mDigest = 0;
  RequestState mState = RequestState::Queued;
  Event mReason = Event::None;
};

/// Number of request numbers whose state a flow remembers.
constexpr uint64_t kWindowSize = 64;

/// The newest request numbers of a flow. Numbers below mBase are forgotten and never dispatched.
/// Owned by the flow; at most kWindowSize entries.
struct Window
{
  Base::RequestNumber mBase{ 1 };
  /// Seen numbers in increasing order.
  std::vector<WindowEntry> mEntries;
};

/// \return the entry of a number that was seen and is not below the window, or nullptr.
WindowEntry*
FindEntry(Window& aWindow, Base::RequestNumber aNumber);

/// Adds a number that is not below the window and was not seen, and moves the window up to hold it.
WindowEntry&
AddEntry(Window& aWindow, Base::RequestNumber aNumber, uint32_t aDigest);

/// \return a hash of what makes two requests the same, never 0.
uint32_t
RequestDigest(absl::string_view aKind, bool aRepeatable, absl::string_view aBody);

} // namespace Requests
