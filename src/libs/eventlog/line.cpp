#include "eventlog/line.h"

#include "absl/strings/str_cat.h"
#include "base/jsontext.h"

#include <nlohmann/json.hpp>

namespace EventLog {

namespace {

/// A longer value is cut, because it may quote received data of any size.
constexpr size_t kMaxValueBytes = 1024;

} // namespace

Line::Line(absl::string_view aKind)
  : mKind(aKind)
{
}

Line&
Line::Add(absl::string_view aName, absl::string_view aValue)
{
  absl::StrAppend(
    &mFields, ",\"", aName, "\":", Base::DumpJson(std::string(aValue.substr(0, kMaxValueBytes))));
  return *this;
}

Line&
Line::Add(absl::string_view aName, int64_t aValue)
{
  absl::StrAppend(&mFields, ",\"", aName, "\":", aValue);
  return *this;
}

} // namespace EventLog
