#pragma once

#include "absl/status/statusor.h"

#include "absl/strings/string_view.h"
#include <cstdint>
#include <functional>
#include <string>

namespace Base {

/// IPv4 address and port, both in host byte order.
struct Endpoint
{
  uint32_t mAddress = 0;
  uint16_t mPort = 0;
};

bool
operator==(const Endpoint& aLeft, const Endpoint& aRight);
bool
operator!=(const Endpoint& aLeft, const Endpoint& aRight);
bool
operator<(const Endpoint& aLeft, const Endpoint& aRight);

/// Parses "a.b.c.d:port".
/// \return the endpoint, or InvalidArgument that quotes the text.
absl::StatusOr<Endpoint>
ParseEndpoint(absl::string_view aText);

/// \return "a.b.c.d:port".
std::string
ToString(const Endpoint& aEndpoint);

/// Packs address and port into one integer, for hashing.
uint64_t
Pack(const Endpoint& aEndpoint);

} // namespace Base

namespace std {

template<>
struct hash<Base::Endpoint>
{
  size_t operator()(const Base::Endpoint& aEndpoint) const
  {
    return std::hash<uint64_t>()(Base::Pack(aEndpoint) * 0x9E3779B97F4A7C15ULL);
  }
};

} // namespace std
