#include "directory/announcements.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using Directory::AnnounceOutcome;
using std::chrono::seconds;

TEST_GROUP(Announcements)
{
  Directory::AnnouncementTable mTable;
  Base::TimePoint mNow{ seconds(1000) };

  void setup() override
  {
    mTable.mEpoch = 5;
  }

  static Directory::Announcement Make(uint64_t aStart, uint64_t aSequence)
  {
    Directory::Announcement announcement;
    announcement.mUpstream.mId = Directory::UpstreamId(1);
    announcement.mUpstream.mStartedAtMs = aStart;
    announcement.mUpstream.mAddress = { 0x0a000001, 8080 };
    announcement.mUpstream.mService = "desk";
    announcement.mSequence = aSequence;
    return announcement;
  }

  AnnounceOutcome Announce(uint64_t aStart, uint64_t aSequence)
  {
    return Directory::Announce(mTable, Make(aStart, aSequence), mNow);
  }

  lw::fleet::PollReply Poll(uint64_t aEpoch, uint64_t aRevision)
  {
    lw::fleet::Poll poll;
    poll.set_directory_epoch(aEpoch);
    poll.set_directory_revision(aRevision);
    lw::fleet::PollReply reply;
    Directory::FillReply(mTable, poll, mNow, reply);
    return reply;
  }
};

// Guards against delayed announcements that override newer ones.
TEST(Announcements, DelayedAnnouncementsAreIgnored)
{
  CHECK_TRUE(Announce(10, 3) == AnnounceOutcome::Changed);
  CHECK_TRUE(Announce(10, 4) == AnnounceOutcome::Renewed);
  CHECK_TRUE(Announce(10, 4) == AnnounceOutcome::Stale);
  CHECK_TRUE(Announce(10, 2) == AnnounceOutcome::Stale);
  CHECK_TRUE(Announce(9, 90) == AnnounceOutcome::Stale);
  CHECK_TRUE(Announce(11, 1) == AnnounceOutcome::Changed);
  CHECK_TRUE(Announce(10, 99) == AnnounceOutcome::Stale);
}

// Guards against a departed upstream that gets new flows again because of an announcement that was
// sent before its departure.
TEST(Announcements, DepartedStartStaysDeparted)
{
  Announce(10, 1);
  lw::config::Departure departure;
  departure.set_upstream(1);
  departure.set_started_at_ms(10);
  Directory::MarkDeparted(mTable, departure, mNow);
  Announce(10, 2);
  LONGS_EQUAL(lw::fleet::DRAINING, Poll(0, 0).upstreams(0).state());
  Announce(11, 1);
  LONGS_EQUAL(lw::fleet::READY, Poll(0, 0).upstreams(0).state());
}

// Guards against a departure that is overridden because it arrives before the first announcement.
TEST(Announcements, DepartureBeforeTheAnnouncementIsKept)
{
  lw::config::Departure departure;
  departure.set_upstream(1);
  departure.set_started_at_ms(10);
  Directory::MarkDeparted(mTable, departure, mNow);
  Announce(10, 5);
  LONGS_EQUAL(lw::fleet::DRAINING, Poll(0, 0).upstreams(0).state());
  LONGS_EQUAL(8080, Poll(0, 0).upstreams(0).port());
}

// Guards against replies that contain the whole directory each time, or miss a change.
TEST(Announcements, ReplyContainsOnlyChanges)
{
  Announce(10, 1);
  const uint64_t known = mTable.mRevision;
  LONGS_EQUAL(0, Poll(5, known).upstreams_size() + Poll(5, known).presences_size());
  LONGS_EQUAL(1, Poll(4, known).upstreams_size());
  Announce(11, 1);
  LONGS_EQUAL(1, Poll(5, known).upstreams_size());
}

// Guards against sending each renewal to each entry instance, which makes the traffic proportional
// to upstreams, entry instances and announcement rate.
TEST(Announcements, RenewalsAreNotReported)
{
  Announce(10, 1);
  const uint64_t known = mTable.mRevision;
  mNow += seconds(1);
  CHECK_TRUE(Announce(10, 2) == AnnounceOutcome::Renewed);
  LONGS_EQUAL(known, Poll(5, known).directory_revision());
  LONGS_EQUAL(0, Poll(5, known).upstreams_size() + Poll(5, known).presences_size());
}

