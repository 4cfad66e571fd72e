#pragma once

#include <string>

namespace Control {

/// Prints and verifies the contents of a data directory without modifying it.
/// \return the exit code.
int
InspectDirectory(const std::string& aPath);

} // namespace Control
