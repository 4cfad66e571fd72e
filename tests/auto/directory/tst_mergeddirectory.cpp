#include "directory/mergeddirectory.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using Directory::State;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(MergedDirectory)
{
  Directory::MergedDirectory mDirectory;
  Base::TimePoint mNow{ seconds(1000) };
  const Base::InstanceId mControl{ 1 };
  const Base::InstanceId mOtherControl{ 2 };

  std::vector<Directory::RouteTag> Merge(uint64_t aId,
                                         uint64_t aStart,
                                         uint32_t aAddress,
                                         lw::fleet::UpstreamState aState,
                                         uint32_t aAgeMs = 0)
  {
    lw::fleet::PollReply reply;
    lw::fleet::Upstream* upstream = reply.add_upstreams();
    upstream->set_id(aId);
    upstream->set_started_at_ms(aStart);
    upstream->set_address(aAddress);
    upstream->set_port(aAddress == 0 ? 0 : 8080);
    upstream->set_service("desk");
    upstream->set_slots(2);
    upstream->set_state(aState);
    upstream->set_age_ms(aAgeMs);
    return Directory::Merge(mDirectory, mControl, reply, mNow);
  }

  /// Merges a reply without changes from a control instance.
  void Reply(Base::InstanceId aControl, uint64_t aEpoch = 0)
  {
    lw::fleet::PollReply reply;
    reply.set_directory_epoch(aEpoch);
    Directory::Merge(mDirectory, aControl, reply, mNow);
  }

  /// Merges a reply that reports upstream 1 as silent or as announcing itself.
  void ReportPresence(Base::InstanceId aControl, bool aSilent, uint32_t aAgeMs)
  {
    lw::fleet::PollReply reply;
    lw::fleet::Presence* presence = reply.add_presences();
    presence->set_tag(Find(1, 10)->mTag.mValue);
    presence->set_silent(aSilent);
    presence->set_age_ms(aAgeMs);
    Directory::Merge(mDirectory, aControl, reply, mNow);
  }

  Base::Duration Age()
  {
    return mNow - Directory::LastAnnounced(mDirectory, *Find(1, 10));
  }

  const Directory::MergedUpstream* Find(uint64_t aId, uint64_t aStart)
  {
    return Directory::Find(mDirectory, Directory::TagOf(Directory::UpstreamId(aId), aStart));
  }
};

// Guards against a control instance with old information that makes a draining upstream ready
// again.
TEST(MergedDirectory, StateNeverReverts)
{
  Merge(1, 10, 7, lw::fleet::READY);
  LONGS_EQUAL(1, Merge(1, 10, 7, lw::fleet::DRAINING).size());
  LONGS_EQUAL(0, Merge(1, 10, 7, lw::fleet::READY).size());
  CHECK_TRUE(Find(1, 10)->mUpstream.mState == State::Draining);
}

// Guards against packets that are forwarded to an upstream that has ended, after its address or id
// was reused.
TEST(MergedDirectory, NewerStartReplacesTheOlderOne)
{
  Merge(1, 10, 7, lw::fleet::READY);
  Merge(2, 20, 7, lw::fleet::READY);
  CHECK_TRUE(Find(1, 10)->mUpstream.mState == State::Gone);
  CHECK_TRUE(Find(2, 20)->mUpstream.mState == State::Ready);
  Merge(2, 30, 8, lw::fleet::READY);
  CHECK_TRUE(Find(2, 20)->mUpstream.mState == State::Gone);
  CHECK_TRUE(Find(2, 30)->mUpstream.mState == State::Ready);
}

// Guards against a delayed announcement of an ended upstream that reclaims its former address.
TEST(MergedDirectory, OlderStartDoesNotTakeTheAddress)
{
  Merge(2, 20, 7, lw::fleet::READY);
  Merge(1, 10, 7, lw::fleet::READY);
  CHECK_TRUE(Find(1, 10)->mUpstream.mState == State::Gone);
  CHECK_TRUE(Find(2, 20)->mUpstream.mState == State::Ready);
}

// Guards against a departure without an address that prevents the address from being set later, so
// that the upstream's flows can't be forwarded.
TEST(MergedDirectory, AddressArrivesAfterTheDeparture)
{
  Merge(1, 10, 0, lw::fleet::DRAINING);
  Merge(1, 10, 7, lw::fleet::READY);
  CHECK_TRUE(Find(1, 10)->mUpstream.mState == State::Draining);
  LONGS_EQUAL(8080, Find(1, 10)->mUpstream.mAddress.mPort);
}

// Guards against an earlier upstream that stays ready after another one has taken its address, if
// the departure of the later one is known before its announcement. New flows would go to the
// earlier one, and instances that know better reset them.
TEST(MergedDirectory, AddressAfterTheDepartureEndsTheEarlierUpstream)
{
  Merge(1, 10, 7, lw::fleet::READY);
  Merge(2, 20, 0, lw::fleet::DRAINING);
  LONGS_EQUAL(1, Merge(2, 20, 7, lw::fleet::READY).size());
  CHECK_TRUE(Find(1, 10)->mUpstream.mState == State::Gone);
  CHECK_TRUE(Find(2, 20)->mUpstream.mState == State::Draining);
  Merge(3, 15, 0, lw::fleet::DRAINING);
  Merge(3, 15, 7, lw::fleet::READY);
  CHECK_TRUE(Find(3, 15)->mUpstream.mState == State::Gone);
  CHECK_TRUE(Find(2, 20)->mUpstream.mState == State::Draining);
}

// Guards against an age that grows because one control instance no longer receives announcements of
// an upstream while another one does.
TEST(MergedDirectory, LatestAnnouncementDeterminesTheAge)
{
  Merge(1, 10, 7, lw::fleet::READY, 100);
  CHECK_TRUE(Age() == milliseconds(0));
  ReportPresence(mControl, true, 4000);
  CHECK_TRUE(Age() == milliseconds(100));
  mNow += seconds(5);
  ReportPresence(mOtherControl, true, 50);
  CHECK_TRUE(Age() == milliseconds(50));
}

// Guards against an upstream whose lease expires although a control instance receives its
// announcements, and against one that is renewed after the control instance stopped replying or
// restarted.
TEST(MergedDirectory, RepliesRenewUpstreamsThatAreNotSilent)
{
  Merge(1, 10, 7, lw::fleet::READY);
  mNow += seconds(60);
  Reply(mOtherControl);
  CHECK_TRUE(Age() == seconds(60));
  Reply(mControl);
  CHECK_TRUE(Age() == seconds(0));
  mNow += seconds(3);
  Reply(mControl, 9);
  CHECK_TRUE(Age() == seconds(3));
  ReportPresence(mOtherControl, false, 0);
  mNow += seconds(2);
  Reply(mOtherControl);
  CHECK_TRUE(Age() == seconds(0));
}

// Guards against a directory that keeps an entry for every upstream that ever existed.
TEST(MergedDirectory, SilentUpstreamsAreRemoved)
{
  Merge(1, 10, 7, lw::fleet::READY);
  mNow += seconds(300);
  Directory::RemoveExpiredUpstreams(mDirectory, mNow);
  LONGS_EQUAL(0, mDirectory.mByTag.size() + mDirectory.mNewest.size());
  LONGS_EQUAL(0, mDirectory.mByAddress.size() + mDirectory.mSources.size());
}
