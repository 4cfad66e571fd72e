#include "fakedisk.h"

#include "storage/directory.h"

#include <CppUTest/TestHarness.h>

namespace {

constexpr char kPath[] = "/data";
constexpr Consensus::StorageId kStorage(77);

Consensus::Entry
MakeEntry(uint64_t aTerm, uint64_t aIndex)
{
  Consensus::Entry entry;
  entry.set_term(aTerm);
  entry.set_index(aIndex);
  entry.set_kind(lw::consensus::COMMAND);
  entry.set_command("change " + std::to_string(aIndex));
  return entry;
}

Consensus::Snapshot
MakeSnapshot(uint64_t aTerm, uint64_t aIndex)
{
  Consensus::Snapshot snapshot;
  snapshot.set_term(aTerm);
  snapshot.set_index(aIndex);
  snapshot.set_state("state");
  return snapshot;
}

} // namespace

TEST_GROUP(Directory)
{
  FakeDisk mDisk{ 1 };

  Storage::OpenResult MustOpen()
  {
    absl::StatusOr<Storage::OpenResult> opened = Storage::Open(mDisk.Port(), kPath, kStorage);
    CHECK_TRUE_TEXT(opened.ok(), std::string(opened.status().message()).c_str());
    return *std::move(opened);
  }

  void MustAppend(Storage::Directory & aDirectory, uint64_t aTerm, uint64_t aFirst, uint64_t aLast)
  {
    for (uint64_t index = aFirst; index <= aLast; ++index) {
      CHECK_TRUE(Storage::AppendEntries(aDirectory, { MakeEntry(aTerm, index) }).ok());
    }
  }
};

// Guards against a restart that loses the vote, the storage id or an entry.
TEST(Directory, KeepsWhatWasSyncedAcrossACrash)
{
  Storage::OpenResult opened = MustOpen();
  CHECK_TRUE(
    Storage::SaveHardState(opened.mDirectory, { kStorage, 5, Consensus::StorageId(9) }).ok());
  MustAppend(opened.mDirectory, 5, 1, 20);
  mDisk.Crash();
  const Storage::OpenResult again = MustOpen();
  LONGS_EQUAL(5, again.mRestored.mHardState.mTerm);
  CHECK_TRUE(again.mRestored.mHardState.mVotedFor == Consensus::StorageId(9));
  CHECK_TRUE(again.mRestored.mHardState.mStorage == kStorage);
  LONGS_EQUAL(20, again.mRestored.mEntries.size());
  STRCMP_EQUAL("change 20", again.mRestored.mEntries.back().command().c_str());
}

// Guards against restoring a replaced uncommitted entry of an old leader after a restart.
TEST(Directory, LaterEntryReplacesThoseFromItsIndexOn)
{
  Storage::OpenResult opened = MustOpen();
  MustAppend(opened.mDirectory, 1, 1, 10);
  MustAppend(opened.mDirectory, 2, 6, 7);
  const Storage::OpenResult again = MustOpen();
  LONGS_EQUAL(7, again.mRestored.mEntries.size());
  LONGS_EQUAL(1, again.mRestored.mEntries[4].term());
  LONGS_EQUAL(2, again.mRestored.mEntries[5].term());
}

// Guards against compaction that removes entries which are still needed, or that removes nothing.
TEST(Directory, SnapshotRemovesCompactedSegmentsOnly)
{
  Storage::OpenResult opened = MustOpen();
  MustAppend(opened.mDirectory, 1, 1, 10);
  CHECK_TRUE(Storage::SaveSnapshot(opened.mDirectory, MakeSnapshot(1, 10), 0).ok());
  MustAppend(opened.mDirectory, 1, 11, 20);
  CHECK_TRUE(Storage::SaveSnapshot(opened.mDirectory, MakeSnapshot(1, 20), 10).ok());
  MustAppend(opened.mDirectory, 1, 21, 25);
  mDisk.Crash();
  const Storage::OpenResult again = MustOpen();
  LONGS_EQUAL(20, again.mRestored.mSnapshot.index());
  LONGS_EQUAL(11, again.mRestored.mEntries.front().index());
  LONGS_EQUAL(25, again.mRestored.mEntries.back().index());
  LONGS_EQUAL(2, again.mDirectory.mSegments.size());
}

