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

/// Writes the upstreams so that a crash at any point leaves the old file, the new one or a damaged
/// one that ReadUpstreams recognises.
absl::Status
WriteUpstreams(const Storage::FilePort& aFiles,
               const std::string& aDirectory,
               const lw::fleet::PollReply& aUpstreams);

/// \return what WriteUpstreams wrote, NotFound if there is nothing, or DataLoss if it is damaged.
absl::StatusOr<lw::fleet::PollReply>
ReadUpstreams(const Storage::FilePort& aFiles, const std::string& aDirectory);

/// Keeps a copy of the directory on disk, in a thread of its own, because a disk may be slow. It is
/// only a hint for the time after a restart, so a failed write is logged and tried again.
class DirectoryCache
{
public:
  /// \param aContent gives the present upstreams and their revision.
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
