#include "storage/directory.h"

#include "absl/strings/str_cat.h"
#include "storage/loader.h"
#include "storage/records.h"

#include <algorithm>

namespace Storage {

namespace {

using namespace Internal;

std::string
PathOf(const Directory& aDirectory, const std::string& aName)
{
  return absl::StrCat(aDirectory.mPath, "/", aName);
}

/// Runs file operations in sequence until one fails. The error is stored in the directory.
class OperationSequence
{
public:
  explicit OperationSequence(Directory& aDirectory)
    : mDirectory(aDirectory)
  {
  }

  template<typename Operation>
  OperationSequence& Then(const Operation& aOperation)
  {
    if (mDirectory.mFailure.ok()) {
      mDirectory.mFailure = aOperation(mDirectory.mPort);
    }
    return *this;
  }

  absl::Status Result() const { return mDirectory.mFailure; }

private:
  Directory& mDirectory;
};

/// Replaces a file atomically: writes it under a temporary name, syncs it and renames it.
absl::Status
ReplaceFile(Directory& aDirectory, const std::string& aName, const std::string& aBytes)
{
  const std::string path = PathOf(aDirectory, aName);
  const std::string temporary = path + kTemporarySuffix;
  return OperationSequence(aDirectory)
    .Then([&](FilePort& aPort) { return aPort.mAppend(temporary, aBytes); })
    .Then([&](FilePort& aPort) { return aPort.mSyncFile(temporary); })
    .Then([&](FilePort& aPort) { return aPort.mRename(temporary, path); })
    .Then([&](FilePort& aPort) { return aPort.mSyncDirectory(aDirectory.mPath); })
    .Result();
}

absl::Status
StartSegment(Directory& aDirectory)
{
  const uint64_t sequence =
    aDirectory.mSegments.empty() ? 1 : aDirectory.mSegments.back().mSequence + 1;
  const std::string path = PathOf(aDirectory, SegmentName(sequence));
  const std::string header = EncodeSegmentHeader(sequence);
  const absl::Status status =
    OperationSequence(aDirectory)
      .Then([&](FilePort& aPort) { return aPort.mAppend(path, header); })
      .Then([&](FilePort& aPort) { return aPort.mSyncFile(path); })
      .Then([&](FilePort& aPort) { return aPort.mSyncDirectory(aDirectory.mPath); })
      .Result();
  if (status.ok()) {
    aDirectory.mSegments.push_back({ sequence, header.size(), 0 });
    aDirectory.mSyncedSize = header.size();
  }
  return status;
}

/// Appends encoded records to the newest segment and syncs it.
absl::Status
AppendBytes(Directory& aDirectory, const std::string& aBytes)
{
  Segment& segment = aDirectory.mSegments.back();
  const std::string path = PathOf(aDirectory, SegmentName(segment.mSequence));
  const absl::Status status = OperationSequence(aDirectory)
                                .Then([&](FilePort& aPort) { return aPort.mAppend(path, aBytes); })
                                .Then([&](FilePort& aPort) { return aPort.mSyncFile(path); })
                                .Result();
  if (status.ok()) {
    segment.mSize += aBytes.size();
    aDirectory.mSyncedSize = segment.mSize;
  }
  return status;
}

absl::Status
AppendReset(Directory& aDirectory, const Consensus::Snapshot& aSnapshot)
{
  const Record reset{
    RecordType::Reset, aSnapshot.term(), aSnapshot.index(), aDirectory.mSyncedSize, ""
  };
  return AppendBytes(aDirectory, EncodeRecord(reset));
}

/// Removes the oldest segments without entries after aIndex, but never the newest segment.
absl::Status
RemoveSegments(Directory& aDirectory, Consensus::LogIndex aIndex)
{
  std::vector<Segment>& segments = aDirectory.mSegments;
  while (segments.size() > 1 && segments.front().mMaxIndex <= aIndex) {
    const std::string path = PathOf(aDirectory, SegmentName(segments.front().mSequence));
    // Each removal is synced, so that a crash cannot leave a gap between segments.
    const absl::Status status =
      OperationSequence(aDirectory)
        .Then([&](FilePort& aPort) { return aPort.mRemove(path); })
        .Then([&](FilePort& aPort) { return aPort.mSyncDirectory(aDirectory.mPath); })
        .Result();
    if (!status.ok()) {
      return status;
    }
    segments.erase(segments.begin());
  }
  return absl::OkStatus();
}

absl::Status
WriteSnapshot(Directory& aDirectory, const Consensus::Snapshot& aSnapshot)
{
  absl::Status status =
    ReplaceFile(aDirectory, SnapshotName(aSnapshot.index()), EncodeSnapshot(aSnapshot));
  if (!status.ok()) {
    return status;
  }
  const absl::StatusOr<std::vector<std::string>> names = aDirectory.mPort.mList(aDirectory.mPath);
  if (!names.ok()) {
    aDirectory.mFailure = names.status();
    return names.status();
  }
  for (const std::string& name : *names) {
    const std::optional<uint64_t> index = SnapshotNumber(name);
    if (index.has_value() && *index < aSnapshot.index()) {
      status = OperationSequence(aDirectory)
                 .Then([&](FilePort& aPort) { return aPort.mRemove(PathOf(aDirectory, name)); })
                 .Result();
    }
  }
  return status;
}

absl::Status
RemoveTemporaryFiles(Directory& aDirectory, const Contents& aContents)
{
  for (const std::string& name : aContents.mTemporaryFiles) {
    const absl::Status status =
      OperationSequence(aDirectory)
        .Then([&](FilePort& aPort) { return aPort.mRemove(PathOf(aDirectory, name)); })
        .Result();
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
TruncateTail(Directory& aDirectory, std::vector<std::string>& aNotices)
{
  const Segment segment = aDirectory.mSegments.back();
  const std::string path = PathOf(aDirectory, SegmentName(segment.mSequence));
  aNotices.push_back(
    absl::StrCat("truncated a torn write at the end of ", path, " at offset ", segment.mSize));
  if (segment.mSize > 0) {
    return OperationSequence(aDirectory)
      .Then([&](FilePort& aPort) { return aPort.mTruncate(path, segment.mSize); })
      .Result();
  }
  aDirectory.mSegments.pop_back(); // The segment header is incomplete.
  return OperationSequence(aDirectory)
    .Then([&](FilePort& aPort) { return aPort.mRemove(path); })
    .Then([&](FilePort& aPort) { return aPort.mSyncDirectory(aDirectory.mPath); })
    .Result();
}

/// Syncs the data that was read. If the previous process was killed, it may exist only in the page
/// cache.
absl::Status
SyncNewestSegment(Directory& aDirectory)
{
  const Segment& segment = aDirectory.mSegments.back();
  const std::string path = PathOf(aDirectory, SegmentName(segment.mSequence));
  aDirectory.mSyncedSize = segment.mSize;
  return OperationSequence(aDirectory)
    .Then([&](FilePort& aPort) { return aPort.mSyncFile(path); })
    .Then([&](FilePort& aPort) { return aPort.mSyncDirectory(aDirectory.mPath); })
    .Result();
}

absl::Status
Repair(Directory& aDirectory, Contents& aContents, std::vector<std::string>& aNotices)
{
  absl::Status status = aContents.mTornTail ? TruncateTail(aDirectory, aNotices) : absl::OkStatus();
  if (status.ok()) {
    status =
      aDirectory.mSegments.empty() ? StartSegment(aDirectory) : SyncNewestSegment(aDirectory);
  }
  if (status.ok() && aContents.mNeedsReset) {
    aNotices.push_back(absl::StrCat("discarded a log that does not match snapshot ",
                                    aContents.mRestored.mSnapshot.index()));
    status = AppendReset(aDirectory, aContents.mRestored.mSnapshot);
  }
  return status;
}

} // namespace

absl::StatusOr<OpenResult>
Open(const FilePort& aPort, const std::string& aPath, Consensus::StorageId aNewStorage)
{
  const absl::Status made = aPort.mMakeDirectory(aPath);
  if (!made.ok()) {
    return made;
  }
  absl::StatusOr<Contents> contents = Load(aPort, aPath);
  if (!contents.ok()) {
    return contents.status();
  }
  OpenResult opened;
  opened.mDirectory.mPort = aPort;
  opened.mDirectory.mPath = aPath;
  opened.mDirectory.mSegments = contents->mSegments;
  absl::Status status = RemoveTemporaryFiles(opened.mDirectory, *contents);
  // The term file is written first, because segments without it are treated as damage.
  if (status.ok() && contents->mIsNew) {
    contents->mRestored.mHardState.mStorage = aNewStorage;
    status = SaveHardState(opened.mDirectory, contents->mRestored.mHardState);
  }
  if (status.ok()) {
    status = Repair(opened.mDirectory, *contents, opened.mNotices);
  }
  if (!status.ok()) {
    return status;
  }
  opened.mRestored = std::move(contents->mRestored);
  return opened;
}

absl::Status
Clear(const FilePort& aPort, const std::string& aPath)
{
  const absl::StatusOr<std::vector<std::string>> names = aPort.mList(aPath);
  if (!names.ok()) {
    return names.status();
  }
  Directory directory;
  directory.mPort = aPort;
  directory.mPath = aPath;
  OperationSequence operations(directory);
  for (const std::string& name : *names) {
    if (name != kTermFile) {
      operations.Then([&](FilePort& aFiles) { return aFiles.mRemove(PathOf(directory, name)); });
    }
  }
  // The term file is removed last, because a log without it is treated as damage.
  operations.Then([&](FilePort& aFiles) { return aFiles.mSyncDirectory(aPath); });
  if (std::find(names->begin(), names->end(), kTermFile) != names->end()) {
    operations.Then([&](FilePort& aFiles) { return aFiles.mRemove(PathOf(directory, kTermFile)); })
      .Then([&](FilePort& aFiles) { return aFiles.mSyncDirectory(aPath); });
  }
  return operations.Result();
}

absl::Status
SaveHardState(Directory& aDirectory, const Consensus::HardState& aState)
{
  return ReplaceFile(aDirectory, kTermFile, EncodeHardState(aState));
}

absl::Status
AppendEntries(Directory& aDirectory, const std::vector<Consensus::Entry>& aEntries)
{
  std::string bytes;
  Consensus::LogIndex maxIndex = 0;
  for (const Consensus::Entry& entry : aEntries) {
    const Record record{ RecordType::Entry,
                         entry.term(),
                         entry.index(),
                         aDirectory.mSyncedSize,
                         entry.SerializeAsString() };
    bytes += EncodeRecord(record);
    maxIndex = std::max(maxIndex, entry.index());
  }
  const absl::Status status = AppendBytes(aDirectory, bytes);
  if (status.ok()) {
    Segment& segment = aDirectory.mSegments.back();
    segment.mMaxIndex = std::max(segment.mMaxIndex, maxIndex);
  }
  return status;
}

absl::Status
SaveSnapshot(Directory& aDirectory,
             const Consensus::Snapshot& aSnapshot,
             Consensus::LogIndex aCompactedIndex)
{
  absl::Status status = WriteSnapshot(aDirectory, aSnapshot);
  if (status.ok()) {
    status = StartSegment(aDirectory);
  }
  return status.ok() ? RemoveSegments(aDirectory, aCompactedIndex) : status;
}

absl::Status
InstallSnapshot(Directory& aDirectory, const Consensus::Snapshot& aSnapshot, bool aKeepsLog)
{
  absl::Status status = WriteSnapshot(aDirectory, aSnapshot);
  if (!status.ok() || aKeepsLog) {
    return status;
  }
  status = StartSegment(aDirectory);
  if (status.ok()) {
    status = AppendReset(aDirectory, aSnapshot);
  }
  return status.ok() ? RemoveSegments(aDirectory, UINT64_MAX) : status;
}

} // namespace Storage
