#pragma once

#include "absl/status/statusor.h"
#include "burn/history.h"

#include <string>

namespace BurnTool {

/// \return one line for each instance and time: a JSON object with time, instance and values.
std::string
FormatHistory(const Burn::History& aHistory);

/// \return the history, or DataLoss with the number of the invalid line.
absl::StatusOr<Burn::History>
ParseHistory(const std::string& aText);

} // namespace BurnTool
