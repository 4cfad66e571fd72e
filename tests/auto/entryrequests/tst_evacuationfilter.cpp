#include "entry/evacuationfilter.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using std::chrono::seconds;

TEST_GROUP(EvacuationFilter)
{
  const Base::TimePoint mNow{ seconds(1000) };
  Steering::Evacuations mEvacuations;

  Membership::View MakeView() const
  {
    Membership::View view;
    for (const char* zone : { "a", "b" }) {
      Membership::Upstream upstream;
      upstream.mAvailabilityZone = zone;
      upstream.mLeaseEnd = mNow + seconds(60);
      view.mUpstreams.push_back(upstream);
    }
    return view;
  }

  void Update(uint64_t aRevision, const std::vector<std::string>& aZones)
  {
    lw::config::Evacuations update;
    update.set_revision(aRevision);
    for (const std::string& zone : aZones) {
      update.add_availability_zones(zone);
    }
    Steering::Update(mEvacuations, update, mNow);
  }

  double ShareOfZoneA(Base::Duration aAge) const
  {
    Membership::View view = MakeView();
    Entry::ApplyEvacuations(mEvacuations, mNow + aAge, view);
    DOUBLES_EQUAL(1, view.mUpstreams[1].mNewWorkShare, 0);
    return view.mUpstreams[0].mNewWorkShare;
  }
};

// Guards against an evacuation that is not applied to the view, ends other zones' new work, or
// stays after its end, and against a readmission without a slow start.
TEST(EvacuationFilter, SharesFollowTheEvacuations)
{
  DOUBLES_EQUAL(1, ShareOfZoneA(seconds(0)), 0);
  Update(1, { "a" });
  DOUBLES_EQUAL(0, ShareOfZoneA(seconds(0)), 0);
  Update(2, {});
  DOUBLES_EQUAL(0.25, ShareOfZoneA(seconds(0)), 0.001);
  DOUBLES_EQUAL(0.625, ShareOfZoneA(seconds(5)), 0.001);
  DOUBLES_EQUAL(1, ShareOfZoneA(seconds(10)), 0);
}
