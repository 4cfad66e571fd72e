#pragma once

#include <string>

namespace Control {

/// Prints and verifies a data directory without changing it.
/// \return the exit code.
int
InspectDirectory(const std::string& aPath);

} // namespace Control
