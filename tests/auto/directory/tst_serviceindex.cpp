#include "base/random.h"
#include "directory/mergeddirectory.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <tuple>
#include <utility>

using std::chrono::seconds;

namespace {

bool
IsBefore(const Directory::MergedUpstream* aFirst, const Directory::MergedUpstream* aSecond)
{
  const Directory::Upstream& first = aFirst->mUpstream;
  const Directory::Upstream& second = aSecond->mUpstream;
  return std::tie(first.mId, first.mStartedAtMs) < std::tie(second.mId, second.mStartedAtMs);
}

/// \return the index as it follows from the upstreams of the directory.
Directory::ServiceIndex
RebuiltIndex(const Directory::MergedDirectory& aDirectory)
{
  Directory::ServiceIndex index;
  for (const auto& [tag, upstream] : aDirectory.mByTag) {
    const Directory::Upstream& described = upstream.mUpstream;
    Directory::ZoneUpstreams& zone = index[described.mService][described.mAvailabilityZone];
    ++zone.mKnown;
    if (described.mState == Directory::State::Ready) {
      zone.mReady.push_back(&upstream);
    }
  }
  for (auto& [service, zones] : index) {
    for (auto& [name, zone] : zones) {
      std::sort(zone.mReady.begin(), zone.mReady.end(), IsBefore);
    }
  }
  return index;
}

bool
IsEqual(const Directory::ZoneIndex& aFirst, const Directory::ZoneIndex& aSecond)
{
  return std::equal(aFirst.begin(),
                    aFirst.end(),
                    aSecond.begin(),
                    aSecond.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first == aRight.first &&
                             aLeft.second.mKnown == aRight.second.mKnown &&
                             aLeft.second.mReady == aRight.second.mReady;
                    });
}

bool
IsIndexCorrect(const Directory::MergedDirectory& aDirectory)
{
  const Directory::ServiceIndex expected = RebuiltIndex(aDirectory);
  const auto& index = aDirectory.mByService;
  return index.size() == expected.size() &&
         std::all_of(index.begin(), index.end(), [&expected](const auto& aService) {
           const auto found = expected.find(aService.first);
           return found != expected.end() && IsEqual(aService.second, found->second);
         });
}

} // namespace

TEST_GROUP(ServiceIndex)
{
  Base::RandomSource mRandom{ 1 };
  Directory::MergedDirectory mDirectory;
  Base::TimePoint mNow{ seconds(1000) };
  /// Replies in which upstreams stopped being ready, and upstreams that expired.
  size_t mRetirements = 0;
  size_t mExpired = 0;
  size_t mMostReady = 0;

  uint32_t Below(uint32_t aBound)
  {
    return static_cast<uint32_t>(Base::NextBelow(mRandom, aBound));
  }

  /// Few ids, starts and addresses, so that starts replace each other, take each other's address
  /// and change their properties. Address 0 is that of a departure from the log.
  void AddRandomUpstream(lw::fleet::PollReply & aReply)
  {
    lw::fleet::Upstream* upstream = aReply.add_upstreams();
    upstream->set_id(1 + Below(30));
    upstream->set_started_at_ms(1 + Below(6));
    upstream->set_address(Below(60));
    upstream->set_port(upstream->address() == 0 ? 0 : 8080);
    upstream->set_service("service-" + std::to_string(Below(3)));
    upstream->set_availability_zone("zone-" + std::to_string(Below(3)));
    upstream->set_state(Below(4) > 0 ? lw::fleet::READY : lw::fleet::DRAINING);
    upstream->set_silent(Below(2) == 0);
    upstream->set_age_ms(Below(100'000));
  }

  void MergeRandomReply()
  {
    lw::fleet::PollReply reply;
    reply.set_directory_epoch(Below(2));
    for (uint32_t count = Below(4); count > 0; --count) {
      AddRandomUpstream(reply);
    }
    const Base::InstanceId control(1 + Below(3));
    mRetirements += Directory::Merge(mDirectory, control, reply, mNow).empty() ? 0 : 1;
  }

  void ChangeRandomly()
  {
    mNow += seconds(Below(4));
    switch (Below(8)) {
      case 0: {
        const size_t before = mDirectory.mByTag.size();
        Directory::RemoveExpiredUpstreams(mDirectory, mNow);
        mExpired += before - mDirectory.mByTag.size();
        break;
      }
      case 1: {
        const Directory::UpstreamId id(1 + Below(30));
        Directory::Remove(mDirectory, Directory::TagOf(id, 1 + Below(6)));
        break;
      }
      default:
        MergeRandomReply();
    }
  }

  size_t ReadyCount() const
  {
    size_t count = 0;
    for (const auto& [service, zones] : mDirectory.mByService) {
      for (const auto& [name, zone] : zones) {
        count += zone.mReady.size();
      }
    }
    return count;
  }
};

// Guards against an index that differs from the directory: new flows would go to upstreams that
// are draining, gone or of another service, or ready upstreams would get none.
TEST(ServiceIndex, EqualsARebuiltOneAfterAnyChange)
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    mRandom = Base::RandomSource{ seed };
    mDirectory = Directory::MergedDirectory();
    for (int step = 0; step < 1000; ++step) {
      ChangeRandomly();
      CHECK_TRUE(IsIndexCorrect(mDirectory));
      mMostReady = std::max(mMostReady, ReadyCount());
    }
  }
  CHECK_TRUE(mRetirements > 1000);
  CHECK_TRUE(mExpired > 100);
  CHECK_TRUE(mMostReady > 10);
}

// Guards against the index of a copy that refers to upstreams of the original, which may be removed
// before the copy is used.
TEST(ServiceIndex, CopiesHaveAnIndexOfTheirOwn)
{
  while (ReadyCount() < 5) {
    MergeRandomReply();
  }
  Directory::MergedDirectory copy(mDirectory);
  CHECK_TRUE(IsIndexCorrect(copy));
  Directory::MergedDirectory assigned;
  assigned = copy;
  CHECK_TRUE(IsIndexCorrect(assigned));
  const Directory::MergedDirectory moved(std::move(copy));
  CHECK_TRUE(IsIndexCorrect(moved));
  LONGS_EQUAL(mDirectory.mByTag.size(), moved.mByTag.size());
}

// Guards against a service without upstreams that stays in the index, and against a fault if its
// upstreams are looked up.
TEST(ServiceIndex, UnknownServicesHaveNoUpstreams)
{
  lw::fleet::PollReply reply;
  AddRandomUpstream(reply);
  reply.mutable_upstreams(0)->set_service("desk");
  reply.mutable_upstreams(0)->set_availability_zone("a");
  reply.mutable_upstreams(0)->set_state(lw::fleet::READY);
  Directory::Merge(mDirectory, Base::InstanceId(1), reply, mNow);
  LONGS_EQUAL(1, Directory::UpstreamsIn(mDirectory, "desk", "a").mReady.size());
  LONGS_EQUAL(0, Directory::UpstreamsIn(mDirectory, "desk", "b").mReady.size());
  LONGS_EQUAL(0, Directory::ZonesOf(mDirectory, "port").size());
  Directory::Remove(mDirectory, mDirectory.mByTag.begin()->first);
  LONGS_EQUAL(0, Directory::ZonesOf(mDirectory, "desk").size());
  LONGS_EQUAL(0, mDirectory.mByService.size());
}
