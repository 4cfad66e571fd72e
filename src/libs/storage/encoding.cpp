#include "storage/encoding.h"

#include <array>

namespace Storage::Internal {

namespace {

constexpr size_t kChecksumBytes = 4;

std::array<uint32_t, 256>
MakeTable()
{
  constexpr uint32_t kReversedPolynomial = 0x82F63B78;
  std::array<uint32_t, 256> table{};
  for (uint32_t i = 0; i < table.size(); ++i) {
    uint32_t value = i;
    for (int bit = 0; bit < 8; ++bit) {
      value = (value >> 1U) ^ ((value & 1U) != 0 ? kReversedPolynomial : 0U);
    }
    table[i] = value;
  }
  return table;
}

template<typename Integer>
void
PutLittleEndian(std::string& aBytes, Integer aValue)
{
  for (size_t i = 0; i < sizeof(Integer); ++i) {
    aBytes.push_back(static_cast<char>((aValue >> (8 * i)) & 0xFFU));
  }
}

template<typename Integer>
Integer
LittleEndian(absl::string_view aBytes, size_t aOffset)
{
  Integer value = 0;
  for (size_t i = 0; i < sizeof(Integer); ++i) {
    value |= static_cast<Integer>(static_cast<unsigned char>(aBytes[aOffset + i])) << (8 * i);
  }
  return value;
}

} // namespace

uint32_t
Crc32c(absl::string_view aBytes)
{
  static const std::array<uint32_t, 256> sTable = MakeTable();
  uint32_t crc = 0xFFFFFFFFU;
  for (const char byte : aBytes) {
    crc = sTable[(crc ^ static_cast<unsigned char>(byte)) & 0xFFU] ^ (crc >> 8U);
  }
  return ~crc;
}

void
PutFixed32(std::string& aBytes, uint32_t aValue)
{
  PutLittleEndian(aBytes, aValue);
}

void
PutFixed64(std::string& aBytes, uint64_t aValue)
{
  PutLittleEndian(aBytes, aValue);
}

void
PutChecksum(std::string& aBytes)
{
  PutFixed32(aBytes, Crc32c(aBytes));
}

uint32_t
ReadFixed32(absl::string_view aBytes, size_t aOffset)
{
  return LittleEndian<uint32_t>(aBytes, aOffset);
}

uint64_t
ReadFixed64(absl::string_view aBytes, size_t aOffset)
{
  return LittleEndian<uint64_t>(aBytes, aOffset);
}

bool
HasValidChecksum(absl::string_view aBytes)
{
  if (aBytes.size() < kChecksumBytes) {
    return false;
  }
  const size_t end = aBytes.size() - kChecksumBytes;
  return ReadFixed32(aBytes, end) == Crc32c(aBytes.substr(0, end));
}

} // namespace Storage::Internal
