#pragma once

#include <cstdint>
#include <string>

constexpr uint64_t kFloodSeed = 1;

/// Which streams of requests exceed their guarantee.
enum class FloodSource
{
  WorkKind,
  OneClient
};

/// Checks the flood targets of docs/design.md for one service with floods of 10 times its capacity.
/// Runs last half of the default length.
void
CheckFloodTargets(const std::string& aService, FloodSource aSource);
