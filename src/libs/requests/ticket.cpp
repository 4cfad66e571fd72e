#include "requests/ticket.h"

#include <glog/logging.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <array>
#include <tuple>

namespace Requests {

namespace {

constexpr unsigned kIncarnationCounterBits = 32;
constexpr char kFormatVersion = 1;
constexpr size_t kBodyBytes = 35;
// A MAC of 128 bits is sufficient against forgery and keeps the ticket, which is part of every
// request, small.
constexpr size_t kMacBytes = 16;

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
ReadBigEndian(size_t aBytes, absl::string_view& aInput)
{
  uint64_t value = 0;
  for (size_t i = 0; i < aBytes; ++i) {
    value = (value << 8U) | static_cast<uint8_t>(aInput[i]);
  }
  aInput.remove_prefix(aBytes);
  return value;
}

std::string
ComputeMac(const TicketKey& aKey, absl::string_view aBody, const FlowAddresses& aAddresses)
{
  std::string covered(aBody);
  AppendBigEndian(Base::Pack(aAddresses.mCaller), sizeof(uint64_t), covered);
  AppendBigEndian(Base::Pack(aAddresses.mService), sizeof(uint64_t), covered);
  const std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(
    EVP_MAC_CTX_dup(aKey.mPrepared.get()), &EVP_MAC_CTX_free);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  size_t length = 0;
  const bool isComputed = context != nullptr &&
                          EVP_MAC_update(context.get(),
                                         reinterpret_cast<const unsigned char*>(covered.data()),
                                         covered.size()) == 1 &&
                          EVP_MAC_final(context.get(), digest.data(), &length, digest.size()) == 1;
  // Using a MAC of zeros after a failure would make forged tickets valid.
  CHECK(isComputed && length >= kMacBytes)
    << "[requests] Failed to compute HMAC-SHA256 with OpenSSL.";
  return std::string(reinterpret_cast<const char*>(digest.data()), kMacBytes);
}

} // namespace

TicketKey
MakeTicketKey(absl::string_view aSecret)
{
  EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  EVP_MAC_CTX* context = EVP_MAC_CTX_new(algorithm);
  EVP_MAC_free(algorithm);
  char digest[] = "SHA256";
  const OSSL_PARAM parameters[] = {
    OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0), OSSL_PARAM_construct_end()
  };
  const bool isReady =
    context != nullptr && EVP_MAC_init(context,
                                       reinterpret_cast<const unsigned char*>(aSecret.data()),
                                       aSecret.size(),
                                       parameters) == 1;
  CHECK(isReady) << "[requests] Failed to initialize HMAC-SHA256 with OpenSSL.";
  return { std::shared_ptr<const EVP_MAC_CTX>(context, [](const EVP_MAC_CTX* aContext) {
    EVP_MAC_CTX_free(const_cast<EVP_MAC_CTX*>(aContext));
  }) };
}

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
SealTicket(const TicketKey& aKey, const Ticket& aTicket, const FlowAddresses& aAddresses)
{
  std::string sealed;
  sealed.reserve(kBodyBytes + kMacBytes);
  sealed.push_back(kFormatVersion);
  AppendBigEndian(aTicket.mOwner.mInstance.mValue, 4, sealed);
  AppendBigEndian(aTicket.mOwner.mIncarnation.mValue, 8, sealed);
  AppendBigEndian(aTicket.mFlow.mValue, 8, sealed);
  AppendBigEndian(aTicket.mUpstream.mAddress, 4, sealed);
  AppendBigEndian(aTicket.mUpstream.mPort, 2, sealed);
  AppendBigEndian(aTicket.mGeneration.mValue, 8, sealed);
  sealed += ComputeMac(aKey, sealed, aAddresses);
  return sealed;
}

absl::StatusOr<Ticket>
OpenTicket(const TicketKey& aKey, absl::string_view aSealed, const FlowAddresses& aAddresses)
{
  if (aSealed.size() != kBodyBytes + kMacBytes || aSealed[0] != kFormatVersion) {
    return absl::InvalidArgumentError("ticket has a wrong length or format");
  }
  absl::string_view body = aSealed.substr(0, kBodyBytes);
  const std::string mac = ComputeMac(aKey, body, aAddresses);
  if (CRYPTO_memcmp(mac.data(), aSealed.data() + kBodyBytes, kMacBytes) != 0) {
    return absl::InvalidArgumentError("ticket has a wrong message authentication code");
  }
  body.remove_prefix(1);
  Ticket ticket;
  ticket.mOwner.mInstance = Base::InstanceId(static_cast<uint32_t>(ReadBigEndian(4, body)));
  ticket.mOwner.mIncarnation = Base::Incarnation(ReadBigEndian(8, body));
  ticket.mFlow = Base::FlowNumber(ReadBigEndian(8, body));
  ticket.mUpstream.mAddress = static_cast<uint32_t>(ReadBigEndian(4, body));
  ticket.mUpstream.mPort = static_cast<uint16_t>(ReadBigEndian(2, body));
  ticket.mGeneration = Base::ServiceGeneration(ReadBigEndian(8, body));
  return ticket;
}

} // namespace Requests
