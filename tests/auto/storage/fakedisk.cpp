#include "fakedisk.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

Storage::FilePort
FakeDisk::Port()
{
  Storage::FilePort port;
  port.mMakeDirectory = [](const std::string&) { return absl::OkStatus(); };
  port.mList = [this](const std::string& aPath) {
    std::vector<std::string> names;
    for (const auto& [path, bytes] : mFiles) {
      names.push_back(path.substr(aPath.size() + 1));
    }
    return absl::StatusOr<std::vector<std::string>>(names);
  };
  port.mRead = [this](const std::string& aPath) -> absl::StatusOr<std::string> {
    const auto found = mFiles.find(aPath);
    if (found == mFiles.end()) {
      return absl::NotFoundError(aPath);
    }
    return found->second;
  };
  port.mAppend = [this](const std::string& aPath, const std::string& aBytes) {
    return Append(aPath, aBytes);
  };
  port.mTruncate = [this](const std::string& aPath, uint64_t aSize) {
    mFiles[aPath].resize(aSize);
    std::string& synced = mSynced[aPath];
    synced.resize(std::min<uint64_t>(synced.size(), aSize));
    return absl::OkStatus();
  };
  port.mRename = [this](const std::string& aFrom, const std::string& aTo) {
    mFiles[aTo] = mFiles[aFrom];
    mSynced[aTo] = mSynced[aFrom];
    mFiles.erase(aFrom);
    mSynced.erase(aFrom);
    mRenamed.insert(aTo);
    return absl::OkStatus();
  };
  port.mRemove = [this](const std::string& aPath) {
    mFiles.erase(aPath);
    mSynced.erase(aPath);
    return absl::OkStatus();
  };
  port.mSyncFile = [this](const std::string& aPath) { return Sync(aPath); };
  port.mSyncDirectory = [this](const std::string& aPath) { return SyncDirectory(aPath); };
  return port;
}

absl::Status
FakeDisk::UseOperation(const std::string& aPath, const char* aOperation)
{
  if (mOperationsLeft == 0) {
    return absl::ResourceExhaustedError(absl::StrCat(aOperation, " ", aPath, ": no space left"));
  }
  --mOperationsLeft;
  return absl::OkStatus();
}

absl::Status
FakeDisk::Append(const std::string& aPath, const std::string& aBytes)
{
  const absl::Status status = UseOperation(aPath, "append");
  // A full disk writes only part of the data.
  mFiles[aPath] += status.ok() ? aBytes : aBytes.substr(0, aBytes.size() / 2);
  return status;
}

absl::Status
FakeDisk::Sync(const std::string& aPath)
{
  ++mSyncs;
  const absl::Status status = UseOperation(aPath, "sync");
  if (status.ok() && !mSkipSyncs) {
    mSynced[aPath] = mFiles[aPath];
  }
  return status;
}

absl::Status
FakeDisk::SyncDirectory(const std::string& aPath)
{
  const absl::Status status = UseOperation(aPath, "sync");
  if (status.ok() && !mSkipSyncs) {
    mNames.clear();
    mRenamed.clear();
    for (const auto& [path, bytes] : mFiles) {
      mNames[path] = mSynced[path];
    }
  }
  return status;
}

std::string
FakeDisk::ContentAfterCrash(const std::string& aPath, const std::string& aCurrent)
{
  std::string bytes = mSynced[aPath];
  if (aCurrent.size() <= bytes.size() || mSkipSyncs) {
    return bytes;
  }
  const uint64_t unsynced = aCurrent.size() - bytes.size();
  const size_t first = bytes.size();
  bytes += aCurrent.substr(first, Base::NextBelow(mRandom, unsynced + 1));
  if (bytes.size() > first && Base::NextBelow(mRandom, 2) == 0) {
    bytes[first + Base::NextBelow(mRandom, bytes.size() - first)] ^= 0x40;
  }
  return bytes;
}

void
FakeDisk::Crash()
{
  const bool namesSurvive = !mSkipSyncs && Base::NextBelow(mRandom, 2) == 0;
  std::map<std::string, std::string> after;
  for (const auto& [path, bytes] : mFiles) {
    if (namesSurvive || mNames.count(path) != 0) {
      after[path] = ContentAfterCrash(path, bytes);
    }
  }
  for (const auto& [path, bytes] : mNames) {
    // A removal of this file, or a rename from or to its name, was not durable.
    if (!namesSurvive && (after.count(path) == 0 || mRenamed.count(path) != 0)) {
      after[path] = bytes;
    }
  }
  mFiles = after;
  mSynced = after;
  mNames = after;
  mRenamed.clear();
  mOperationsLeft = std::numeric_limits<uint64_t>::max();
}

void
FakeDisk::Wipe()
{
  mFiles.clear();
  mSynced.clear();
  mNames.clear();
}
