#include "base/hash.h"

#include <xxhash.h>

namespace Base {

uint64_t
StableHash(std::initializer_list<uint64_t> aValues)
{
  return XXH64(aValues.begin(), aValues.size() * sizeof(uint64_t), 0);
}

uint64_t
StableHash(absl::string_view aBytes)
{
  return XXH64(aBytes.data(), aBytes.size(), 0);
}

} // namespace Base
