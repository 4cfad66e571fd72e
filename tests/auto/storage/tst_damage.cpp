#include "fakedisk.h"

#include "storage/directory.h"
#include "storage/encoding.h"

#include <CppUTest/TestHarness.h>

namespace {

constexpr char kPath[] = "/data";
constexpr char kSegment[] = "/data/log-00000000000000000001";
constexpr Consensus::StorageId kStorage(77);

std::vector<Consensus::Entry>
MakeEntries(uint64_t aFirst, uint64_t aLast)
{
  std::vector<Consensus::Entry> entries;
  for (uint64_t index = aFirst; index <= aLast; ++index) {
    Consensus::Entry entry;
    entry.set_term(1);
    entry.set_index(index);
    entry.set_kind(lw::consensus::COMMAND);
    entry.set_command(std::string(20 + index % 7, 'x'));
    entries.push_back(entry);
  }
  return entries;
}

} // namespace

TEST_GROUP(Damage)
{
  FakeDisk mDisk{ 3 };

  void Fill(uint64_t aBatches)
  {
    mDisk.Wipe();
    absl::StatusOr<Storage::OpenResult> opened = Storage::Open(mDisk.Port(), kPath, kStorage);
    CHECK_TRUE(opened.ok());
    for (uint64_t i = 0; i < aBatches; ++i) {
      CHECK_TRUE(
        Storage::AppendEntries(opened->mDirectory, MakeEntries(i * 3 + 1, i * 3 + 3)).ok());
    }
  }

  absl::StatusOr<Storage::OpenResult> Reopen()
  {
    return Storage::Open(mDisk.Port(), kPath, kStorage);
  }
};

// Guards against a torn last batch that prevents a start, that is restored with wrong bytes, or
// that causes the loss of synced entries.
TEST(Damage, TruncatesATornBatchWhereverItIsCutOrWrong)
{
  Fill(4);
  const std::string synced = mDisk.mFiles[kSegment];
  Fill(5);
  const std::string full = mDisk.mFiles[kSegment];
  for (size_t size = synced.size(); size < full.size(); ++size) {
    mDisk.mFiles[kSegment] = full.substr(0, size);
    CHECK_TRUE(Reopen().ok());
    mDisk.mFiles[kSegment] = full;
    mDisk.mFiles[kSegment][size] ^= 0x01;
    const absl::StatusOr<Storage::OpenResult> opened = Reopen();
    CHECK_TRUE_TEXT(opened.ok(), std::string(opened.status().message()).c_str());
    const size_t entries = opened->mRestored.mEntries.size();
    CHECK_TRUE(entries >= 12 && entries < 15);
    LONGS_EQUAL(1, opened->mNotices.size());
    STRCMP_CONTAINS("truncated a torn write", opened->mNotices[0].c_str());
  }
}

// Guards against dropping damaged synced entries as if they were a torn write.
TEST(Damage, RefusesDamageBeforeTheTailWithFileAndOffset)
{
  Fill(4);
  const std::string synced = mDisk.mFiles[kSegment];
  Fill(5);
  const std::string full = mDisk.mFiles[kSegment];
  for (size_t offset = 0; offset < synced.size(); ++offset) {
    mDisk.mFiles[kSegment] = full;
    mDisk.mFiles[kSegment][offset] ^= 0x01;
    const absl::StatusOr<Storage::OpenResult> opened = Reopen();
    CHECK_TRUE(absl::IsDataLoss(opened.status()));
    const std::string message(opened.status().message());
    STRCMP_CONTAINS(kSegment, message.c_str());
    STRCMP_CONTAINS("at offset ", message.c_str());
    CHECK_TRUE(mDisk.mFiles[kSegment].size() == full.size());
  }
}

// Guards against accepting a term file or a snapshot with a wrong byte at any offset.
TEST(Damage, RefusesADamagedTermFileOrSnapshot)
{
  Fill(4);
  absl::StatusOr<Storage::OpenResult> opened = Reopen();
  Consensus::Snapshot snapshot;
  snapshot.set_index(12);
  snapshot.set_term(1);
  snapshot.set_state("state");
  CHECK_TRUE(Storage::SaveSnapshot(opened->mDirectory, snapshot, 0).ok());
  const auto files = mDisk.mFiles;
  for (const std::string file : { "/data/term", "/data/snapshot-00000000000000000012" }) {
    for (size_t offset = 0; offset < files.at(file).size(); ++offset) {
      mDisk.mFiles = files;
      mDisk.mFiles[file][offset] ^= 0x10;
      const absl::Status status = Reopen().status();
      CHECK_TRUE(absl::IsDataLoss(status));
      STRCMP_CONTAINS(file.c_str(), std::string(status.message()).c_str());
    }
  }
}

// Guards against starting without the vote or without part of the log.
TEST(Damage, RefusesMissingFiles)
{
  Fill(2);
  absl::StatusOr<Storage::OpenResult> opened = Reopen();
  Consensus::Snapshot snapshot;
  snapshot.set_index(6);
  snapshot.set_term(1);
  CHECK_TRUE(Storage::SaveSnapshot(opened->mDirectory, snapshot, 0).ok());
  CHECK_TRUE(Storage::AppendEntries(opened->mDirectory, MakeEntries(7, 9)).ok());
  const auto files = mDisk.mFiles;
  mDisk.mFiles.erase("/data/term");
  CHECK_TRUE(absl::IsDataLoss(Reopen().status()));
  mDisk.mFiles = files;
  mDisk.mFiles.erase(kSegment);
  mDisk.mFiles.erase("/data/snapshot-00000000000000000006");
  CHECK_TRUE(absl::IsDataLoss(Reopen().status()));
}

// Guards against reading a later file format as if it were the current one.
TEST(Damage, RefusesAnotherFormatVersion)
{
  Fill(1);
  std::string bytes = mDisk.mFiles["/data/term"];
  bytes.resize(bytes.size() - 4);
  bytes[4] = 2;
  Storage::Internal::PutChecksum(bytes);
  mDisk.mFiles["/data/term"] = bytes;
  const absl::Status status = Reopen().status();
  CHECK_TRUE(absl::IsDataLoss(status));
  STRCMP_CONTAINS("format version 2 is not supported", std::string(status.message()).c_str());
}

// Guards against an inspection that modifies the directory, for example by truncating a torn write.
TEST(Damage, InspectionChangesNothing)
{
  Fill(3);
  mDisk.mFiles[kSegment].resize(mDisk.mFiles[kSegment].size() - 5);
  const auto files = mDisk.mFiles;
  const absl::StatusOr<Storage::Contents> contents = Storage::Load(mDisk.Port(), kPath);
  CHECK_TRUE(contents.ok());
  CHECK_TRUE(contents->mTornTail);
  STRCMP_CONTAINS("entries: 1 to 8, last term 1", Storage::Describe(*contents).c_str());
  CHECK_TRUE(files == mDisk.mFiles);
}
