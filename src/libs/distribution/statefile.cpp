#include "distribution/statefile.h"

#include "absl/strings/str_cat.h"
#include "base/hash.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace Distribution {

namespace {

constexpr const char* kFileName = "/config.state";
/// First bytes of the file. The digit is the format version.
constexpr absl::string_view kMagic = "LWCONF1\n";

/// Closes a file descriptor at the end of its scope.
class Descriptor
{
public:
  explicit Descriptor(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  ~Descriptor()
  {
    if (mDescriptor >= 0) {
      ::close(mDescriptor);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int Value() const { return mDescriptor; }

private:
  int mDescriptor;
};

absl::Status
StepError(const char* aStep, const std::string& aPath)
{
  return absl::DataLossError(
    absl::StrCat("cannot ", aStep, " ", aPath, ": ", std::strerror(errno)));
}

absl::Status
WriteSynced(const std::string& aPath, const std::string& aContent)
{
  const Descriptor file(::open(aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (file.Value() < 0) {
    return StepError("open", aPath);
  }
  size_t written = 0;
  while (written < aContent.size()) {
    const ssize_t count =
      ::write(file.Value(), aContent.data() + written, aContent.size() - written);
    if (count <= 0) {
      return StepError("write", aPath);
    }
    written += static_cast<size_t>(count);
  }
  return ::fsync(file.Value()) == 0 ? absl::OkStatus() : StepError("sync", aPath);
}

absl::Status
SyncDirectory(const std::string& aDirectory)
{
  const Descriptor directory(::open(aDirectory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (directory.Value() < 0 || ::fsync(directory.Value()) != 0) {
    return StepError("sync", aDirectory);
  }
  return absl::OkStatus();
}

} // namespace

absl::Status
WriteStateFile(const std::string& aDirectory, const lw::config::State& aState)
{
  const std::string payload = aState.SerializeAsString();
  const std::string content =
    absl::StrCat(kMagic, absl::Hex(Base::StableHash(payload), absl::kZeroPad16), "\n", payload);
  const std::string path = absl::StrCat(aDirectory, kFileName);
  const std::string temporary = absl::StrCat(path, ".new");
  const absl::Status written = WriteSynced(temporary, content);
  if (!written.ok()) {
    return written;
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    return StepError("rename", temporary);
  }
  return SyncDirectory(aDirectory);
}

absl::StatusOr<lw::config::State>
ReadStateFile(const std::string& aDirectory)
{
  const std::string path = absl::StrCat(aDirectory, kFileName);
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return absl::NotFoundError(absl::StrCat(path, " does not exist"));
  }
  std::ostringstream text;
  text << file.rdbuf();
  const std::string content = text.str();
  constexpr size_t kHashLength = 16;
  const size_t headerLength = kMagic.size() + kHashLength + 1;
  if (content.size() < headerLength || content[headerLength - 1] != '\n' ||
      absl::string_view(content).substr(0, kMagic.size()) != kMagic) {
    return absl::DataLossError(absl::StrCat(path, " is not a configuration file of format 1"));
  }
  const std::string payload = content.substr(headerLength);
  const std::string hash = absl::StrCat(absl::Hex(Base::StableHash(payload), absl::kZeroPad16));
  lw::config::State state;
  if (content.compare(kMagic.size(), kHashLength, hash) != 0 || !state.ParseFromString(payload)) {
    return absl::DataLossError(absl::StrCat(path, " does not match its checksum"));
  }
  return state;
}

} // namespace Distribution
