#include "../storage/fakedisk.h"
#include "fleet/directorycache.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(DirectoryCache)
{
  FakeDisk mDisk{ 3 };

  static lw::fleet::PollReply Upstreams(uint64_t aCount)
  {
    lw::fleet::PollReply reply;
    for (uint64_t id = 1; id <= aCount; ++id) {
      reply.add_upstreams()->set_id(id);
    }
    return reply;
  }
};

// Guards against an empty or outdated directory after a restart of the control instance.
TEST(DirectoryCache, LatestUpstreamsAreRead)
{
  const Storage::FilePort port = mDisk.Port();
  CHECK_TRUE(absl::IsNotFound(Fleet::ReadUpstreams(port, "/data").status()));
  CHECK_TRUE(Fleet::WriteUpstreams(port, "/data", Upstreams(3)).ok());
  CHECK_TRUE(Fleet::WriteUpstreams(port, "/data", Upstreams(5)).ok());
  LONGS_EQUAL(5, Fleet::ReadUpstreams(port, "/data")->upstreams_size());
}

// Guards against corrupt files that are accepted, and against left-over files that make later
// writes fail.
TEST(DirectoryCache, CorruptOrTruncatedFilesAreRejected)
{
  const Storage::FilePort port = mDisk.Port();
  CHECK_TRUE(Fleet::WriteUpstreams(port, "/data", Upstreams(3)).ok());
  std::string& bytes = mDisk.mFiles.at("/data/upstreams");
  for (size_t size = 0; size < bytes.size(); ++size) {
    const std::string whole = bytes;
    bytes.resize(size);
    CHECK_FALSE(Fleet::ReadUpstreams(port, "/data").ok());
    bytes = whole;
    bytes[size] = static_cast<char>(bytes[size] ^ 1);
    CHECK_FALSE(Fleet::ReadUpstreams(port, "/data").ok());
    bytes = whole;
  }
  mDisk.mFiles["/data/upstreams.next"] = "left over";
  CHECK_TRUE(Fleet::WriteUpstreams(port, "/data", Upstreams(4)).ok());
  LONGS_EQUAL(4, Fleet::ReadUpstreams(port, "/data")->upstreams_size());
}

// Guards against a failed write, for example on a full disk, that destroys the previous file.
TEST(DirectoryCache, FailedWriteKeepsTheOldFile)
{
  const Storage::FilePort port = mDisk.Port();
  CHECK_TRUE(Fleet::WriteUpstreams(port, "/data", Upstreams(3)).ok());
  for (uint64_t left = 0; left < 3; ++left) {
    mDisk.mOperationsLeft = left;
    const bool written = Fleet::WriteUpstreams(port, "/data", Upstreams(9)).ok();
    mDisk.mOperationsLeft = 1000;
    LONGS_EQUAL(written ? 9 : 3, Fleet::ReadUpstreams(port, "/data")->upstreams_size());
    CHECK_TRUE(Fleet::WriteUpstreams(port, "/data", Upstreams(3)).ok());
  }
}
