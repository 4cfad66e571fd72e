#include "eventlog/line.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace EventLog {

namespace {

std::string
QuoteJson(absl::string_view aText)
{
  // External names and texts may contain arbitrary bytes; invalid UTF-8 is replaced.
  return nlohmann::json(std::string(aText))
    .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace

Line::Line(absl::string_view aKind)
  : mKind(aKind)
{
}

Line&
Line::Add(absl::string_view aName, absl::string_view aValue)
{
  absl::StrAppend(&mFields, ",\"", aName, "\":", QuoteJson(aValue));
  return *this;
}

Line&
Line::Add(absl::string_view aName, int64_t aValue)
{
  absl::StrAppend(&mFields, ",\"", aName, "\":", aValue);
  return *this;
}

} // namespace EventLog
