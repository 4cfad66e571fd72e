#include "controlcluster.h"

#include <CppUTest/TestHarness.h>

namespace {

lw::config::Change
MakeChange(uint64_t aBase, uint64_t aRequest, const std::string& aName)
{
  lw::config::Change change;
  change.set_base_version(aBase);
  change.set_operator_id("tester");
  change.set_request_number(aRequest);
  change.mutable_put_service()->set_name(aName);
  change.mutable_put_service()->set_address("192.0.2.1:" + std::to_string(1000 + aRequest));
  change.mutable_put_service()->set_kind(lw::config::OPAQUE);
  return change;
}

lw::config::Change
MakeEvacuation(const std::string& aZone, bool aEvacuated, uint64_t aRequest)
{
  lw::config::Change change;
  change.set_operator_id("tester");
  change.set_request_number(aRequest);
  change.mutable_set_evacuation()->set_availability_zone(aZone);
  change.mutable_set_evacuation()->set_evacuated(aEvacuated);
  return change;
}

lw::operator_api::ErrorDetail
DetailOf(const grpc::Status& aStatus)
{
  lw::operator_api::ErrorDetail detail;
  CHECK_TRUE(detail.ParseFromString(aStatus.error_details()));
  return detail;
}

} // namespace

TEST_GROUP(Operators)
{
  ControlCluster mCluster{ 3, 3600 };

  void setup() override
  {
    CHECK_TRUE(mCluster.WaitForLeader() != 0);
  }
};

// Guards against accepting two concurrent changes with the same base version, and against a
// conflict error without the current version.
TEST(Operators, OneOfTwoChangesFromOneVersionIsAccepted)
{
  uint64_t version = 0;
  CHECK_TRUE(mCluster.ApplyUntilKnown(MakeChange(0, 1, "a"), version).ok());
  const grpc::Status second = mCluster.ApplyUntilKnown(MakeChange(0, 2, "b"), version);
  LONGS_EQUAL(grpc::StatusCode::ABORTED, second.error_code());
  LONGS_EQUAL(1, DetailOf(second).current_version());
}

// Guards against errors without the leader's address, and against a follower that answers a read.
TEST(Operators, FollowersNameTheLeader)
{
  const uint32_t leader = mCluster.WaitForLeader();
  const uint32_t follower = leader % 3 + 1;
  uint64_t version = 0;
  CHECK_TRUE(ControlCluster::WaitUntil(
    [&] { return mCluster.Status(follower).control().connected(); }, std::chrono::seconds(10)));
  const grpc::Status change = mCluster.Apply(follower, MakeChange(0, 1, "a"), version);
  LONGS_EQUAL(grpc::StatusCode::UNAVAILABLE, change.error_code());
  STRCMP_EQUAL(mCluster.OperatorAddress(leader).c_str(), DetailOf(change).leader().c_str());
  lw::config::State state;
  LONGS_EQUAL(grpc::StatusCode::UNAVAILABLE, mCluster.Read(follower, state).error_code());
}

// Guards against errors that do not name the invalid field, and against operators that release
// addresses or use the operator id of the control instances.
TEST(Operators, WrongFieldsAreNamed)
{
  const uint32_t leader = mCluster.WaitForLeader();
  uint64_t version = 0;
  lw::config::Change change = MakeChange(0, 1, "a");
  change.mutable_put_service()->set_address("nowhere");
  const grpc::Status wrong = mCluster.Apply(leader, change, version);
  LONGS_EQUAL(grpc::StatusCode::INVALID_ARGUMENT, wrong.error_code());
  STRCMP_EQUAL("put_service.address", DetailOf(wrong).fields(0).path().c_str());
  lw::config::Change release;
  release.set_operator_id("lw-control");
  release.mutable_release_addresses();
  LONGS_EQUAL(grpc::StatusCode::INVALID_ARGUMENT,
              mCluster.Apply(leader, release, version).error_code());
}

// Guards against evacuations that depend on a base version, copies of a request that undo a later
// one, and acknowledged evacuations of zones that do not exist.
TEST(Operators, EvacuationsAreNumberedAndNeedNoBaseVersion)
{
  uint64_t version = 0;
  CHECK_TRUE(mCluster.ApplyUntilKnown(MakeChange(0, 1, "a"), version).ok());
  const lw::config::Change begin = MakeEvacuation("zone-2", true, 2);
  CHECK_TRUE(mCluster.ApplyUntilKnown(begin, version).ok());
  LONGS_EQUAL(2, version);
  CHECK_TRUE(mCluster.ApplyUntilKnown(MakeEvacuation("zone-2", false, 3), version).ok());
  LONGS_EQUAL(3, version);
  CHECK_TRUE(mCluster.ApplyUntilKnown(begin, version).ok());
  LONGS_EQUAL(2, version);
  const lw::config::State state = mCluster.ReadFromLeader();
  LONGS_EQUAL(2, state.evacuations().revision());
  LONGS_EQUAL(0, state.evacuations().availability_zones_size());
  const grpc::Status unknown =
    mCluster.Apply(mCluster.WaitForLeader(), MakeEvacuation("zone-9", true, 4), version);
  LONGS_EQUAL(grpc::StatusCode::INVALID_ARGUMENT, unknown.error_code());
  STRCMP_CONTAINS("\"zone-9\"; known are: zone-1, zone-2", unknown.error_message().c_str());
  STRCMP_EQUAL("set_evacuation.availability_zone", DetailOf(unknown).fields(0).path().c_str());
}

// Guards against operators whose unnumbered evacuations could not be told from late copies.
TEST(Operators, EvacuationsOfTheControlInstancesAreReserved)
{
  lw::config::Change change = MakeEvacuation("zone-2", true, 0);
  change.set_operator_id("lw-control");
  uint64_t version = 0;
  LONGS_EQUAL(grpc::StatusCode::INVALID_ARGUMENT,
              mCluster.Apply(mCluster.WaitForLeader(), change, version).error_code());
}
