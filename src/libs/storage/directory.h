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
  /// Largest index of an entry in it, 0 without entries.
  Consensus::LogIndex mMaxIndex = 0;
};

/// What a data directory holds.
struct Contents
{
  Consensus::Restored mRestored;
  /// Oldest first.
  std::vector<Segment> mSegments;
  /// The directory has never been used.
  bool mIsNew = false;
  /// The newest segment ends in a write that was never synced.
  bool mTornTail = false;
  /// The log does not continue the snapshot, because the process stopped between storing a received
  /// snapshot and discarding the log.
  bool mNeedsReset = false;
  std::vector<std::string> mLeftovers;
};

/// An open data directory. Owned by one thread. After the first failed write or sync every call
/// fails, since it is unknown what of the failed data will survive.
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
struct Opened
{
  Directory mDirectory;
  Consensus::Restored mRestored;
  /// Repairs, one log line each.
  std::vector<std::string> mNotices;
};

/// Reads and verifies a data directory without changing it.
/// \return the contents, DataLoss with file and offset, or an error of the port.
absl::StatusOr<Contents>
Load(const FilePort& aPort, const std::string& aPath);

/// Loads a data directory, truncates a torn tail and syncs what was read.
/// \param aNewStorage becomes the storage id if the directory is new; must not be 0.
absl::StatusOr<Opened>
Open(const FilePort& aPort, const std::string& aPath, Consensus::StorageId aNewStorage);

/// Removes everything that Open reads, so that the next Open finds a new directory. OK only once
/// that is durable.
absl::Status
Clear(const FilePort& aPort, const std::string& aPath);

/// Replaces the term/vote file. OK only once it is durable.
absl::Status
SaveHardState(Directory& aDirectory, const Consensus::HardState& aState);

/// Appends entries, in order. An entry with the index of an earlier one replaces it and all after
/// it. OK only once they are durable.
absl::Status
AppendEntries(Directory& aDirectory, const std::vector<Consensus::Entry>& aEntries);

/// Stores a snapshot of the own state machine, starts a new segment, and removes older snapshots
/// and the segments that hold nothing after aCompactedIndex.
absl::Status
SaveSnapshot(Directory& aDirectory,
             const Consensus::Snapshot& aSnapshot,
             Consensus::LogIndex aCompactedIndex);

/// Stores a snapshot that was received from the leader.
/// \param aKeepsLog says that the stored entries continue it; otherwise they are discarded.
absl::Status
InstallSnapshot(Directory& aDirectory, const Consensus::Snapshot& aSnapshot, bool aKeepsLog);

/// \return a text that describes the contents, one line per item.
std::string
Describe(const Contents& aContents);

} // namespace Storage
