#include "requests/window.h"

#include "base/hash.h"

#include <algorithm>

namespace Requests {

namespace {

std::vector<WindowEntry>::iterator
LowerBound(Window& aWindow, Base::RequestNumber aNumber)
{
  return std::lower_bound(
    aWindow.mEntries.begin(),
    aWindow.mEntries.end(),
    aNumber,
    [](const WindowEntry& aEntry, Base::RequestNumber aOther) { return aEntry.mNumber < aOther; });
}

} // namespace

WindowEntry*
FindEntry(Window& aWindow, Base::RequestNumber aNumber)
{
  const auto found = LowerBound(aWindow, aNumber);
  const bool hit = found != aWindow.mEntries.end() && found->mNumber == aNumber;
  return hit ? &*found : nullptr;
}

WindowEntry&
AddEntry(Window& aWindow, Base::RequestNumber aNumber, uint32_t aDigest)
{
  if (aNumber.mValue >= kWindowSize && aNumber.mValue - kWindowSize >= aWindow.mBase.mValue) {
    aWindow.mBase = Base::RequestNumber(aNumber.mValue - kWindowSize + 1);
    aWindow.mEntries.erase(aWindow.mEntries.begin(), LowerBound(aWindow, aWindow.mBase));
  }
  WindowEntry entry;
  entry.mNumber = aNumber;
  entry.mDigest = aDigest;
  return *aWindow.mEntries.insert(LowerBound(aWindow, aNumber), entry);
}

uint32_t
RequestDigest(absl::string_view aKind, bool aRepeatable, absl::string_view aBody)
{
  const uint64_t hash = Base::StableHash(
    { Base::StableHash(aKind), static_cast<uint64_t>(aRepeatable), Base::StableHash(aBody) });
  return std::max<uint32_t>(1, static_cast<uint32_t>(hash));
}

} // namespace Requests
