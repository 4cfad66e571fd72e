#include "base/jsontext.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

TEST_GROUP(JsonText){};

// Guards against received bytes in an error text, a log line or a stored file that end the process
// because they are not UTF-8.
TEST(JsonText, ArbitraryBytesGiveValidJson)
{
  struct Row
  {
    const char* mName;
    std::string mText;
    std::string mRead;
  };
  const Row rows[] = {
    { "plain", "plain", "plain" },
    { "whole character", "\xC5\x9F", "\xC5\x9F" },
    { "first half of a character", "a\xC5", "a\xEF\xBF\xBD" },
    { "second half of a character",
      "\x9F"
      "a",
      "\xEF\xBF\xBD"
      "a" },
    { "byte that never occurs", "\xFF", "\xEF\xBF\xBD" },
    { "surrogate", "\xED\xA0\x80", "\xEF\xBF\xBD\xEF\xBF\xBD\xEF\xBF\xBD" },
    { "control characters", std::string("\0\n\x7F", 3), std::string("\0\n\x7F", 3) },
  };
  for (const Row& row : rows) {
    const nlohmann::json read =
      nlohmann::json::parse(Base::DumpJson({ { "Error", row.mText } }), nullptr, false);
    CHECK_TRUE_TEXT(read.is_object(), row.mName);
    CHECK_TRUE_TEXT(read["Error"] == row.mRead, row.mName);
  }
}

// Guards against a report without line breaks, which operators read as text.
TEST(JsonText, IndentationBreaksLines)
{
  STRCMP_EQUAL("{\n  \"a\": 1\n}", Base::DumpJson({ { "a", 1 } }, 2).c_str());
}
