#include "wire/proxyheader.h"

#include <cstdint>

namespace Wire {

namespace {

constexpr absl::string_view kSignature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr size_t kFixedHeaderLength = 16;
constexpr size_t kAddressLength = 12;
constexpr uint8_t kVersion2ProxyCommand = 0x21;
constexpr uint8_t kUdpOverIpv4 = 0x12;

void
AppendUint16(uint16_t aValue, std::string& aOutput)
{
  aOutput.push_back(static_cast<char>(aValue >> 8U));
  aOutput.push_back(static_cast<char>(aValue & 0xFFU));
}

void
AppendUint32(uint32_t aValue, std::string& aOutput)
{
  AppendUint16(static_cast<uint16_t>(aValue >> 16U), aOutput);
  AppendUint16(static_cast<uint16_t>(aValue & 0xFFFFU), aOutput);
}

uint16_t
ReadUint16(absl::string_view aBytes, size_t aOffset)
{
  return static_cast<uint16_t>((static_cast<uint8_t>(aBytes[aOffset]) << 8U) |
                               static_cast<uint8_t>(aBytes[aOffset + 1]));
}

uint32_t
ReadUint32(absl::string_view aBytes, size_t aOffset)
{
  return (static_cast<uint32_t>(ReadUint16(aBytes, aOffset)) << 16U) |
         ReadUint16(aBytes, aOffset + 2);
}

} // namespace

void
AppendProxyHeader(const ProxyAddresses& aAddresses, std::string& aOutput)
{
  aOutput.append(kSignature.data(), kSignature.size());
  aOutput.push_back(static_cast<char>(kVersion2ProxyCommand));
  aOutput.push_back(static_cast<char>(kUdpOverIpv4));
  AppendUint16(kAddressLength, aOutput);
  AppendUint32(aAddresses.mSource.mAddress, aOutput);
  AppendUint32(aAddresses.mDestination.mAddress, aOutput);
  AppendUint16(aAddresses.mSource.mPort, aOutput);
  AppendUint16(aAddresses.mDestination.mPort, aOutput);
}

std::string
MakeProxiedDatagram(const ProxyAddresses& aAddresses, absl::string_view aPayload)
{
  std::string datagram;
  datagram.reserve(kProxyHeaderLength + aPayload.size());
  AppendProxyHeader(aAddresses, datagram);
  datagram.append(aPayload.data(), aPayload.size());
  return datagram;
}

absl::StatusOr<ProxiedDatagram>
ParseProxiedDatagram(absl::string_view aDatagram)
{
  if (aDatagram.size() < kFixedHeaderLength ||
      aDatagram.substr(0, kSignature.size()) != kSignature) {
    return absl::InvalidArgumentError("datagram has no PROXY protocol version 2 header");
  }
  if (static_cast<uint8_t>(aDatagram[12]) != kVersion2ProxyCommand ||
      static_cast<uint8_t>(aDatagram[13]) != kUdpOverIpv4) {
    return absl::InvalidArgumentError("PROXY header is not for UDP over IPv4");
  }
  const size_t length = ReadUint16(aDatagram, 14);
  if (length < kAddressLength) {
    return absl::InvalidArgumentError("PROXY header is too short for its addresses");
  }
  if (aDatagram.size() < kFixedHeaderLength + length) {
    return absl::InvalidArgumentError("PROXY header is longer than the datagram");
  }
  ProxiedDatagram parts;
  parts.mAddresses.mSource = { ReadUint32(aDatagram, 16), ReadUint16(aDatagram, 24) };
  parts.mAddresses.mDestination = { ReadUint32(aDatagram, 20), ReadUint16(aDatagram, 26) };
  parts.mPayload = aDatagram.substr(kFixedHeaderLength + length);
  return parts;
}

ProxyAddresses
Reversed(const ProxyAddresses& aAddresses)
{
  return { aAddresses.mDestination, aAddresses.mSource };
}

} // namespace Wire
