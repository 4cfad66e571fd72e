#include "control/posixfiles.h"

#include "absl/strings/str_cat.h"

#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Control {

namespace {

constexpr mode_t kDirectoryMode = 0700;
constexpr mode_t kFileMode = 0600;
constexpr size_t kReadBytes = size_t{ 64 } * 1024;

absl::Status
SystemError(const char* aOperation, const std::string& aPath)
{
  return absl::UnavailableError(absl::StrCat(aOperation, " ", aPath, ": ", std::strerror(errno)));
}

/// Closes the descriptor when it goes out of scope.
class OpenFile
{
public:
  OpenFile(const std::string& aPath, int aFlags)
    : mDescriptor(open(aPath.c_str(), aFlags | O_CLOEXEC, kFileMode))
  {
  }
  ~OpenFile()
  {
    if (mDescriptor >= 0) {
      close(mDescriptor);
    }
  }
  OpenFile(const OpenFile&) = delete;
  OpenFile& operator=(const OpenFile&) = delete;

  int Descriptor() const { return mDescriptor; }

private:
  int mDescriptor;
};

absl::Status
MakeDirectory(const std::string& aPath)
{
  if (mkdir(aPath.c_str(), kDirectoryMode) != 0 && errno != EEXIST) {
    return SystemError("create", aPath);
  }
  return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>>
List(const std::string& aPath)
{
  DIR* directory = opendir(aPath.c_str());
  if (directory == nullptr) {
    return SystemError("list", aPath);
  }
  std::vector<std::string> names;
  while (const dirent* item = readdir(directory)) {
    const std::string name = item->d_name;
    if (name != "." && name != "..") {
      names.push_back(name);
    }
  }
  closedir(directory);
  return names;
}

absl::StatusOr<std::string>
Read(const std::string& aPath)
{
  const OpenFile file(aPath, O_RDONLY);
  if (file.Descriptor() < 0) {
    return SystemError("open", aPath);
  }
  std::string bytes;
  std::string block(kReadBytes, '\0');
  ssize_t count = 0;
  do {
    count = read(file.Descriptor(), block.data(), block.size());
    if (count > 0) {
      bytes.append(block, 0, static_cast<size_t>(count));
    }
  } while (count > 0 || (count < 0 && errno == EINTR));
  if (count < 0) {
    return SystemError("read", aPath);
  }
  return bytes;
}

absl::Status
Append(const std::string& aPath, const std::string& aBytes)
{
  const OpenFile file(aPath, O_WRONLY | O_CREAT | O_APPEND);
  if (file.Descriptor() < 0) {
    return SystemError("open", aPath);
  }
  size_t written = 0;
  while (written < aBytes.size()) {
    const ssize_t count =
      write(file.Descriptor(), aBytes.data() + written, aBytes.size() - written);
    if (count < 0 && errno != EINTR) {
      return SystemError("write", aPath);
    }
    written += count > 0 ? static_cast<size_t>(count) : 0;
  }
  return absl::OkStatus();
}

absl::Status
Sync(const std::string& aPath)
{
  const OpenFile file(aPath, O_RDONLY);
  if (file.Descriptor() < 0) {
    return SystemError("open", aPath);
  }
  return fsync(file.Descriptor()) == 0 ? absl::OkStatus() : SystemError("sync", aPath);
}

absl::Status
Truncate(const std::string& aPath, uint64_t aSize)
{
  const int result = truncate(aPath.c_str(), static_cast<off_t>(aSize));
  return result == 0 ? absl::OkStatus() : SystemError("truncate", aPath);
}

absl::Status
Rename(const std::string& aFrom, const std::string& aTo)
{
  const int result = rename(aFrom.c_str(), aTo.c_str());
  return result == 0 ? absl::OkStatus() : SystemError("rename", aFrom);
}

absl::Status
Remove(const std::string& aPath)
{
  return unlink(aPath.c_str()) == 0 ? absl::OkStatus() : SystemError("remove", aPath);
}

} // namespace

Storage::FilePort
PosixFiles()
{
  Storage::FilePort port;
  port.mMakeDirectory = MakeDirectory;
  port.mList = List;
  port.mRead = Read;
  port.mAppend = Append;
  port.mTruncate = Truncate;
  port.mRename = Rename;
  port.mRemove = Remove;
  port.mSyncFile = Sync;
  port.mSyncDirectory = Sync;
  return port;
}

DirectoryLock::~DirectoryLock()
{
  if (mDescriptor >= 0) {
    close(mDescriptor);
  }
}

absl::Status
DirectoryLock::Acquire(const std::string& aPath)
{
  if (mDescriptor >= 0) {
    return absl::OkStatus();
  }
  const absl::Status made = MakeDirectory(aPath);
  if (!made.ok()) {
    return made;
  }
  mDescriptor = open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (mDescriptor < 0) {
    return SystemError("open", aPath);
  }
  if (flock(mDescriptor, LOCK_EX | LOCK_NB) != 0) {
    const absl::Status refused =
      errno == EWOULDBLOCK
        ? absl::FailedPreconditionError(absl::StrCat("another process uses ", aPath))
        : SystemError("lock", aPath);
    close(mDescriptor);
    mDescriptor = -1;
    return refused;
  }
  return absl::OkStatus();
}

} // namespace Control
