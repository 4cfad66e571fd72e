#include "control/logdriver.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <memory>
#include <thread>
#include <unistd.h>
#include <vector>

// Included after the standard headers, which do not compile with CppUTest's macro for new.
#include <CppUTest/TestHarness.h>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSeeds = 3;
constexpr uint16_t kPeerPort = 7721;
constexpr uint16_t kOperatorPort = 8166;
constexpr uint32_t kLoopbackNetwork = 0x7f000000;
constexpr seconds kBound{ 20 };
constexpr milliseconds kPollInterval{ 10 };
/// A stop that waits for nothing but the next turn of the log thread.
constexpr milliseconds kShortStop{ 1000 };

/// Address in a loopback network of this process.
uint32_t
AddressOf(int aNumber)
{
  constexpr uint32_t kMask = 0xffff00;
  return kLoopbackNetwork | ((static_cast<uint32_t>(getpid()) << 8U) & kMask) |
         static_cast<uint32_t>(10 + aNumber);
}

/// A control instance whose id is its address, without an interface for operators.
struct Instance
{
  Instance(const std::string& aFolder, int aNumber)
    : mStore(std::chrono::hours(1))
  {
    const uint32_t address = AddressOf(aNumber);
    mSettings.mInstance = Base::InstanceId(address);
    mSettings.mPeerListen = { address, kPeerPort };
    mSettings.mOperatorListen = { address, kOperatorPort };
    mSettings.mDataDirectory = absl::StrCat(aFolder, "/", aNumber);
    mSettings.mIdsAreAddresses = true;
    Consensus::Settings& consensus = mSettings.mConsensus;
    consensus.mSelf = mSettings.mInstance;
    for (int seed = 0; seed < kSeeds; ++seed) {
      consensus.mInstances.emplace_back(AddressOf(seed));
    }
    consensus.mOpenMembership = true;
    consensus.mCanFormCluster = aNumber < kSeeds;
    std::filesystem::create_directories(mSettings.mDataDirectory);
    mLog =
      std::make_unique<Control::LogDriver>(mSettings, mStore, static_cast<uint64_t>(aNumber + 1));
  }

  lw::operator_api::ControlStatus Status() const
  {
    lw::operator_api::ControlStatus status;
    mLog->FillStatus(status);
    return status;
  }

  Control::ControlSettings mSettings;
  Control::ConfigStore mStore;
  std::unique_ptr<Control::LogDriver> mLog;
};

} // namespace

TEST_GROUP(PlannedStop)
{
  std::string mFolder;
  std::vector<std::unique_ptr<Instance>> mInstances;

  void setup() override
  {
    std::string name = std::filesystem::temp_directory_path() / "lw-plannedstop-XXXXXX";
    CHECK_TRUE(mkdtemp(name.data()) != nullptr);
    mFolder = name;
    for (int number = 0; number < kSeeds; ++number) {
      Add();
    }
    CHECK_TRUE(WaitUntil([this] { return Leader() != nullptr && Voters() == kSeeds; }));
  }

  void teardown() override
  {
    mInstances.clear();
    std::filesystem::remove_all(mFolder);
  }

  void Add()
  {
    mInstances.push_back(std::make_unique<Instance>(mFolder, static_cast<int>(mInstances.size())));
    CHECK_TRUE(mInstances.back()->mLog->Start().ok());
  }

  template<typename Condition>
  static bool WaitUntil(const Condition& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kBound;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kPollInterval);
    }
    return aCondition();
  }

  /// \return the leader, or nullptr.
  Instance* Leader() const
  {
    for (const std::unique_ptr<Instance>& instance : mInstances) {
      if (instance->Status().leads()) {
        return instance.get();
      }
    }
    return nullptr;
  }

  /// \return one of the first instances that does not lead.
  Instance* Follower() const
  {
    return mInstances[0].get() == Leader() ? mInstances[1].get() : mInstances[0].get();
  }

  /// \return the number of members in the leader's membership, 0 without a leader.
  int Members() const
  {
    const Instance* leader = Leader();
    return leader == nullptr ? 0 : leader->Status().members_size();
  }

  int Voters() const
  {
    const Instance* leader = Leader();
    if (leader == nullptr) {
      return 0;
    }
    const lw::operator_api::ControlStatus status = leader->Status();
    const auto& members = status.members();
    return static_cast<int>(std::count_if(
      members.begin(), members.end(), [](const auto& aMember) { return aMember.voter(); }));
  }

  bool IsMember(const Instance& aInstance) const
  {
    const lw::operator_api::ControlStatus status = Leader()->Status();
    return std::any_of(status.members().begin(), status.members().end(), [&](const auto& aMember) {
      return aMember.instance() == aInstance.mSettings.mInstance.mValue;
    });
  }

  /// Stops an instance as SIGTERM does.
  /// \return the duration of the stop.
  static Base::Duration Stop(Instance & aInstance)
  {
    const auto begin = std::chrono::steady_clock::now();
    aInstance.mLog->Stop();
    return std::chrono::steady_clock::now() - begin;
  }

  /// Stops the leader or another voter while a learner waits, and requires that the learner is a
  /// voter in its place when the stop has ended.
  void StopWithALearner(bool aLeader)
  {
    Add();
    CHECK_TRUE(WaitUntil([this] { return Members() == kSeeds + 1; }));
    Instance* stopped = aLeader ? Leader() : Follower();
    Stop(*stopped);
    CHECK_TRUE(WaitUntil([this] { return Leader() != nullptr; }));
    CHECK_FALSE(IsMember(*stopped));
    LONGS_EQUAL(kSeeds, Voters());
    LONGS_EQUAL(kSeeds, Members());
  }
};

// Guards against a stopped control instance that still counts toward the quorum although its
// replacement is ready. The next loss of a disk would end the configuration for good.
TEST(PlannedStop, FollowerLeavesItsPlaceToALearner)
{
  StopWithALearner(false);
}

// Guards against the same if the leader stops, which first has to transfer the leadership.
TEST(PlannedStop, LeaderLeavesItsPlaceToALearner)
{
  StopWithALearner(true);
}

// Guards against a restart that costs a voter or takes long, although nothing can take its place.
TEST(PlannedStop, VoterWithoutAReplacementKeepsItsPlace)
{
  Instance* stopped = Follower();
  CHECK_TRUE(Stop(*stopped) < kShortStop);
  CHECK_TRUE(IsMember(*stopped));
  LONGS_EQUAL(kSeeds, Voters());
}
