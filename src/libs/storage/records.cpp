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

// Magic, version, sequence number, checksum.
constexpr size_t kSegmentHeaderBytes = 4 + 4 + 8 + 4;
// Magic, payload length, type, term, index, synced size. Followed by the payload and the checksum.
constexpr size_t kRecordHeaderBytes = 4 + 4 + 4 + 8 + 8 + 8;
constexpr size_t kChecksumBytes = 4;
// Magic, version, storage id, term, storage id of the voted replica, checksum.
constexpr size_t kHardStateBytes = 4 + 4 + 8 + 8 + 8 + 4;
// Magic and version. Followed by the serialized snapshot and the checksum.
constexpr size_t kSnapshotHeaderBytes = 4 + 4;

std::string
MakeFileHeader(uint32_t aMagic)
{
  std::string bytes;
  PutFixed32(bytes, aMagic);
  PutFixed32(bytes, kFormatVersion);
  return bytes;
}

absl::Status
CheckFileHeader(const std::string& aPath, const std::string& aBytes, uint32_t aMagic)
{
  if (ReadFixed32(aBytes, 0) != aMagic) {
    return DamagedFileError(aPath, 0, "wrong file type");
  }
  const uint32_t version = ReadFixed32(aBytes, 4);
  if (version != kFormatVersion) {
    return DamagedFileError(
      aPath,
      4,
      absl::StrCat("format version ", version, " is not supported, expected ", kFormatVersion));
  }
  return absl::OkStatus();
}

/// \return the size of the record at the offset, or std::nullopt if it is invalid.
std::optional<uint64_t>
DecodeRecord(absl::string_view aBytes, uint64_t aOffset, Record& aRecord)
{
  const absl::string_view rest = aBytes.substr(aOffset);
  if (rest.size() < kRecordHeaderBytes + kChecksumBytes || ReadFixed32(rest, 0) != kRecordMagic) {
    return std::nullopt;
  }
  const uint64_t size = kRecordHeaderBytes + ReadFixed32(rest, 4) + kChecksumBytes;
  if (size > rest.size() || !HasValidChecksum(rest.substr(0, size))) {
    return std::nullopt;
  }
  aRecord.mType = static_cast<RecordType>(ReadFixed32(rest, 8));
  aRecord.mTerm = ReadFixed64(rest, 12);
  aRecord.mIndex = ReadFixed64(rest, 20);
  aRecord.mSyncedSize = ReadFixed64(rest, 28);
  aRecord.mPayload = std::string(rest.substr(kRecordHeaderBytes, ReadFixed32(rest, 4)));
  return size;
}

/// \return true if a later record proves that the byte at the offset was synced.
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
DamagedFileError(const std::string& aPath, uint64_t aOffset, const std::string& aReason)
{
  return absl::DataLossError(absl::StrCat(aPath, " is damaged at offset ", aOffset, ": ", aReason));
}

std::string
EncodeSegmentHeader(uint64_t aSequence)
{
  std::string bytes = MakeFileHeader(kSegmentMagic);
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
    const absl::Status start = CheckFileHeader(aPath, aBytes, kSegmentMagic);
    if (!start.ok()) {
      return start;
    }
    if (ReadFixed64(aBytes, 8) != aSequence) {
      return DamagedFileError(aPath, 8, "the sequence number differs from the file name");
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
    return DamagedFileError(aPath, offset, "invalid record before data that was synced later");
  }
  return contents;
}

std::string
EncodeHardState(const Consensus::HardState& aState)
{
  std::string bytes = MakeFileHeader(kTermMagic);
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
    return DamagedFileError(
      aPath, aBytes.size(), absl::StrCat("must have ", kHardStateBytes, " bytes"));
  }
  if (!HasValidChecksum(aBytes)) {
    return DamagedFileError(aPath, kHardStateBytes - kChecksumBytes, "wrong checksum");
  }
  const absl::Status start = CheckFileHeader(aPath, aBytes, kTermMagic);
  if (!start.ok()) {
    return start;
  }
  Consensus::HardState state;
  state.mStorage = Consensus::StorageId(ReadFixed64(aBytes, 8));
  state.mTerm = ReadFixed64(aBytes, 16);
  state.mVotedFor = Consensus::StorageId(ReadFixed64(aBytes, 24));
  return state;
}

std::string
EncodeSnapshot(const Consensus::Snapshot& aSnapshot)
{
  std::string bytes = MakeFileHeader(kSnapshotMagic);
  bytes += aSnapshot.SerializeAsString();
  PutChecksum(bytes);
  return bytes;
}

absl::StatusOr<Consensus::Snapshot>
DecodeSnapshot(const std::string& aPath, const std::string& aBytes)
{
  if (aBytes.size() < kSnapshotHeaderBytes + kChecksumBytes || !HasValidChecksum(aBytes)) {
    const size_t checksum = aBytes.size() < kChecksumBytes ? 0 : aBytes.size() - kChecksumBytes;
    return DamagedFileError(aPath, checksum, "wrong checksum");
  }
  const absl::Status start = CheckFileHeader(aPath, aBytes, kSnapshotMagic);
  if (!start.ok()) {
    return start;
  }
  Consensus::Snapshot snapshot;
  const size_t size = aBytes.size() - kSnapshotHeaderBytes - kChecksumBytes;
  if (!snapshot.ParseFromString(aBytes.substr(kSnapshotHeaderBytes, size))) {
    return DamagedFileError(aPath, kSnapshotHeaderBytes, "cannot parse the snapshot");
  }
  return snapshot;
}

} // namespace Storage::Internal
