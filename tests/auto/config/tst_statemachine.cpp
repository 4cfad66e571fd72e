#include "config/statemachine.h"

#include <CppUTest/TestHarness.h>

namespace {

lw::config::Change
Put(uint64_t aBase, uint64_t aNumber, const std::string& aName, const std::string& aAddress)
{
  lw::config::Change change;
  change.set_base_version(aBase);
  change.set_operator_id("op");
  change.set_request_number(aNumber);
  lw::config::Service* service = change.mutable_put_service();
  service->set_name(aName);
  service->set_address(aAddress);
  service->set_kind(lw::config::OPAQUE);
  return change;
}

lw::config::Change
Delete(uint64_t aBase, uint64_t aNumber, const std::string& aName)
{
  lw::config::Change change;
  change.set_base_version(aBase);
  change.set_operator_id("op");
  change.set_request_number(aNumber);
  change.set_delete_service(aName);
  return change;
}

} // namespace

TEST_GROUP(StateMachine)
{
  lw::config::State mState;
};

// Guards against two racing operators both being told that their change was accepted.
TEST(StateMachine, AcceptsOneOfTwoChangesFromOneVersion)
{
  CHECK_TRUE(Config::ApplyChange(mState, Put(0, 1, "a", "192.0.2.1:1")).ok());
  const auto second = Config::ApplyChange(mState, Put(0, 2, "b", "192.0.2.2:1"));
  CHECK_TRUE(absl::IsAborted(second.status()));
  STRCMP_CONTAINS("current version is 1", std::string(second.status().message()).c_str());
  LONGS_EQUAL(1, mState.services_size());
}

// Guards against a resend after a lost answer being refused or applied twice.
TEST(StateMachine, ResendGetsTheFirstOutcome)
{
  const lw::config::Change change = Put(0, 1, "a", "192.0.2.1:1");
  CHECK_TRUE(Config::ApplyChange(mState, change).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Put(1, 2, "b", "192.0.2.2:1")).ok());
  const auto again = Config::ApplyChange(mState, change);
  CHECK_TRUE(again.ok());
  CHECK_TRUE(*again == Base::ConfigVersion(1));
  LONGS_EQUAL(2, mState.version());
}

// Guards against packets for a removed service reaching the service that gets its address next.
TEST(StateMachine, KeepsARemovedAddressOutOfUse)
{
  CHECK_TRUE(Config::ApplyChange(mState, Put(0, 1, "a", "192.0.2.1:1")).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Delete(1, 2, "a")).ok());
  const auto reuse = Config::ApplyChange(mState, Put(2, 3, "b", "192.0.2.1:1"));
  CHECK_TRUE(absl::IsFailedPrecondition(reuse.status()));
}

// Guards against a service that was created again passing for the earlier one of the same name.
TEST(StateMachine, GivesANewGenerationToARecreatedService)
{
  CHECK_TRUE(Config::ApplyChange(mState, Put(0, 1, "a", "192.0.2.1:1")).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Delete(1, 2, "a")).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Put(2, 3, "a", "192.0.2.2:1")).ok());
  LONGS_EQUAL(3, mState.services(0).generation());
}

// Guards against an instance that skips a revision or goes back to an earlier one.
TEST(StateMachine, FollowsRevisionsInOrderOnly)
{
  lw::config::Revision revision;
  revision.set_version(2);
  *revision.mutable_change() = Put(1, 1, "a", "192.0.2.1:1");
  CHECK_TRUE(absl::IsOutOfRange(Config::ApplyRevision(mState, revision)));
  revision.set_version(1);
  revision.mutable_change()->set_base_version(0);
  CHECK_TRUE(Config::ApplyRevision(mState, revision).ok());
  CHECK_TRUE(absl::IsOutOfRange(Config::ApplyRevision(mState, revision)));
}
