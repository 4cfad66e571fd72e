#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Base {

/// Serializes a JSON value on one line or, with an indentation, on several ones. Strings may
/// contain arbitrary bytes, for example a quotation of received data: bytes that are not UTF-8 are
/// replaced by U+FFFD. \param aIndent is the number of spaces for each level, or negative for a
/// single line. \return valid JSON that consists of ASCII characters only.
std::string
DumpJson(const nlohmann::json& aValue, int aIndent = -1);

} // namespace Base
