#pragma once

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "consensus/node.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Storage::Internal {

enum class RecordType : uint8_t
{
  Entry = 1,
  /// Everything before it is void; the log continues after its index.
  Reset = 2
};

/// A record of a segment file.
struct Record
{
  RecordType mType = RecordType::Entry;
  uint64_t mTerm = 0;
  uint64_t mIndex = 0;
  /// Size of the segment up to which it was synced when this record was written. A bad record below
  /// the mark of a later one was once durable, so it is damage and not a torn write.
  uint64_t mSyncedSize = 0;
  std::string mPayload;
};

/// Result of reading one segment file.
struct SegmentContents
{
  std::vector<Record> mRecords;
  /// Offset of each record.
  std::vector<uint64_t> mOffsets;
  /// End of the valid part.
  uint64_t mValidSize = 0;
  /// The rest is a write that was never synced.
  bool mTorn = false;
};

std::string
EncodeSegmentHeader(uint64_t aSequence);

std::string
EncodeRecord(const Record& aRecord);

/// Reads a segment file.
/// \param aPath is used in errors only.
/// \param aLast says that it is the newest segment, the only one that may have a torn tail.
/// \return the contents, or DataLoss with file and offset.
absl::StatusOr<SegmentContents>
DecodeSegment(const std::string& aPath, const std::string& aBytes, uint64_t aSequence, bool aLast);

std::string
EncodeHardState(const Consensus::HardState& aState);

/// \return the contents of the term/vote file, or DataLoss with file and offset.
absl::StatusOr<Consensus::HardState>
DecodeHardState(const std::string& aPath, const std::string& aBytes);

std::string
EncodeSnapshot(const Consensus::Snapshot& aSnapshot);

/// \return the snapshot, or DataLoss with file and offset.
absl::StatusOr<Consensus::Snapshot>
DecodeSnapshot(const std::string& aPath, const std::string& aBytes);

/// \return DataLoss that names file and offset.
absl::Status
Damaged(const std::string& aPath, uint64_t aOffset, const std::string& aReason);

} // namespace Storage::Internal
