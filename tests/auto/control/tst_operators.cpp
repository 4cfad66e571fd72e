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
