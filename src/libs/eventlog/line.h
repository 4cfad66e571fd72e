#pragma once

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>

namespace EventLog {

/// Builds the JSON object of one event, field by field.
class Line
{
public:
  /// \param aKind is the type of the event; lines are rate-limited and counted per kind.
  explicit Line(absl::string_view aKind);

  Line& Add(absl::string_view aName, absl::string_view aValue);
  Line& Add(absl::string_view aName, int64_t aValue);

  const std::string& Kind() const { return mKind; }
  /// \return the fields after the kind, each with a leading comma.
  const std::string& Fields() const { return mFields; }

private:
  std::string mKind;
  std::string mFields;
};

} // namespace EventLog
