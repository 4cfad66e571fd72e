#include "base/jsontext.h"

#include <nlohmann/json.hpp>

namespace Base {

std::string
DumpJson(const nlohmann::json& aValue, int aIndent)
{
  // The default error handler throws on invalid UTF-8.
  return aValue.dump(aIndent, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace Base
