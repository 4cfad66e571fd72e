#pragma once

#include "base/random.h"
#include "storage/fileport.h"

#include <limits>
#include <map>
#include <set>
#include <string>

/// An in-memory disk that loses or tears unsynced writes in a crash and fails on request.
class FakeDisk
{
public:
  explicit FakeDisk(uint64_t aSeed)
    : mRandom{ aSeed }
  {
  }

  /// \return file operations on this disk, which must outlive them.
  Storage::FilePort Port();

  /// Simulates a power failure. A random part of the unsynced data survives, possibly with wrong
  /// bytes.
  void Crash();

  /// Removes all files, like a replaced disk.
  void Wipe();

  /// Number of writes and syncs that succeed before the disk is full.
  uint64_t mOperationsLeft = std::numeric_limits<uint64_t>::max();
  /// Injected fault: syncs report success without making data durable.
  bool mSkipSyncs = false;
  uint64_t mSyncs = 0;

  /// Current contents by path. Tests modify them to simulate damage.
  std::map<std::string, std::string> mFiles;

private:
  absl::Status UseOperation(const std::string& aPath, const char* aOperation);
  absl::Status Append(const std::string& aPath, const std::string& aBytes);
  absl::Status Sync(const std::string& aPath);
  absl::Status SyncDirectory(const std::string& aPath);
  std::string ContentAfterCrash(const std::string& aPath, const std::string& aCurrent);

  Base::RandomSource mRandom;
  std::map<std::string, std::string> mSynced;
  /// Files whose directory entry is durable.
  std::map<std::string, std::string> mNames;
  /// Targets of renames since the directory was last synced.
  std::set<std::string> mRenamed;
};
