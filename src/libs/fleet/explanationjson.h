#pragma once

#include "steering/explanation.h"

#include <nlohmann/json_fwd.hpp>

namespace Fleet {

/// \return the explanation with the field names of the event log where it has the same values.
nlohmann::json
ToJson(const Steering::Explanation& aExplanation, const std::string& aAvailabilityZone);

} // namespace Fleet
