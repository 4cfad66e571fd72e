#pragma once

#include "burn/burnrate.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Burn {

/// \return "5 min", "6 h" and the like.
std::string
WindowName(std::chrono::seconds aWindow);

std::string
ToText(const Report& aReport);

nlohmann::json
ToJson(const Report& aReport);

} // namespace Burn
