#include "base/random.h"
#include "settings/reader.h"

#include <CppUTest/TestHarness.h>

namespace {

absl::Status
Read(const std::string& aText)
{
  absl::StatusOr<std::shared_ptr<Settings::Document>> document = Settings::ParseDocument(aText);
  if (!document.ok()) {
    return document.status();
  }
  Settings::Reader reader(*document);
  reader.String("name");
  reader.Integer("count", { 1, 10 });
  reader.Endpoint("listen");
  for (Settings::Reader& item : reader.Objects("items")) {
    item.String("key");
    item.Finish().IgnoreError();
  }
  return reader.Finish();
}

constexpr const char* kValid =
  R"({"name":"a","count":3,"listen":"127.0.0.1:1","items":[{"key":"x"}]})";

struct TestCase
{
  const char* mName;
  const char* mText;
  const char* mMessage;
};

} // namespace

TEST_GROUP(Reader){};

TEST(Reader, AcceptsValidSettings)
{
  CHECK_TRUE(Read(kValid).ok());
}

// Guards against errors that are ignored or reported without the path of the key.
TEST(Reader, ReportsThePathOfTheInvalidKey)
{
  const TestCase testCases[] = {
    { "unknown key",
      R"({"name":"a","count":3,"listen":"127.0.0.1:1","items":[],"extra":1})",
      "setting \"extra\" is unknown" },
    { "missing key",
      R"({"count":3,"listen":"127.0.0.1:1","items":[]})",
      "setting \"name\" is missing" },
    { "wrong type",
      R"({"name":1,"count":3,"listen":"127.0.0.1:1","items":[]})",
      "setting \"name\" must be a string" },
    { "number that no type can hold",
      R"({"name":"a","count":1e400})",
      "settings cannot be read: [json.exception.out_of_range.406] number overflow parsing "
      "'1e400'" },
    { "out of range",
      R"({"name":"a","count":11,"listen":"127.0.0.1:1","items":[]})",
      "setting \"count\" must be from 1 to 10" },
    { "beyond 64 bits signed",
      R"({"name":"a","count":18446744073709551615,"listen":"127.0.0.1:1","items":[]})",
      "setting \"count\" must be from 1 to 10" },
    { "bad address",
      R"({"name":"a","count":3,"listen":"127.0.0.1","items":[]})",
      "setting \"listen\" is invalid: \"127.0.0.1\" is not an IPv4 endpoint a.b.c.d:port" },
    { "nested unknown key",
      R"({"name":"a","count":3,"listen":"127.0.0.1:1","items":[{"key":"x","y":1}]})",
      "setting \"items[0].y\" is unknown" },
    { "not an object", "[]", "settings must be a JSON object" },
  };
  for (const TestCase& testCase : testCases) {
    const absl::Status status = Read(testCase.mText);
    CHECK_FALSE_TEXT(status.ok(), testCase.mName);
    STRCMP_EQUAL_TEXT(testCase.mMessage, std::string(status.message()).c_str(), testCase.mName);
  }
}

// Guards against a crash on corrupted settings files.
TEST(Reader, ToleratesCorruptedText)
{
  Base::RandomSource random{ 20261204 };
  for (int i = 0; i < 5000; ++i) {
    std::string text = kValid;
    text[Base::NextBelow(random, text.size())] = static_cast<char>(Base::NextBelow(random, 128));
    Read(text).IgnoreError();
  }
}
