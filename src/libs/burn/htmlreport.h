#pragma once

#include "burn/burnrate.h"

#include <string>

namespace Burn {

/// \return a page that needs no other file, with one SVG plot for each objective.
std::string
ToHtml(const Report& aReport);

} // namespace Burn
