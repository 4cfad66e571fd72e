#include "config/validation.h"

#include <CppUTest/TestHarness.h>

#include <functional>

namespace {

lw::config::Change
ValidPut()
{
  lw::config::Change change;
  change.set_operator_id("op");
  change.set_request_number(1);
  lw::config::Service* service = change.mutable_put_service();
  service->set_name("counter");
  service->set_address("192.0.2.1:4000");
  service->set_kind(lw::config::REQUEST);
  service->add_work_kinds()->set_name("lookup");
  return change;
}

struct Row
{
  const char* mPath;
  std::function<void(lw::config::Change&)> mInvalidate;
};

} // namespace

TEST_GROUP(Validation){};

TEST(Validation, AcceptsAValidChange)
{
  CHECK_TRUE(Config::ValidateChange(ValidPut()).ok());
}

// Guards against an invalid field that reaches the log, and an error that does not name the field.
TEST(Validation, NamesThePathOfTheWrongField)
{
  const Row rows[] = {
    { "operator_id", [](auto& aChange) { aChange.clear_operator_id(); } },
    { "request_number", [](auto& aChange) { aChange.clear_request_number(); } },
    { "action", [](auto& aChange) { aChange.clear_action(); } },
    { "put_service.name", [](auto& aChange) { aChange.mutable_put_service()->clear_name(); } },
    { "put_service.name",
      [](auto& aChange) { aChange.mutable_put_service()->set_name("a\"} 1"); } },
    { "put_service.address",
      [](auto& aChange) { aChange.mutable_put_service()->set_address("x"); } },
    { "put_service.kind", [](auto& aChange) { aChange.mutable_put_service()->clear_kind(); } },
    { "put_service.generation",
      [](auto& aChange) { aChange.mutable_put_service()->set_generation(3); } },
    { "put_service.work_kinds[1].name",
      [](auto& aChange) { aChange.mutable_put_service()->add_work_kinds()->set_name("lookup"); } },
    { "put_service.work_kinds[0].share_permille",
      [](auto& aChange) {
        aChange.mutable_put_service()->mutable_work_kinds(0)->set_share_permille(1001);
      } },
    { "put_service.clients[0].starting_share_permille",
      [](auto& aChange) {
        lw::config::ClientTerms* terms = aChange.mutable_put_service()->add_clients();
        terms->set_client("c");
        terms->set_starting_share_permille(2);
        terms->set_ceiling_permille(1);
      } },
  };
  for (const Row& row : rows) {
    lw::config::Change change = ValidPut();
    row.mInvalidate(change);
    const absl::Status status = Config::ValidateChange(change);
    CHECK_TRUE_TEXT(absl::IsInvalidArgument(status), row.mPath);
    STRCMP_CONTAINS_TEXT(row.mPath, std::string(status.message()).c_str(), row.mPath);
  }
}
