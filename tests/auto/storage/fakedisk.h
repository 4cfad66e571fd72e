#pragma once

#include "base/random.h"
#include "storage/fileport.h"

#include <limits>
#include <map>
#include <set>
#include <string>

/// A disk in memory that loses what was not synced when it crashes, tears unsynced writes, and
/// fails on request.
class FakeDisk
{
public:
  explicit FakeDisk(uint64_t aSeed)
    : mRandom{ aSeed }
  {
  }

  /// The port refers to this disk, which must outlive it.
  Storage::FilePort Port();

  /// Loses power: of what was not synced, a random part survives, possibly with wrong bytes.
  void Crash();

  /// Loses everything, like a replaced disk.
  void Wipe();

  /// Writes and syncs that still succeed before the disk is full.
  uint64_t mOperationsLeft = std::numeric_limits<uint64_t>::max();
  /// The seeded fault: syncs report success without making anything durable.
  bool mSkipSyncs = false;
  uint64_t mSyncs = 0;

  /// Current contents by path, for damaging them.
  std::map<std::string, std::string> mFiles;

private:
  absl::Status Spend(const std::string& aPath, const char* aOperation);
  absl::Status Append(const std::string& aPath, const std::string& aBytes);
  absl::Status Sync(const std::string& aPath);
  absl::Status SyncDirectory(const std::string& aPath);
  std::string Survivor(const std::string& aPath, const std::string& aCurrent);

  Base::RandomSource mRandom;
  std::map<std::string, std::string> mSynced;
  /// Files whose directory entry is durable.
  std::map<std::string, std::string> mNames;
  /// Files that a rename put in place since the directory was synced.
  std::set<std::string> mRenamed;
};
