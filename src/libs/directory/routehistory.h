#pragma once

#include "config.pb.h"
#include "fleet.pb.h"

#include <deque>

namespace Directory {

/// Newest declared versions at a control instance, so that entry instances can be told only what
/// changed. Bounded by kMaxVersions; filled again from the log after a restart.
struct RouteHistory
{
  /// Complete updates, oldest first.
  std::deque<lw::fleet::RouteUpdate> mVersions;
};

/// Takes a declaration into the history if it is the newest.
void
AddVersion(RouteHistory& aHistory, const lw::config::Declaration& aDeclaration);

/// \return the newest version, 0 without one.
uint64_t
NewestVersion(const RouteHistory& aHistory);

/// \return what an instance lacks that has this version in force: a difference if the version is
/// still known, else all routes. There must be a newer version.
lw::fleet::RouteUpdate
UpdateFrom(const RouteHistory& aHistory, uint64_t aVersion);

} // namespace Directory
