#include "distribution/statefile.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace {

lw::config::State
MakeState(uint64_t aVersion)
{
  lw::config::State state;
  state.set_version(aVersion);
  state.add_services()->set_name("counter");
  return state;
}

} // namespace

TEST_GROUP(StateFile)
{
  std::string mDirectory;
  std::string Path() const
  {
    return mDirectory + "/config.state";
  }

  void setup() override
  {
    char name[] = "/tmp/lw-statefile-XXXXXX";
    mDirectory = mkdtemp(name);
  }
  void teardown() override
  {
    unlink(Path().c_str());
    rmdir(mDirectory.c_str());
  }
};

TEST(StateFile, ReadsWhatItWrote)
{
  CHECK_TRUE(absl::IsNotFound(Distribution::ReadStateFile(mDirectory).status()));
  CHECK_TRUE(Distribution::WriteStateFile(mDirectory, MakeState(7)).ok());
  CHECK_TRUE(Distribution::WriteStateFile(mDirectory, MakeState(8)).ok());
  const absl::StatusOr<lw::config::State> state = Distribution::ReadStateFile(mDirectory);
  CHECK_TRUE(state.ok());
  LONGS_EQUAL(8, state->version());
}

// Guards against a damaged file that is loaded as a configuration.
TEST(StateFile, RefusesAnyChangedOrMissingByte)
{
  CHECK_TRUE(Distribution::WriteStateFile(mDirectory, MakeState(7)).ok());
  std::ifstream file(Path(), std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  const std::string valid = text.str();
  for (size_t position = 0; position < valid.size(); ++position) {
    std::string damaged = valid;
    damaged[position] = static_cast<char>(damaged[position] ^ 1);
    std::ofstream(Path(), std::ios::binary) << damaged;
    CHECK_TRUE(absl::IsDataLoss(Distribution::ReadStateFile(mDirectory).status()));
    std::ofstream(Path(), std::ios::binary) << valid.substr(0, position);
    CHECK_TRUE(absl::IsDataLoss(Distribution::ReadStateFile(mDirectory).status()));
  }
}

// Guards against a failed write that is reported as successful.
TEST(StateFile, ReportsADirectoryThatCannotBeWritten)
{
  CHECK_TRUE(absl::IsDataLoss(Distribution::WriteStateFile("/proc/none", MakeState(1))));
}
