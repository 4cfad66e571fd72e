#include "base/endpoint.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(Endpoint){};

// Guards against malformed text that is accepted and parsed as a different address.
TEST(Endpoint, RejectsMalformedText)
{
  for (const char* text : { "",
                            "1.2.3.4",
                            "1.2.3:4",
                            "1.2.3.4.5:6",
                            "1.2.3.256:4",
                            "1.2.3.4:0",
                            "1.2.3.4:65536",
                            "1.2.3.4:-1",
                            "a.b.c.d:1",
                            " 1.2.3.4:5",
                            "1.2.3.4:5 ",
                            "1..3.4:5",
                            "1.2.3.4:+5" }) {
    CHECK_FALSE_TEXT(Base::ParseEndpoint(text).ok(), text);
  }
}

TEST(Endpoint, RoundTripsText)
{
  for (const char* text : { "0.0.0.0:1", "127.0.0.1:8080", "255.255.255.255:65535" }) {
    const absl::StatusOr<Base::Endpoint> endpoint = Base::ParseEndpoint(text);
    CHECK_TRUE(endpoint.ok());
    STRCMP_EQUAL(text, Base::ToString(*endpoint).c_str());
  }
}
