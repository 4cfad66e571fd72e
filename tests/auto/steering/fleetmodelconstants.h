#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

constexpr size_t kControls = 3;
constexpr size_t kEntries = 3;
/// Maximum time until a departure is known, and until a configuration is in force.
constexpr std::chrono::milliseconds kDrainBound{ 3000 };
constexpr std::chrono::milliseconds kApplyBound{ 3000 };
/// Maximum time until a committed change of the evacuations is in force.
constexpr std::chrono::milliseconds kEvacuationBound{ 5000 };
constexpr uint64_t kMillion = 1000000;
/// Enough for all flows of the model, so that none is held.
constexpr uint32_t kSlots = 10000;
const Base::Endpoint kRoute{ 0x0a000001, 80 };