// Guards against using old entries that conflict with a received snapshot after a restart, and
// against a directory that cannot be opened, when the installation is interrupted at any operation.
// The second segment starts after the snapshot.
TEST(Directory, InstallationCutShortLeavesNoContradictingLog)
{
  for (uint64_t operations = 0; operations < 24; ++operations) {
    mDisk.Wipe();
    Storage::OpenResult opened = MustOpen();
    MustAppend(opened.mDirectory, 1, 1, 14);
    CHECK_TRUE(Storage::SaveSnapshot(opened.mDirectory, MakeSnapshot(1, 5), 0).ok());
    MustAppend(opened.mDirectory, 1, 15, 20);
    mDisk.mOperationsLeft = operations;
    const absl::Status installed =
      Storage::InstallSnapshot(opened.mDirectory, MakeSnapshot(3, 12), false);
    mDisk.Crash();
    Storage::OpenResult again = MustOpen();
    const uint64_t index = again.mRestored.mSnapshot.index();
    CHECK_TRUE(index == 12 || !installed.ok());
    LONGS_EQUAL(index == 12 ? 0 : 20, again.mRestored.mEntries.size());
    MustAppend(again.mDirectory, 3, index == 12 ? 13 : 21, 25);
    LONGS_EQUAL(25, MustOpen().mRestored.mEntries.back().index());
  }
}

// Guards against an entry that is read from the page cache after the process was killed, is treated
// as synced, and is lost in a later power failure.
TEST(Directory, OpenSyncsWhatItReads)
{
  Storage::OpenResult opened = MustOpen();
  MustAppend(opened.mDirectory, 1, 1, 3);
  mDisk.mOperationsLeft = 1;
  CHECK_FALSE(Storage::AppendEntries(opened.mDirectory, { MakeEntry(1, 4) }).ok());
  mDisk.mOperationsLeft = 1000;
  LONGS_EQUAL(4, MustOpen().mRestored.mEntries.size());
  mDisk.Crash();
  LONGS_EQUAL(4, MustOpen().mRestored.mEntries.size());
}

// Guards against acknowledging data after a write failed on a full disk or a sync failed,
// immediately or later when there is space again.
TEST(Directory, FailsForGoodAfterTheFirstFailedWriteOrSync)
{
  for (uint64_t operations = 0; operations < 2; ++operations) {
    mDisk.Wipe();
    Storage::OpenResult opened = MustOpen();
    MustAppend(opened.mDirectory, 1, 1, 3);
    mDisk.mOperationsLeft = operations;
    CHECK_FALSE(Storage::AppendEntries(opened.mDirectory, { MakeEntry(1, 4) }).ok());
    mDisk.mOperationsLeft = 1000;
    CHECK_FALSE(Storage::AppendEntries(opened.mDirectory, { MakeEntry(1, 4) }).ok());
    CHECK_FALSE(Storage::SaveHardState(opened.mDirectory, { kStorage, 2, kStorage }).ok());
    CHECK_FALSE(Storage::SaveSnapshot(opened.mDirectory, MakeSnapshot(1, 3), 0).ok());
    mDisk.Crash();
    CHECK_TRUE(MustOpen().mRestored.mEntries.size() >= 3);
  }
}

// Guards against a crash that loses a vote or leaves a partially written term file.
TEST(Directory, TermFileIsOldOrNewAfterACrashAtAnyPoint)
{
  // Each operation is interrupted several times, because a random part of the data survives.
  for (uint64_t run = 0; run < 40; ++run) {
    const uint64_t operations = run % 4;
    mDisk.Wipe();
    Storage::OpenResult opened = MustOpen();
    CHECK_TRUE(Storage::SaveHardState(opened.mDirectory, { kStorage, 1, kStorage }).ok());
    mDisk.mOperationsLeft = operations;
    const bool saved = Storage::SaveHardState(opened.mDirectory, { kStorage, 2, kStorage }).ok();
    mDisk.Crash();
    const uint64_t term = MustOpen().mRestored.mHardState.mTerm;
    CHECK_TRUE(term == 2 || (term == 1 && !saved));
  }
}
