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

// Guards against accepting two concurrent changes with the same base version.
TEST(StateMachine, AcceptsOneOfTwoChangesFromOneVersion)
{
  CHECK_TRUE(Config::ApplyChange(mState, Put(0, 1, "a", "192.0.2.1:1")).ok());
  const auto second = Config::ApplyChange(mState, Put(0, 2, "b", "192.0.2.2:1"));
  CHECK_TRUE(absl::IsAborted(second.status()));
  STRCMP_CONTAINS("current version is 1", std::string(second.status().message()).c_str());
  LONGS_EQUAL(1, mState.services_size());
}

// Guards against a resend after a lost reply being rejected or applied twice.
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

// Guards against packets for a removed service reaching the next service with the same address.
TEST(StateMachine, KeepsARemovedAddressOutOfUse)
{
  CHECK_TRUE(Config::ApplyChange(mState, Put(0, 1, "a", "192.0.2.1:1")).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Delete(1, 2, "a")).ok());
  const auto reuse = Config::ApplyChange(mState, Put(2, 3, "b", "192.0.2.1:1"));
  CHECK_TRUE(absl::IsFailedPrecondition(reuse.status()));
}

// Guards against a recreated service being taken for the earlier one with the same name.
TEST(StateMachine, GivesANewGenerationToARecreatedService)
{
  CHECK_TRUE(Config::ApplyChange(mState, Put(0, 1, "a", "192.0.2.1:1")).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Delete(1, 2, "a")).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Put(2, 3, "a", "192.0.2.2:1")).ok());
  LONGS_EQUAL(3, mState.services(0).generation());
}

// Guards against an instance that skips a revision or applies an earlier one again.
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

// Guards against applying a resend again because other operators made many changes, and against
// unbounded growth of the recorded outcomes.
TEST(StateMachine, KeepsOutcomesForEachOperatorWithinLimits)
{
  constexpr uint64_t kHourMs = uint64_t{ 3600 } * 1000;
  lw::config::Change other = Put(0, 1, "b", "192.0.2.2:1");
  other.set_operator_id("other");
  CHECK_TRUE(Config::ApplyChange(mState, other, kHourMs).ok());
  for (uint64_t number = 1; number <= 4100; ++number) {
    CHECK_TRUE(Config::ApplyChange(mState, Put(number, number, "a", "192.0.2.1:1"), kHourMs).ok());
  }
  LONGS_EQUAL(4097, mState.outcomes_size());
  CHECK_TRUE(*Config::ApplyChange(mState, other, kHourMs) == Base::ConfigVersion(1));
  CHECK_TRUE(*Config::ApplyChange(mState, Put(5, 5, "a", "192.0.2.1:1"), kHourMs) ==
             Base::ConfigVersion(6));
  CHECK_TRUE(
    absl::IsAborted(Config::ApplyChange(mState, Put(1, 1, "a", "192.0.2.1:1"), kHourMs).status()));
  CHECK_TRUE(Config::ApplyChange(mState, Put(4101, 4101, "a", "192.0.2.1:1"), 26 * kHourMs).ok());
  LONGS_EQUAL(1, mState.outcomes_size());
}

// Guards against operators that release addresses, and against a release that affects a later
// removal of the same address.
TEST(StateMachine, ReleasesExactlyTheNamedRemoval)
{
  CHECK_TRUE(Config::ApplyChange(mState, Put(0, 1, "a", "192.0.2.1:1")).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Delete(1, 2, "a")).ok());
  lw::config::Change release;
  release.set_operator_id("op");
  lw::config::RetiredAddress* address = release.mutable_release_addresses()->add_addresses();
  address->set_address("192.0.2.1:1");
  address->set_removed_in_version(1);
  CHECK_TRUE(absl::IsInvalidArgument(Config::ApplyChange(mState, release).status()));
  release.set_operator_id("lw-control");
  CHECK_TRUE(absl::IsFailedPrecondition(Config::ApplyChange(mState, release).status()));
  address->set_removed_in_version(2);
  CHECK_TRUE(*Config::ApplyChange(mState, release) == Base::ConfigVersion(3));
  CHECK_TRUE(Config::ApplyChange(mState, Put(3, 3, "b", "192.0.2.1:1")).ok());
}
