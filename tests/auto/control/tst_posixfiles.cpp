#include "control/posixfiles.h"

#include "storage/directory.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>

TEST_GROUP(PosixFiles)
{
  std::string mPath;

  void setup() override
  {
    std::string pattern = std::filesystem::temp_directory_path() / "tst_posixfiles.XXXXXX";
    mPath = mkdtemp(pattern.data());
  }

  void teardown() override
  {
    std::filesystem::remove_all(mPath);
  }
};

// Guards against two processes writing to the same data directory.
TEST(PosixFiles, DirectoryIsLockedOnce)
{
  const std::string directory = mPath + "/data";
  {
    Control::DirectoryLock first;
    CHECK_TRUE(first.Acquire(directory).ok());
    Control::DirectoryLock second;
    const absl::Status status = second.Acquire(directory);
    CHECK_TRUE(absl::IsFailedPrecondition(status));
    STRCMP_CONTAINS(directory.c_str(), std::string(status.message()).c_str());
  }
  Control::DirectoryLock third;
  CHECK_TRUE(third.Acquire(directory).ok());
}

// Guards against a torn write at the end of a real file that is not detected or not truncated.
TEST(PosixFiles, TornTailOfARealFileIsTruncated)
{
  const Storage::FilePort files = Control::PosixFiles();
  const Consensus::StorageId storage(5);
  absl::StatusOr<Storage::OpenResult> opened = Storage::Open(files, mPath, storage);
  CHECK_TRUE(opened.ok());
  Consensus::Entry entry;
  entry.set_term(1);
  entry.set_index(1);
  CHECK_TRUE(Storage::AppendEntries(opened->mDirectory, { entry }).ok());
  const std::string segment = mPath + "/log-00000000000000000001";
  const auto size = std::filesystem::file_size(segment);
  CHECK_TRUE(files.mAppend(segment, "torn").ok());
  opened = Storage::Open(files, mPath, storage);
  CHECK_TRUE(opened.ok());
  LONGS_EQUAL(1, opened->mRestored.mEntries.size());
  LONGS_EQUAL(1, opened->mNotices.size());
  LONGS_EQUAL(size, std::filesystem::file_size(segment));
}

// Guards against a failed operation that reports success, or an error without the path.
TEST(PosixFiles, FailedOperationsNameThePath)
{
  const Storage::FilePort files = Control::PosixFiles();
  const std::string missing = mPath + "/missing/file";
  for (const absl::Status& status : { files.mAppend(missing, "x"),
                                      files.mSyncFile(missing),
                                      files.mSyncDirectory(missing),
                                      files.mTruncate(missing, 0),
                                      files.mRename(missing, mPath + "/other"),
                                      files.mRemove(missing),
                                      files.mRead(missing).status(),
                                      files.mList(missing).status() }) {
    CHECK_FALSE(status.ok());
    STRCMP_CONTAINS(missing.c_str(), std::string(status.message()).c_str());
  }
}
