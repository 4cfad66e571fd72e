#pragma once

#include "burn/burnrate.h"

#include <string>

namespace Burn {

/// \return a self-contained HTML page with one SVG plot for each objective.
std::string
ToHtml(const Report& aReport);

} // namespace Burn
