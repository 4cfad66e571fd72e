#pragma once

#include "storage/fileport.h"

#include "absl/status/status.h"

#include <string>

namespace Control {

/// \return file operations that are implemented with POSIX system calls.
Storage::FilePort
PosixFiles();

/// Prevents other processes from opening the same data directory.
class DirectoryLock
{
public:
  DirectoryLock() = default;
  ~DirectoryLock();
  DirectoryLock(const DirectoryLock&) = delete;
  DirectoryLock& operator=(const DirectoryLock&) = delete;

  /// Creates the directory if it does not exist and locks it until this object is destroyed.
  /// \return OK; FailedPrecondition if another process has locked it; Unavailable on a system
  /// error.
  absl::Status Acquire(const std::string& aPath);

private:
  int mDescriptor = -1;
};

} // namespace Control
