#include "config/logstate.h"
#include "config/validation.h"
#include "fleet/directoryservice.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using std::chrono::hours;
using std::chrono::seconds;

// The log driver is not started, so the log is not connected.
TEST_GROUP(DirectoryService)
{
  Control::ControlSettings mSettings;
  Control::ConfigStore mStore{ hours(1) };
  Control::LogDriver mLog{ mSettings, mStore, 1 };
  Fleet::DirectoryService mService{ mStore, mLog, { "zone-a", 7, seconds(3) } };

  void setup() override
  {
    Base::RuntimeClock::Pause();
  }

  void teardown() override
  {
    Base::RuntimeClock::Resume();
  }

  static Directory::Announcement Announcement(uint64_t aId, uint64_t aSequence)
  {
    Directory::Announcement announcement;
    announcement.mUpstream.mId = Directory::UpstreamId(aId);
    announcement.mUpstream.mStartedAtMs = 10;
    announcement.mUpstream.mAddress = { 0x0a000001, 8080 };
    announcement.mUpstream.mService = "desk";
    announcement.mSequence = aSequence;
    return announcement;
  }

  lw::fleet::PollReply Poll(
    uint32_t aInstance, uint64_t aRevision = 0, const char* aZone = "zone-a")
  {
    lw::fleet::Poll poll;
    poll.set_instance(aInstance);
    poll.set_availability_zone(aZone);
    poll.set_directory_epoch(7);
    poll.set_directory_revision(aRevision);
    return mService.Answer(poll);
  }

  void SetEvacuation(const char* aZone, bool aEvacuated)
  {
    lw::config::Change change;
    change.set_operator_id(Config::kControlOperatorId);
    change.mutable_set_evacuation()->set_availability_zone(aZone);
    change.mutable_set_evacuation()->set_evacuated(aEvacuated);
    CHECK_TRUE(mStore.ApplyCommand(Config::MakeCommand(change, 1)).ok());
  }

  void Commit(uint64_t aDeparted)
  {
    lw::config::Change change;
    change.set_operator_id(Config::kControlOperatorId);
    change.mutable_depart()->set_upstream(aDeparted);
    change.mutable_depart()->set_started_at_ms(10);
    CHECK_TRUE(mStore.ApplyCommand(Config::MakeCommand(change, 1)).ok());
  }
};

// Guards against control instances that reject announcements during their start, so that upstreams
// switch between them without finding one that accepts.
TEST(DirectoryService, AcceptsAnnouncementsBeforeTheFirstLeader)
{
  CHECK_TRUE(mService.AcceptsAnnouncements());
}

// Guards against a silent upstream that is not reported to the entry instances.
TEST(DirectoryService, SilentUpstreamsAreReported)
{
  mService.Announce(Announcement(1, 1));
  const uint64_t known = Poll(1).directory_revision();
  Base::RuntimeClock::Advance(seconds(2));
  LONGS_EQUAL(0, Poll(1, known).presences_size());
  Base::RuntimeClock::Advance(seconds(2));
  CHECK_TRUE(Poll(1, known).presences(0).silent());
  LONGS_EQUAL(0, mService.Upstreams().upstreams_size());
}

// Guards against a departure in the log that is not reported to the entry instances.
TEST(DirectoryService, DeparturesInTheLogAreReported)
{
  mService.Announce(Announcement(1, 1));
  const uint64_t known = Poll(1).directory_revision();
  Commit(1);
  LONGS_EQUAL(lw::fleet::DRAINING, Poll(1, known).upstreams(0).state());
  mService.Announce(Announcement(1, 2));
  LONGS_EQUAL(0, Poll(1, Poll(1).directory_revision()).upstreams_size());
}

// Guards against an entry instance that does not learn of an evacuation or of its end, and against
// lists in every reply.
TEST(DirectoryService, EvacuationsAreSentToPollersWithALowerRevision)
{
  lw::fleet::Poll poll;
  poll.set_instance(1);
  CHECK_FALSE(mService.Answer(poll).has_evacuations());
  SetEvacuation("zone-b", true);
  SetEvacuation("zone-a", true);
  const lw::config::Evacuations both = mService.Answer(poll).evacuations();
  LONGS_EQUAL(2, both.revision());
  STRCMP_EQUAL("zone-a", both.availability_zones(0).c_str());
  STRCMP_EQUAL("zone-b", both.availability_zones(1).c_str());
  poll.set_evacuation_revision(1);
  LONGS_EQUAL(2, mService.Answer(poll).evacuations().revision());
  poll.set_evacuation_revision(2);
  CHECK_FALSE(mService.Answer(poll).has_evacuations());
  // The last end has to reach the entry instances as well, although the list is then empty.
  SetEvacuation("zone-a", false);
  SetEvacuation("zone-b", false);
  const lw::fleet::PollReply ended = mService.Answer(poll);
  CHECK_TRUE(ended.has_evacuations());
  LONGS_EQUAL(4, ended.evacuations().revision());
  LONGS_EQUAL(0, ended.evacuations().availability_zones_size());
}

// Guards against a control instance that lags and reports its older list to an entry instance that
// has a newer one.
TEST(DirectoryService, OlderEvacuationsAreNotSent)
{
  SetEvacuation("zone-a", true);
  lw::fleet::Poll poll;
  poll.set_instance(1);
  poll.set_evacuation_revision(5);
  CHECK_FALSE(mService.Answer(poll).has_evacuations());
}

// Guards against restored upstreams that are used before the log is connected, when their
// departures may not be known yet.
TEST(DirectoryService, RestoredUpstreamsWaitForTheLog)
{
  lw::fleet::PollReply stored;
  stored.add_upstreams()->set_id(1);
  mService.Restore(stored);
  LONGS_EQUAL(0, Poll(1).upstreams_size());
}

// Guards against peer lists that contain instances of another availability zone or instances that
// no longer poll, and against lists that are sent although they have not changed.
TEST(DirectoryService, PeersArePollersOfTheZone)
{
  Poll(1);
  Poll(2, 0, "zone-b");
  const lw::fleet::PollReply reply = Poll(3);
  LONGS_EQUAL(2, reply.peers_size());
  lw::fleet::Poll again;
  again.set_instance(3);
  again.set_availability_zone("zone-a");
  again.set_peers_hash(reply.peers_hash());
  LONGS_EQUAL(0, mService.Answer(again).peers_size());
  Base::RuntimeClock::Advance(seconds(5));
  LONGS_EQUAL(1, mService.Answer(again).peers_size());
}
