#include "storage/records.h"

#include "absl/strings/str_cat.h"
#include "storage/encoding.h"

namespace Storage::Internal {

namespace {

constexpr uint32_t kFormatVersion = 1;
constexpr uint32_t kSegmentMagic = 0x474C574C;  // "LWLG"
constexpr uint32_t kRecordMagic = 0x4352574C;   // "LWRC"
constexpr uint32_t kTermMagic = 0x4D54574C;     // "LWTM"
constexpr uint32_t kSnapshotMagic = 0x4E53574C; // "LWSN"

// Magic, version, sequence, checksum.
constexpr size_t kSegmentHeaderBytes = 4 + 4 + 8 + 4;
// Magic, length, type, term, index, synced size; the payload and the checksum follow.
constexpr size_t kRecordHeaderBytes = 4 + 4 + 4 + 8 + 8 + 8;
constexpr size_t kChecksumBytes = 4;
// Magic, version, storage id, term, vote, checksum.
constexpr size_t kHardStateBytes = 4 + 4 + 8 + 8 + 8 + 4;
// Magic and version; the message and the checksum follow.
constexpr size_t kSnapshotHeaderBytes = 4 + 4;

std::string
StartFile(uint32_t aMagic)
{
  std::string bytes;
  PutFixed32(bytes, aMagic);
  PutFixed32(bytes, kFormatVersion);
  return bytes;
}

absl::Status
CheckFileStart(const std::string& aPath, const std::string& aBytes, uint32_t aMagic)
{
  if (Fixed32(aBytes, 0) != aMagic) {
    return Damaged(aPath, 0, "wrong file type");
  }
  const uint32_t version = Fixed32(aBytes, 4);
  if (version != kFormatVersion) {
    return Damaged(
      aPath,
      4,
      absl::StrCat("format version ", version, " is not supported, expected ", kFormatVersion));
  }
  return absl::OkStatus();
}

/// \return size of the record at the offset, or nothing if it is not valid.
std::optional<uint64_t>
DecodeRecord(absl::string_view aBytes, uint64_t aOffset, Record& aRecord)
{
  const absl::string_view rest = aBytes.substr(aOffset);
  if (rest.size() < kRecordHeaderBytes + kChecksumBytes || Fixed32(rest, 0) != kRecordMagic) {
    return std::nullopt;
  }
  const uint64_t size = kRecordHeaderBytes + Fixed32(rest, 4) + kChecksumBytes;
  if (size > rest.size() || !HasValidChecksum(rest.substr(0, size))) {
    return std::nullopt;
  }
  aRecord.mType = static_cast<RecordType>(Fixed32(rest, 8));
  aRecord.mTerm = Fixed64(rest, 12);
  aRecord.mIndex = Fixed64(rest, 20);
  aRecord.mSyncedSize = Fixed64(rest, 28);
  aRecord.mPayload = std::string(rest.substr(kRecordHeaderBytes, Fixed32(rest, 4)));
  return size;
}

/// \return true if a later record shows that the byte at the offset was synced.
bool
WasSynced(absl::string_view aBytes, uint64_t aOffset)
{
  Record record;
  for (uint64_t offset = aOffset + 1; offset < aBytes.size(); ++offset) {
    if (DecodeRecord(aBytes, offset, record).has_value() && record.mSyncedSize > aOffset) {
      return true;
    }
  }
  return false;
}

} // namespace

absl::Status
Damaged(const std::string& aPath, uint64_t aOffset, const std::string& aReason)
{
  return absl::DataLossError(absl::StrCat(aPath, " is damaged at offset ", aOffset, ": ", aReason));
}

std::string
EncodeSegmentHeader(uint64_t aSequence)
{
  std::string bytes = StartFile(kSegmentMagic);
  PutFixed64(bytes, aSequence);
  PutChecksum(bytes);
  return bytes;
}

std::string
EncodeRecord(const Record& aRecord)
{
  std::string bytes;
  PutFixed32(bytes, kRecordMagic);
  PutFixed32(bytes, static_cast<uint32_t>(aRecord.mPayload.size()));
  PutFixed32(bytes, static_cast<uint32_t>(aRecord.mType));
  PutFixed64(bytes, aRecord.mTerm);
  PutFixed64(bytes, aRecord.mIndex);
  PutFixed64(bytes, aRecord.mSyncedSize);
  bytes += aRecord.mPayload;
  PutChecksum(bytes);
  return bytes;
}

absl::StatusOr<SegmentContents>
DecodeSegment(const std::string& aPath, const std::string& aBytes, uint64_t aSequence, bool aLast)
{
  SegmentContents contents;
  uint64_t offset = 0;
  const bool hasHeader =
    aBytes.size() >= kSegmentHeaderBytes && HasValidChecksum(aBytes.substr(0, kSegmentHeaderBytes));
  if (hasHeader) {
    const absl::Status start = CheckFileStart(aPath, aBytes, kSegmentMagic);
    if (!start.ok()) {
      return start;
    }
    if (Fixed64(aBytes, 8) != aSequence) {
      return Damaged(aPath, 8, "the sequence number differs from the file name");
    }
    offset = kSegmentHeaderBytes;
    Record record;
    while (const std::optional<uint64_t> size = DecodeRecord(aBytes, offset, record)) {
      contents.mRecords.push_back(record);
      contents.mOffsets.push_back(offset);
      offset += *size;
    }
  }
  contents.mValidSize = offset;
  contents.mTorn = offset < aBytes.size() || offset == 0;
  if (contents.mTorn && (!aLast || WasSynced(aBytes, offset))) {
    return Damaged(aPath, offset, "no valid record, but later data was synced");
  }
  return contents;
}

std::string
EncodeHardState(const Consensus::HardState& aState)
{
  std::string bytes = StartFile(kTermMagic);
  PutFixed64(bytes, aState.mStorage.mValue);
  PutFixed64(bytes, aState.mTerm);
  PutFixed64(bytes, aState.mVotedFor.mValue);
  PutChecksum(bytes);
  return bytes;
}

absl::StatusOr<Consensus::HardState>
DecodeHardState(const std::string& aPath, const std::string& aBytes)
{
  if (aBytes.size() != kHardStateBytes) {
    return Damaged(aPath, aBytes.size(), absl::StrCat("must have ", kHardStateBytes, " bytes"));
  }
  if (!HasValidChecksum(aBytes)) {
    return Damaged(aPath, kHardStateBytes - kChecksumBytes, "wrong checksum");
  }
  const absl::Status start = CheckFileStart(aPath, aBytes, kTermMagic);
  if (!start.ok()) {
    return start;
  }
  Consensus::HardState state;
  state.mStorage = Consensus::StorageId(Fixed64(aBytes, 8));
  state.mTerm = Fixed64(aBytes, 16);
  state.mVotedFor = Consensus::StorageId(Fixed64(aBytes, 24));
  return state;
}

std::string
EncodeSnapshot(const Consensus::Snapshot& aSnapshot)
{
  std::string bytes = StartFile(kSnapshotMagic);
  bytes += aSnapshot.SerializeAsString();
  PutChecksum(bytes);
  return bytes;
}

absl::StatusOr<Consensus::Snapshot>
DecodeSnapshot(const std::string& aPath, const std::string& aBytes)
{
  if (aBytes.size() < kSnapshotHeaderBytes + kChecksumBytes || !HasValidChecksum(aBytes)) {
    const size_t checksum = aBytes.size() < kChecksumBytes ? 0 : aBytes.size() - kChecksumBytes;
    return Damaged(aPath, checksum, "wrong checksum");
  }
  const absl::Status start = CheckFileStart(aPath, aBytes, kSnapshotMagic);
  if (!start.ok()) {
    return start;
  }
  Consensus::Snapshot snapshot;
  const size_t size = aBytes.size() - kSnapshotHeaderBytes - kChecksumBytes;
  if (!snapshot.ParseFromString(aBytes.substr(kSnapshotHeaderBytes, size))) {
    return Damaged(aPath, kSnapshotHeaderBytes, "not a snapshot");
  }
  return snapshot;
}

} // namespace Storage::Internal
