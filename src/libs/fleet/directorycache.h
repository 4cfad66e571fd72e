#pragma once

#include "absl/status/statusor.h"
#include "directory/upstream.h"
#include "storage/fileport.h"

#include "fleet.pb.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Fleet {

/// Writes the upstreams to a file. A crash at any point leaves the old file, the new file or a
/// corrupt one that ReadUpstreams detects.
absl::Status
WriteUpstreams(const Storage::FilePort& aFiles,
               const std::string& aDirectory,
               const lw::fleet::PollReply& aUpstreams);

/// \return the upstreams that WriteUpstreams wrote, NotFound if the file does not exist, or
/// DataLoss if it is corrupt.
absl::StatusOr<lw::fleet::PollReply>
ReadUpstreams(const Storage::FilePort& aFiles, const std::string& aDirectory);

/// Periodically saves the directory to disk, so that it is available right after a restart. Runs in
/// its own thread, because the disk may be slow. The file is only a cache, so a failed write is
/// logged and retried.
class DirectoryCache
{
public:
  /// \param aContent returns the current upstreams and their revision.
  DirectoryCache(Storage::FilePort aFiles,
                 std::string aDirectory,
                 std::function<lw::fleet::PollReply()> aContent);
  ~DirectoryCache();
  DirectoryCache(const DirectoryCache&) = delete;
  DirectoryCache& operator=(const DirectoryCache&) = delete;

  void Start();
  void Stop();

private:
  void Run();

  const Storage::FilePort mFiles;
  const std::string mDirectory;
  const std::function<lw::fleet::PollReply()> mContent;
  std::thread mThread;
  std::atomic<bool> mStopping{ false };
};

} // namespace Fleet
