#include "program/randomseed.h"

#include <random>

namespace Program {

uint64_t
RandomSeed()
{
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

} // namespace Program
