#pragma once

#include <cstdint>
#include <string>

constexpr uint64_t kFloodSeed = 1;

enum class FloodOf
{
  Kinds,
  OneClient
};

/// Checks the targets of docs/design.md with floods at 10 times, at half of the usual length.
void
CheckFloodTargets(const std::string& aService, FloodOf aFloodOf);
