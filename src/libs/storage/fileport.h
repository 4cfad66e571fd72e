#pragma once

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Storage {

/// File operations used by the storage. Programs implement them with system calls, tests with a
/// simulated disk that tears writes and fails syncs. Paths are complete. Errors contain the path.
struct FilePort
{
  /// Creates the directory if it does not exist.
  std::function<absl::Status(const std::string& aPath)> mMakeDirectory;
  /// \return the names of the files in the directory.
  std::function<absl::StatusOr<std::vector<std::string>>(const std::string& aPath)> mList;
  std::function<absl::StatusOr<std::string>(const std::string& aPath)> mRead;
  /// Appends to the file, which is created if it does not exist. A failed call may have written
  /// part of the data.
  std::function<absl::Status(const std::string& aPath, const std::string& aBytes)> mAppend;
  std::function<absl::Status(const std::string& aPath, uint64_t aSize)> mTruncate;
  std::function<absl::Status(const std::string& aFrom, const std::string& aTo)> mRename;
  std::function<absl::Status(const std::string& aPath)> mRemove;
  /// Returns OK only once the contents of the file are durable.
  std::function<absl::Status(const std::string& aPath)> mSyncFile;
  /// Returns OK only once creations, renames and removals in the directory are durable.
  std::function<absl::Status(const std::string& aPath)> mSyncDirectory;
};

} // namespace Storage
