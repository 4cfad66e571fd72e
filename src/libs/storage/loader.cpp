#include "storage/loader.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "storage/records.h"

#include <algorithm>
#include <set>

namespace Storage {

namespace Internal {

namespace {

constexpr char kSegmentPrefix[] = "log-";
constexpr char kSnapshotPrefix[] = "snapshot-";

std::optional<uint64_t>
NumberAfter(const std::string& aName, const std::string& aPrefix)
{
  uint64_t number = 0;
  if (!absl::StartsWith(aName, aPrefix) ||
      !absl::SimpleAtoi(aName.substr(aPrefix.size()), &number)) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::string
SegmentName(uint64_t aSequence)
{
  return absl::StrFormat("%s%020d", kSegmentPrefix, aSequence);
}

std::string
SnapshotName(Consensus::LogIndex aIndex)
{
  return absl::StrFormat("%s%020d", kSnapshotPrefix, aIndex);
}

std::optional<uint64_t>
SnapshotNumber(const std::string& aName)
{
  return NumberAfter(aName, kSnapshotPrefix);
}

} // namespace Internal

namespace {

using namespace Internal;

/// Files in a data directory, by type.
struct FileNames
{
  bool mHasTermFile = false;
  std::set<uint64_t> mSegments;
  std::set<uint64_t> mSnapshots;
  std::vector<std::string> mTemporary;
};

FileNames
ClassifyNames(const std::vector<std::string>& aNames)
{
  FileNames names;
  for (const std::string& name : aNames) {
    if (name == kTermFile) {
      names.mHasTermFile = true;
    } else if (absl::EndsWith(name, kTemporarySuffix)) {
      names.mTemporary.push_back(name);
    } else if (const auto segment = NumberAfter(name, kSegmentPrefix)) {
      names.mSegments.insert(*segment);
    } else if (const auto snapshot = SnapshotNumber(name)) {
      names.mSnapshots.insert(*snapshot);
    }
  }
  return names;
}

absl::Status
LoadHardState(const FilePort& aPort, const std::string& aPath, Contents& aContents)
{
  const std::string file = absl::StrCat(aPath, "/", kTermFile);
  const absl::StatusOr<std::string> bytes = aPort.mRead(file);
  if (!bytes.ok()) {
    return bytes.status();
  }
  const absl::StatusOr<Consensus::HardState> state = DecodeHardState(file, *bytes);
  if (state.ok()) {
    aContents.mRestored.mHardState = *state;
  }
  return state.status();
}

absl::Status
LoadSnapshot(const FilePort& aPort,
             const std::string& aPath,
             const FileNames& aNames,
             Contents& aContents)
{
  if (aNames.mSnapshots.empty()) {
    return absl::OkStatus();
  }
  const std::string file = absl::StrCat(aPath, "/", SnapshotName(*aNames.mSnapshots.rbegin()));
  const absl::StatusOr<std::string> bytes = aPort.mRead(file);
  if (!bytes.ok()) {
    return bytes.status();
  }
  absl::StatusOr<Consensus::Snapshot> snapshot = DecodeSnapshot(file, *bytes);
  if (!snapshot.ok()) {
    return snapshot.status();
  }
  if (snapshot->index() != *aNames.mSnapshots.rbegin()) {
    return DamagedFileError(file, 0, "the index differs from the file name");
  }
  aContents.mRestored.mSnapshot = *std::move(snapshot);
  return absl::OkStatus();
}

/// Appends an entry to the log, replacing all entries from its index on.
/// \return false if entries before it are missing.
bool
ReplayEntry(std::vector<Consensus::Entry>& aEntries, Consensus::Entry aEntry)
{
  if (!aEntries.empty()) {
    const uint64_t first = aEntries.front().index();
    if (aEntry.index() < first || aEntry.index() > aEntries.back().index() + 1) {
      return false;
    }
    aEntries.resize(aEntry.index() - first);
  }
  aEntries.push_back(std::move(aEntry));
  return true;
}

absl::Status
ReplaySegment(const std::string& aFile,
              const SegmentContents& aSegment,
              std::vector<Consensus::Entry>& aEntries,
              uint64_t& aMaxIndex)
{
  for (size_t i = 0; i < aSegment.mRecords.size(); ++i) {
    const Record& record = aSegment.mRecords[i];
    if (record.mType == RecordType::Reset) {
      aEntries.clear();
      continue;
    }
    Consensus::Entry entry;
    if (!entry.ParseFromString(record.mPayload) || entry.index() != record.mIndex ||
        entry.term() != record.mTerm) {
      return DamagedFileError(aFile, aSegment.mOffsets[i], "the record contains no valid entry");
    }
    aMaxIndex = std::max(aMaxIndex, entry.index());
    if (!ReplayEntry(aEntries, std::move(entry))) {
      return DamagedFileError(aFile,
                              aSegment.mOffsets[i],
                              absl::StrCat("entries before ", record.mIndex, " are missing"));
    }
  }
  return absl::OkStatus();
}

absl::Status
LoadSegments(const FilePort& aPort,
             const std::string& aPath,
             const FileNames& aNames,
             Contents& aContents)
{
  for (const uint64_t sequence : aNames.mSegments) {
    const std::string file = absl::StrCat(aPath, "/", SegmentName(sequence));
    if (!aContents.mSegments.empty() && aContents.mSegments.back().mSequence + 1 != sequence) {
      return DamagedFileError(file, 0, "the previous segment is missing");
    }
    const absl::StatusOr<std::string> bytes = aPort.mRead(file);
    if (!bytes.ok()) {
      return bytes.status();
    }
    const bool last = sequence == *aNames.mSegments.rbegin();
    const absl::StatusOr<SegmentContents> contents = DecodeSegment(file, *bytes, sequence, last);
    if (!contents.ok()) {
      return contents.status();
    }
    Segment segment{ sequence, contents->mValidSize, 0 };
    const absl::Status replayed =
      ReplaySegment(file, *contents, aContents.mRestored.mEntries, segment.mMaxIndex);
    if (!replayed.ok()) {
      return replayed;
    }
    aContents.mSegments.push_back(segment);
    aContents.mTornTail = contents->mTorn;
  }
  return absl::OkStatus();
}

/// Verifies that there is no gap between the snapshot and the entries, and discards entries that do
/// not match the snapshot.
absl::Status
CheckLogMatchesSnapshot(const std::string& aPath, Contents& aContents)
{
  std::vector<Consensus::Entry>& entries = aContents.mRestored.mEntries;
  const Consensus::Snapshot& snapshot = aContents.mRestored.mSnapshot;
  if (entries.empty()) {
    return absl::OkStatus();
  }
  const uint64_t first = entries.front().index();
  if (first > snapshot.index() + 1) {
    return DamagedFileError(
      absl::StrCat(aPath, "/", SegmentName(aContents.mSegments.front().mSequence)),
      0,
      absl::StrCat("entries from ", snapshot.index() + 1, " to ", first - 1, " are missing"));
  }
  const bool containsSnapshotIndex =
    first <= snapshot.index() && entries.back().index() >= snapshot.index();
  const bool matches = containsSnapshotIndex
                         ? entries[snapshot.index() - first].term() == snapshot.term()
                         : first == snapshot.index() + 1;
  if (!matches) {
    entries.clear();
    aContents.mNeedsReset = true;
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<Contents>
Load(const FilePort& aPort, const std::string& aPath)
{
  const absl::StatusOr<std::vector<std::string>> listed = aPort.mList(aPath);
  if (!listed.ok()) {
    return listed.status();
  }
  const FileNames names = ClassifyNames(*listed);
  Contents contents;
  contents.mTemporaryFiles = names.mTemporary;
  if (!names.mHasTermFile) {
    if (!names.mSegments.empty() || !names.mSnapshots.empty()) {
      return DamagedFileError(
        absl::StrCat(aPath, "/", kTermFile), 0, "the file is missing, but a log exists");
    }
    contents.mIsNew = true;
    return contents;
  }
  absl::Status status = LoadHardState(aPort, aPath, contents);
  if (status.ok()) {
    status = LoadSnapshot(aPort, aPath, names, contents);
  }
  if (status.ok()) {
    status = LoadSegments(aPort, aPath, names, contents);
  }
  if (status.ok()) {
    status = CheckLogMatchesSnapshot(aPath, contents);
  }
  return status.ok() ? absl::StatusOr<Contents>(std::move(contents)) : status;
}

std::string
Describe(const Contents& aContents)
{
  const Consensus::Restored& restored = aContents.mRestored;
  if (aContents.mIsNew) {
    return "new data directory\n";
  }
  std::string text = absl::StrCat("storage id: ",
                                  restored.mHardState.mStorage.mValue,
                                  "\nterm: ",
                                  restored.mHardState.mTerm,
                                  "\nvoted for storage id: ",
                                  restored.mHardState.mVotedFor.mValue,
                                  "\nsnapshot: index ",
                                  restored.mSnapshot.index(),
                                  ", term ",
                                  restored.mSnapshot.term(),
                                  ", ",
                                  restored.mSnapshot.state().size(),
                                  " bytes\n");
  for (const Segment& segment : aContents.mSegments) {
    absl::StrAppend(
      &text, "segment: ", SegmentName(segment.mSequence), ", ", segment.mSize, " bytes\n");
  }
  if (!restored.mEntries.empty()) {
    absl::StrAppend(&text,
                    "entries: ",
                    restored.mEntries.front().index(),
                    " to ",
                    restored.mEntries.back().index(),
                    ", last term ",
                    restored.mEntries.back().term(),
                    "\n");
  }
  if (aContents.mTornTail) {
    absl::StrAppend(&text,
                    "the newest segment ends in a torn write, which the next start truncates\n");
  }
  return text;
}

} // namespace Storage
