#include "fleet/directorycache.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/hash.h"
#include "base/runtimeclock.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace Fleet {

namespace {

constexpr char kFile[] = "upstreams";
constexpr std::chrono::milliseconds kCheckInterval{ 200 };
constexpr std::chrono::seconds kWriteInterval{ 2 };
/// Length of the checksum in front of the content, in hexadecimal digits.
constexpr size_t kChecksumDigits = 16;

std::string
Checksum(const std::string& aContent)
{
  return absl::StrCat(absl::Hex(Base::StableHash(aContent), absl::kZeroPad16));
}

} // namespace

absl::Status
WriteUpstreams(const Storage::FilePort& aFiles,
               const std::string& aDirectory,
               const lw::fleet::PollReply& aUpstreams)
{
  const std::string path = absl::StrCat(aDirectory, "/", kFile);
  const std::string next = path + ".next";
  const std::string content = aUpstreams.SerializeAsString();
  const absl::StatusOr<std::vector<std::string>> names = aFiles.mList(aDirectory);
  if (!names.ok()) {
    return names.status();
  }
  absl::Status status;
  if (std::find(names->begin(), names->end(), std::string(kFile) + ".next") != names->end()) {
    status = aFiles.mRemove(next);
  }
  if (status.ok()) {
    status = aFiles.mAppend(next, Checksum(content) + content);
  }
  if (status.ok()) {
    status = aFiles.mSyncFile(next);
  }
  return status.ok() ? aFiles.mRename(next, path) : status;
}

absl::StatusOr<lw::fleet::PollReply>
ReadUpstreams(const Storage::FilePort& aFiles, const std::string& aDirectory)
{
  const absl::StatusOr<std::vector<std::string>> names = aFiles.mList(aDirectory);
  if (!names.ok()) {
    return names.status();
  }
  if (std::find(names->begin(), names->end(), kFile) == names->end()) {
    return absl::NotFoundError("the file of stored upstreams does not exist");
  }
  const absl::StatusOr<std::string> bytes = aFiles.mRead(absl::StrCat(aDirectory, "/", kFile));
  if (!bytes.ok()) {
    return bytes.status();
  }
  lw::fleet::PollReply upstreams;
  if (bytes->size() < kChecksumDigits ||
      Checksum(bytes->substr(kChecksumDigits)) != bytes->substr(0, kChecksumDigits) ||
      !upstreams.ParseFromString(bytes->substr(kChecksumDigits))) {
    return absl::DataLossError("the file of stored upstreams is corrupt");
  }
  return upstreams;
}

DirectoryCache::DirectoryCache(Storage::FilePort aFiles,
                               std::string aDirectory,
                               std::function<lw::fleet::PollReply()> aContent)
  : mFiles(std::move(aFiles))
  , mDirectory(std::move(aDirectory))
  , mContent(std::move(aContent))
{
}

DirectoryCache::~DirectoryCache()
{
  Stop();
}

void
DirectoryCache::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
DirectoryCache::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
DirectoryCache::Run()
{
  uint64_t written = 0;
  Base::TimePoint nextWrite;
  while (!mStopping) {
    std::this_thread::sleep_for(kCheckInterval);
    if (Base::RuntimeClock::now() < nextWrite) {
      continue;
    }
    nextWrite = Base::RuntimeClock::now() + kWriteInterval;
    const lw::fleet::PollReply content = mContent();
    if (content.upstreams().empty() || content.directory_revision() == written) {
      continue;
    }
    const absl::Status status = WriteUpstreams(mFiles, mDirectory, content);
    if (status.ok()) {
      written = content.directory_revision();
    } else {
      LOG(WARNING) << "[directory] Cannot store the upstreams: " << status.message() << ".";
    }
  }
}

} // namespace Fleet
