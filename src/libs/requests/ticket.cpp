#include "requests/ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <tuple>

namespace Requests {

namespace {

constexpr unsigned kIncarnationCounterBits = 32;
constexpr char kFormat = 1;
constexpr size_t kBodyBytes = 35;
// 128 bits of the code are enough against forgery and keep the ticket small in every request.
constexpr size_t kCodeBytes = 16;

uint64_t
RandomPart(Base::Incarnation aIncarnation)
{
  return aIncarnation.mValue >> kIncarnationCounterBits;
}

void
AppendBigEndian(uint64_t aValue, size_t aBytes, std::string& aOutput)
{
  for (size_t i = aBytes; i-- > 0;) {
    aOutput.push_back(static_cast<char>((aValue >> (8 * i)) & 0xFFU));
  }
}

uint64_t
TakeBigEndian(size_t aBytes, absl::string_view& aInput)
{
  uint64_t value = 0;
  for (size_t i = 0; i < aBytes; ++i) {
    value = (value << 8U) | static_cast<uint8_t>(aInput[i]);
  }
  aInput.remove_prefix(aBytes);
  return value;
}

std::string
Code(absl::string_view aKey, absl::string_view aBody, const FlowAddresses& aAddresses)
{
  std::string covered(aBody);
  AppendBigEndian(Base::Pack(aAddresses.mCaller), sizeof(uint64_t), covered);
  AppendBigEndian(Base::Pack(aAddresses.mService), sizeof(uint64_t), covered);
  unsigned char digest[EVP_MAX_MD_SIZE] = {};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(covered.data()),
       covered.size(),
       digest,
       &length);
  return std::string(reinterpret_cast<const char*>(digest), kCodeBytes);
}

} // namespace

bool
IsSameRun(const Run& aLeft, const Run& aRight)
{
  return aLeft.mInstance == aRight.mInstance &&
         RandomPart(aLeft.mIncarnation) == RandomPart(aRight.mIncarnation);
}

bool
operator<(const Run& aLeft, const Run& aRight)
{
  return std::make_tuple(aLeft.mInstance, RandomPart(aLeft.mIncarnation)) <
         std::make_tuple(aRight.mInstance, RandomPart(aRight.mIncarnation));
}

std::string
SealTicket(absl::string_view aKey, const Ticket& aTicket, const FlowAddresses& aAddresses)
{
  std::string sealed;
  sealed.reserve(kBodyBytes + kCodeBytes);
  sealed.push_back(kFormat);
  AppendBigEndian(aTicket.mOwner.mInstance.mValue, 4, sealed);
  AppendBigEndian(aTicket.mOwner.mIncarnation.mValue, 8, sealed);
  AppendBigEndian(aTicket.mFlow.mValue, 8, sealed);
  AppendBigEndian(aTicket.mUpstream.mAddress, 4, sealed);
  AppendBigEndian(aTicket.mUpstream.mPort, 2, sealed);
  AppendBigEndian(aTicket.mGeneration.mValue, 8, sealed);
  sealed += Code(aKey, sealed, aAddresses);
  return sealed;
}

absl::StatusOr<Ticket>
OpenTicket(absl::string_view aKey, absl::string_view aSealed, const FlowAddresses& aAddresses)
{
  if (aSealed.size() != kBodyBytes + kCodeBytes || aSealed[0] != kFormat) {
    return absl::InvalidArgumentError("ticket has a wrong length or format");
  }
  absl::string_view body = aSealed.substr(0, kBodyBytes);
  const std::string code = Code(aKey, body, aAddresses);
  if (CRYPTO_memcmp(code.data(), aSealed.data() + kBodyBytes, kCodeBytes) != 0) {
    return absl::InvalidArgumentError("ticket has a wrong message authentication code");
  }
  body.remove_prefix(1);
  Ticket ticket;
  ticket.mOwner.mInstance = Base::InstanceId(static_cast<uint32_t>(TakeBigEndian(4, body)));
  ticket.mOwner.mIncarnation = Base::Incarnation(TakeBigEndian(8, body));
  ticket.mFlow = Base::FlowNumber(TakeBigEndian(8, body));
  ticket.mUpstream.mAddress = static_cast<uint32_t>(TakeBigEndian(4, body));
  ticket.mUpstream.mPort = static_cast<uint16_t>(TakeBigEndian(2, body));
  ticket.mGeneration = Base::ServiceGeneration(TakeBigEndian(8, body));
  return ticket;
}

} // namespace Requests
