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
  /// Invalidates all earlier records. The log continues after its index.
  Reset = 2
};

/// A record of a segment file.
struct Record
{
  RecordType mType = RecordType::Entry;
  uint64_t mTerm = 0;
  uint64_t mIndex = 0;
  /// Synced size of the segment when this record was written. An invalid record below the synced
  /// size of a later record was durable before, so it is damage and not a torn write.
  uint64_t mSyncedSize = 0;
  std::string mPayload;
};

/// Result of reading one segment file.
struct SegmentContents
{
  std::vector<Record> mRecords;
  /// Offset of each record.
  std::vector<uint64_t> mOffsets;
  /// Size of the valid part of the file.
  uint64_t mValidSize = 0;
  /// The rest of the file is an incomplete write that was never synced.
  bool mTorn = false;
};

std::string
EncodeSegmentHeader(uint64_t aSequence);

std::string
EncodeRecord(const Record& aRecord);

/// Reads a segment file.
/// \param aPath is used only in error messages.
/// \param aLast is true for the newest segment, the only one that may end with a torn write.
/// \return the contents, or DataLoss with file and offset.
absl::StatusOr<SegmentContents>
DecodeSegment(const std::string& aPath, const std::string& aBytes, uint64_t aSequence, bool aLast);

std::string
EncodeHardState(const Consensus::HardState& aState);

/// \return the contents of the term file, or DataLoss with file and offset.
absl::StatusOr<Consensus::HardState>
DecodeHardState(const std::string& aPath, const std::string& aBytes);

std::string
EncodeSnapshot(const Consensus::Snapshot& aSnapshot);

/// \return the snapshot, or DataLoss with file and offset.
absl::StatusOr<Consensus::Snapshot>
DecodeSnapshot(const std::string& aPath, const std::string& aBytes);

/// \return a DataLoss error with file and offset.
absl::Status
DamagedFileError(const std::string& aPath, uint64_t aOffset, const std::string& aReason);

} // namespace Storage::Internal
