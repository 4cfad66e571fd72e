#include "base/endpoint.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <tuple>
#include <vector>

namespace Base {

namespace {

constexpr size_t kOctets = 4;
constexpr uint32_t kMaxOctet = 255;
constexpr uint32_t kMaxPort = 65535;

absl::Status
BadEndpoint(absl::string_view aText)
{
  return absl::InvalidArgumentError(
    absl::StrCat("\"", aText, "\" is not an IPv4 endpoint a.b.c.d:port"));
}

bool
ParseNumber(absl::string_view aText, uint32_t aMax, uint32_t& aValue)
{
  const bool digitsOnly =
    !aText.empty() && aText.find_first_not_of("0123456789") == absl::string_view::npos;
  return digitsOnly && absl::SimpleAtoi(aText, &aValue) && aValue <= aMax;
}

} // namespace

bool
operator==(const Endpoint& aLeft, const Endpoint& aRight)
{
  return aLeft.mAddress == aRight.mAddress && aLeft.mPort == aRight.mPort;
}

bool
operator!=(const Endpoint& aLeft, const Endpoint& aRight)
{
  return !(aLeft == aRight);
}

bool
operator<(const Endpoint& aLeft, const Endpoint& aRight)
{
  return std::tie(aLeft.mAddress, aLeft.mPort) < std::tie(aRight.mAddress, aRight.mPort);
}

absl::StatusOr<Endpoint>
ParseEndpoint(absl::string_view aText)
{
  const std::vector<absl::string_view> parts = absl::StrSplit(aText, ':');
  if (parts.size() != 2) {
    return BadEndpoint(aText);
  }
  const std::vector<absl::string_view> octets = absl::StrSplit(parts[0], '.');
  if (octets.size() != kOctets) {
    return BadEndpoint(aText);
  }
  Endpoint endpoint;
  for (absl::string_view octet : octets) {
    uint32_t value = 0;
    if (!ParseNumber(octet, kMaxOctet, value)) {
      return BadEndpoint(aText);
    }
    endpoint.mAddress = (endpoint.mAddress << 8U) | value;
  }
  uint32_t port = 0;
  if (!ParseNumber(parts[1], kMaxPort, port) || port == 0) {
    return BadEndpoint(aText);
  }
  endpoint.mPort = static_cast<uint16_t>(port);
  return endpoint;
}

std::string
ToString(const Endpoint& aEndpoint)
{
  const uint32_t address = aEndpoint.mAddress;
  return absl::StrCat(address >> 24U,
                      ".",
                      (address >> 16U) & kMaxOctet,
                      ".",
                      (address >> 8U) & kMaxOctet,
                      ".",
                      address & kMaxOctet,
                      ":",
                      aEndpoint.mPort);
}

uint64_t
Pack(const Endpoint& aEndpoint)
{
  return (static_cast<uint64_t>(aEndpoint.mAddress) << 16U) | aEndpoint.mPort;
}

} // namespace Base
