#pragma once

#include "absl/status/statusor.h"
#include "consensus/node.h"
#include "storage/fileport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Storage {

/// A segment file of the log.
struct Segment
{
  uint64_t mSequence = 0;
  uint64_t mSize = 0;
  /// Largest index of the entries in the segment, or 0 if there are none.
  Consensus::LogIndex mMaxIndex = 0;
};

/// Contents of a data directory.
struct Contents
{
  Consensus::Restored mRestored;
  /// Oldest first.
  std::vector<Segment> mSegments;
  /// The directory contains no data yet.
  bool mIsNew = false;
  /// The newest segment ends with an incomplete write that was never synced.
  bool mTornTail = false;
  /// The log does not match the snapshot, because the process stopped between storing a received
  /// snapshot and discarding the log.
  bool mNeedsReset = false;
  std::vector<std::string> mTemporaryFiles;
};

/// An open data directory. Owned by one thread. After the first failed write or sync all calls
/// fail, because it is unknown which part of the data is durable.
struct Directory
{
  FilePort mPort;
  std::string mPath;
  std::vector<Segment> mSegments;
  /// Size up to which the newest segment is synced.
  uint64_t mSyncedSize = 0;
  absl::Status mFailure;
};

/// Result of Open.
struct OpenResult
{
  Directory mDirectory;
  Consensus::Restored mRestored;
  /// Messages about repairs, to be logged.
  std::vector<std::string> mNotices;
};

/// Reads and verifies a data directory without modifying it.
/// \return the contents, DataLoss with file and offset, or an error from aPort.
absl::StatusOr<Contents>
Load(const FilePort& aPort, const std::string& aPath);

/// Loads a data directory, truncates a torn write at its end and syncs the data that was read.
/// \param aNewStorage is used as the storage id if the directory is new. Must not be 0.
absl::StatusOr<OpenResult>
Open(const FilePort& aPort, const std::string& aPath, Consensus::StorageId aNewStorage);

/// Removes all files of the data directory, so that the next Open treats it as new.
/// \return OK once the removal is durable.
absl::Status
Clear(const FilePort& aPort, const std::string& aPath);

/// Replaces the term file.
/// \return OK once it is durable.
absl::Status
SaveHardState(Directory& aDirectory, const Consensus::HardState& aState);

/// Appends entries in order. An entry whose index already exists replaces that entry and all later
/// ones.
/// \return OK once the entries are durable.
absl::Status
AppendEntries(Directory& aDirectory, const std::vector<Consensus::Entry>& aEntries);

/// Stores a snapshot of the local state machine, starts a new segment, and removes older snapshots
/// and the segments that have no entries after aCompactedIndex.
absl::Status
SaveSnapshot(Directory& aDirectory,
             const Consensus::Snapshot& aSnapshot,
             Consensus::LogIndex aCompactedIndex);

/// Stores a snapshot that was received from the leader.
/// \param aKeepsLog is true if the stored entries match the snapshot. Otherwise they are discarded.
absl::Status
InstallSnapshot(Directory& aDirectory, const Consensus::Snapshot& aSnapshot, bool aKeepsLog);

/// \return a description of the contents with one line per item.
std::string
Describe(const Contents& aContents);

} // namespace Storage
