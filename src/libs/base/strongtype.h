#pragma once

#include <cstddef>
#include <functional>
#include <ostream>

namespace Base {

/// Wraps an integer so that ids and counters of different meaning cannot be confused.
/// \tparam Tag makes the type unique.
/// \tparam Rep is the underlying integer type.
template<typename Tag, typename Rep>
struct StrongType
{
  using ValueType = Rep;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep aValue)
    : mValue(aValue)
  {
  }

  friend constexpr bool operator==(StrongType aLeft, StrongType aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend constexpr bool operator!=(StrongType aLeft, StrongType aRight)
  {
    return aLeft.mValue != aRight.mValue;
  }
  friend constexpr bool operator<(StrongType aLeft, StrongType aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
  friend constexpr bool operator>(StrongType aLeft, StrongType aRight) { return aRight < aLeft; }
  friend constexpr bool operator<=(StrongType aLeft, StrongType aRight)
  {
    return !(aRight < aLeft);
  }
  friend constexpr bool operator>=(StrongType aLeft, StrongType aRight)
  {
    return !(aLeft < aRight);
  }
  friend std::ostream& operator<<(std::ostream& aStream, StrongType aValue)
  {
    return aStream << +aValue.mValue;
  }

  Rep mValue = 0;
};

} // namespace Base

namespace std {

template<typename Tag, typename Rep>
struct hash<Base::StrongType<Tag, Rep>>
{
  size_t operator()(Base::StrongType<Tag, Rep> aValue) const
  {
    return std::hash<Rep>()(aValue.mValue);
  }
};

} // namespace std