// Guards against an upstream that is not reported when it becomes silent, or when it announces
// itself again afterwards.
TEST(Announcements, SilenceAndReturnAreReported)
{
  Announce(10, 1);
  mNow += seconds(4);
  Directory::MarkSilent(mTable, seconds(5), mNow);
  uint64_t known = mTable.mRevision;
  LONGS_EQUAL(0, Poll(5, known).presences_size());
  mNow += seconds(2);
  Directory::MarkSilent(mTable, seconds(5), mNow);
  CHECK_TRUE(Poll(5, known).presences(0).silent());
  LONGS_EQUAL(6000, Poll(5, known).presences(0).age_ms());
  CHECK_TRUE(Poll(5, 0).upstreams(0).silent());
  known = mTable.mRevision;
  Announce(10, 2);
  CHECK_FALSE(Poll(5, known).presences(0).silent());
}

// Guards against a reply that is too large for a slow link, and against upstreams that are skipped
// between two partial replies.
TEST(Announcements, LargeDirectoryIsSentInParts)
{
  constexpr size_t kUpstreams = 3 * Directory::kMaxUpstreamsInReply + 1;
  for (uint64_t id = 1; id <= kUpstreams; ++id) {
    Directory::Announcement announcement = Make(10, 1);
    announcement.mUpstream.mId = Directory::UpstreamId(id);
    Directory::Announce(mTable, announcement, mNow);
  }
  uint64_t position = 0;
  size_t received = 0;
  for (int part = 1; part <= 4; ++part) {
    const lw::fleet::PollReply reply = Poll(5, position);
    CHECK_TRUE(reply.more() == (part < 4));
    position = reply.directory_revision();
    received += static_cast<size_t>(reply.upstreams_size());
  }
  LONGS_EQUAL(kUpstreams, received);
  LONGS_EQUAL(mTable.mRevision, position);
}

// Guards against a table that grows with each departure, and against the removal of a departed
// upstream whose departure is still in the log.
TEST(Announcements, DepartedUpstreamsAreRemovedAfterTheLogHasDroppedThem)
{
  Announce(10, 1);
  lw::config::State state;
  lw::config::Departure* departure = state.add_departures();
  departure->set_upstream(1);
  departure->set_started_at_ms(10);
  Directory::MarkDeparted(mTable, *departure, mNow);
  mNow += seconds(300);
  Directory::RemoveSilentUpstreams(mTable, mNow);
  Directory::RemoveDepartedUpstreams(mTable, state, mNow);
  LONGS_EQUAL(1, mTable.mUpstreams.size());
  state.clear_departures();
  Directory::RemoveDepartedUpstreams(mTable, state, mNow);
  LONGS_EQUAL(0, mTable.mUpstreams.size());
}

// Guards against the removal of a departed upstream that still announces itself, which would bring
// it back into use.
TEST(Announcements, DepartedUpstreamsStayWhileTheyAnnounceThemselves)
{
  Announce(10, 1);
  lw::config::Departure departure;
  departure.set_upstream(1);
  departure.set_started_at_ms(10);
  Directory::MarkDeparted(mTable, departure, mNow);
  mNow += seconds(300);
  Announce(10, 2);
  Directory::RemoveDepartedUpstreams(mTable, lw::config::State(), mNow);
  LONGS_EQUAL(lw::fleet::DRAINING, Poll(0, 0).upstreams(0).state());
}

// Guards against an upstream that is not received that its announcement was rejected by a full
// table.
TEST(Announcements, FullTableRejectsAnnouncements)
{
  for (uint64_t id = 1; id <= Directory::kMaxAnnouncedUpstreams; ++id) {
    mTable.mUpstreams[Directory::UpstreamId(id + 1)].mLastAnnouncedAt = mNow;
  }
  CHECK_TRUE(Announce(10, 1) == AnnounceOutcome::Full);
}

// Guards against a table that keeps an entry for every upstream that ever announced itself.
TEST(Announcements, SilentUpstreamsAreRemoved)
{
  Announce(10, 1);
  mNow += seconds(300);
  Directory::RemoveSilentUpstreams(mTable, mNow);
  LONGS_EQUAL(0, mTable.mUpstreams.size());
}
