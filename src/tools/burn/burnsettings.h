#pragma once

#include "base/endpoint.h"
#include "burn/burnrate.h"
#include "settings/reader.h"

#include <optional>
#include <string>
#include <vector>

namespace BurnTool {

/// Entry instance that serves its counters over HTTP.
struct HttpSource
{
  std::string mInstance;
  Base::Endpoint mEndpoint;
};

/// File with the counters of one instance at a known time.
struct SavedSource
{
  std::string mInstance;
  Burn::WallTime mTime{ 0 };
  std::string mPath;
};

struct BurnSettings
{
  std::vector<HttpSource> mInstances;
  std::vector<SavedSource> mSaved;
  std::vector<Burn::Objective> mObjectives;
  std::vector<Burn::WindowPair> mWindows;
  /// Time of the report; the current time if empty.
  std::optional<Burn::WallTime> mTime;
  /// Paths of the history and the reports; an empty path disables the file.
  std::string mHistoryPath;
  std::string mJsonPath;
  std::string mHtmlPath;
};

/// Reads the settings of lw-burn.
/// \return OK, or InvalidArgument that names the key.
absl::Status
ReadBurnSettings(Settings::Reader& aReader, BurnSettings& aSettings);

} // namespace BurnTool
