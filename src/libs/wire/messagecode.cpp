#include "wire/messagecode.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace Wire {

std::string
MessageCode(absl::string_view aKey, absl::string_view aMessage)
{
  unsigned char digest[EVP_MAX_MD_SIZE] = {};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aMessage.data()),
       aMessage.size(),
       digest,
       &length);
  return { reinterpret_cast<const char*>(digest), kMessageCodeLength };
}

bool
IsMessageCode(absl::string_view aKey, absl::string_view aMessage, absl::string_view aCode)
{
  const std::string expected = MessageCode(aKey, aMessage);
  return aCode.size() == expected.size() &&
         CRYPTO_memcmp(expected.data(), aCode.data(), expected.size()) == 0;
}

} // namespace Wire
