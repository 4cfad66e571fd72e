#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Lwctl {

/// \return the explanation of an entry instance as text with one table for each service. Fields
/// that are missing or have another type, because the instance has another version, are shown as
/// "-".
std::string
ExplanationTable(const nlohmann::json& aExplanation);

} // namespace Lwctl
