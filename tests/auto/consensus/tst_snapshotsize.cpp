#include "../storage/fakedisk.h"
#include "replication/replica.h"

#include <CppUTest/TestHarness.h>

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t kCommandBytes = 10000;
constexpr uint64_t kIntervalBytes = 100000;
constexpr uint64_t kRetainedBytes = 50000;
/// Size of the state machine, which holds the latest command only.
constexpr size_t kStateBytes = kCommandBytes;
constexpr int kCommands = 500;
/// An interval in the segment that is being written, another one with the retained entries at its
/// end, and two snapshots while one replaces the other.
constexpr size_t kMaxDiskBytes = 2 * (kIntervalBytes + kCommandBytes) + 2 * kStateBytes + 5000;

} // namespace

/// A log with a single replica, whose entries are complete configurations.
TEST_GROUP(SnapshotSize)
{
  FakeDisk mDisk{ 5 };
  Consensus::Settings mSettings;
  Base::TimePoint mNow{ seconds(1) };
  Replication::Replica mReplica;

  void setup() override
  {
    mSettings.mSelf = Base::InstanceId(1);
    mSettings.mInstances = { mSettings.mSelf };
    mSettings.mSnapshotIntervalBytes = kIntervalBytes;
    mSettings.mRetainedBytes = kRetainedBytes;
    Open();
  }

  void Open()
  {
    Replication::ReplicaPorts ports;
    ports.mSend = [](const Consensus::Message&) {};
    ports.mApply = [](const Consensus::Entry&) {};
    ports.mLoadState = [](const std::string&) { return absl::OkStatus(); };
    ports.mSaveState = [] { return std::string(kStateBytes, 's'); };
    ports.mFinishRead = [](uint64_t, bool) {};
    ports.mReportFailure = [](const absl::Status&) {};
    std::vector<std::string> notices;
    auto replica = Replication::OpenReplica(
      mSettings, mDisk.Port(), "/data", ports, Base::RandomSource{ 4 }, mNow, notices);
    CHECK_TRUE(replica.ok());
    mReplica = *std::move(replica);
  }

  bool Lead()
  {
    for (int i = 0; i < 1000 && mReplica.mNode.mRole != Consensus::Role::Leader; ++i) {
      mNow += milliseconds(10);
      Replication::Perform(
        mReplica, mNow, Consensus::Tick(mReplica.mNode, Replication::MakeContext(mReplica, mNow)));
    }
    return mReplica.mNode.mRole == Consensus::Role::Leader;
  }

  bool Propose(const std::string& aCommand)
  {
    Consensus::Output output;
    const auto index = Consensus::Propose(
      mReplica.mNode, Replication::MakeContext(mReplica, mNow), { aCommand }, output);
    Replication::Perform(mReplica, mNow, std::move(output));
    return index.ok();
  }

  size_t DiskBytes() const
  {
    size_t bytes = 0;
    for (const auto& [path, content] : mDisk.mFiles) {
      bytes += content.size();
    }
    return bytes;
  }

  uint64_t LogBytes() const
  {
    const Consensus::Log& log = mReplica.mNode.mLog;
    return Consensus::BytesBetween(log, log.mBaseIndex, Consensus::LastIndex(log));
  }
};

// Guards against large entries that fill the disk, or the memory of the next start, long before the
// number of entries calls for a snapshot.
TEST(SnapshotSize, LargeEntriesAreCompacted)
{
  CHECK_TRUE(Lead());
  size_t maxDiskBytes = 0;
  uint64_t maxLogBytes = 0;
  for (int i = 0; i < kCommands; ++i) {
    CHECK_TRUE(Propose(std::string(kCommandBytes, 'c')));
    maxDiskBytes = std::max(maxDiskBytes, DiskBytes());
    maxLogBytes = std::max(maxLogBytes, LogBytes());
  }
  CHECK_COMPARE(maxDiskBytes, <=, kMaxDiskBytes);
  CHECK_COMPARE(maxLogBytes, <=, kIntervalBytes + kRetainedBytes + kCommandBytes);
  const Consensus::LogIndex last = Consensus::LastIndex(mReplica.mNode.mLog);
  mDisk.Crash();
  Open();
  LONGS_EQUAL(last, Consensus::LastIndex(mReplica.mNode.mLog));
  // The segment with the retained entries is read as a whole.
  CHECK_COMPARE(LogBytes(), <=, 2 * (kIntervalBytes + kCommandBytes));
}

// Guards against a snapshot for each entry: the state may be much larger than a small change.
TEST(SnapshotSize, SmallEntriesDoNotCauseSnapshots)
{
  CHECK_TRUE(Lead());
  for (int i = 0; i < kCommands; ++i) {
    CHECK_TRUE(Propose("change"));
  }
  LONGS_EQUAL(0, mReplica.mNode.mSnapshot.index());
}

// Guards against sizes that do not follow the entries that are removed at either end.
TEST(SnapshotSize, SizesFollowTheLog)
{
  Consensus::Log log;
  std::vector<uint64_t> sizes;
  for (Consensus::LogIndex index = 1; index <= 6; ++index) {
    Consensus::Entry entry;
    entry.set_index(index);
    entry.set_command(std::string(index * 10, 'c'));
    sizes.push_back(entry.ByteSizeLong());
    Consensus::AppendEntry(log, std::move(entry));
  }
  LONGS_EQUAL(sizes[2] + sizes[3], Consensus::BytesBetween(log, 2, 4));
  Consensus::Compact(log, 2);
  LONGS_EQUAL(sizes[2] + sizes[3], Consensus::BytesBetween(log, 0, 4));
  Consensus::TruncateFrom(log, 5);
  LONGS_EQUAL(sizes[3], Consensus::BytesBetween(log, 3, 100));
  LONGS_EQUAL(0, Consensus::BytesBetween(log, 4, 3));
}
