#pragma once

#include "config.pb.h"
#include "fleet.pb.h"

#include <deque>

namespace Directory {

/// Latest configuration versions at a control instance, from which deltas for the entry instances
/// are computed. Holds at most kMaxVersions; refilled from the log after a restart.
struct RouteHistory
{
  /// Complete updates, oldest first.
  std::deque<lw::fleet::RouteUpdate> mVersions;
};

/// Appends a declaration to the history if its version is higher than all others.
void
AddVersion(RouteHistory& aHistory, const lw::config::Declaration& aDeclaration);

/// \return the newest version, or 0 if the history is empty.
uint64_t
NewestVersion(const RouteHistory& aHistory);

/// \return the update from aVersion to the newest version: a delta if aVersion is still in the
/// history, else all routes. The history must not be empty.
lw::fleet::RouteUpdate
UpdateFrom(const RouteHistory& aHistory, uint64_t aVersion);

} // namespace Directory
