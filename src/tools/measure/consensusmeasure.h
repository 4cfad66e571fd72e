#pragma once

#include <cstdint>

/// Measures the configuration log with three replicas in this process: changes per second, time to
/// accept a change, bytes and messages per change, and recovery times. Files are written and synced
/// in a temporary directory, which is removed afterwards.
/// \return the exit code.
int
RunConsensusMeasure(uint64_t aSeed, bool aJson);
