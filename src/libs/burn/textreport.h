#pragma once

#include "burn/burnrate.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Burn {

/// \return the length of a window with its unit, for example "5 min" or "6 h".
std::string
WindowName(std::chrono::seconds aWindow);

std::string
ToText(const Report& aReport);

nlohmann::json
ToJson(const Report& aReport);

} // namespace Burn
