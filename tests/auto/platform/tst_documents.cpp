#include "config/validation.h"
#include "platform/announcementdocument.h"
#include "platform/configdocument.h"

#include "base/random.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace {

const char kAnnouncement[] = R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"apapa",)"
                             R"("Version":"v1","Slots":2,"State":"ready","ColdRemainingMs":0,)"
                             R"("Sequence":4,"born":1768361720057})";

const char kConfig[] =
  R"({"Version":7,"Routes":[{"Name":"r-a","Host":"198.18.0.1","PathPrefix":"/8443/",)"
  R"("Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,)"
  R"("WeightedServices":[{"Service":"x","Weight":90},{"Service":"y","Weight":10}]},)"
  R"({"Name":"r-b","Host":"198.18.0.2","PathPrefix":"/8443/","Kind":"download",)"
  R"("TimeoutMs":5000,"TargetLatencyMs":500,"Priority":2,"Service":"y"}],)"
  R"("Services":[{"Name":"x","HealthPath":"/healthz"},{"Name":"y","HealthPath":"/healthz"}],)"
  R"("Limits":{"IdleTimeoutMs":15000}})";

std::string
Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const size_t position = aText.find(aFrom);
  CHECK_TRUE_TEXT(position != std::string::npos, aFrom.c_str());
  return aText.replace(position, aFrom.size(), aTo);
}

/// Changes up to three random bytes and truncates the text at a random length.
std::string
Corrupt(std::string aText, Base::RandomSource& aRandom)
{
  const uint64_t changes = 1 + Base::NextBelow(aRandom, 3);
  for (uint64_t i = 0; i < changes; ++i) {
    aText[Base::NextBelow(aRandom, aText.size())] = static_cast<char>(Base::NextRandom(aRandom));
  }
  return aText.substr(0, 1 + Base::NextBelow(aRandom, aText.size()));
}

} // namespace

TEST_GROUP(Documents)
{
  Base::TimePoint mNow{ std::chrono::seconds(50) };

  absl::StatusOr<Directory::Announcement> ParseAnnouncement(const std::string& aBody) const
  {
    return Platform::ParseAnnouncement(Directory::UpstreamId(1), aBody, mNow);
  }
};

// Guards against fields that are read from the wrong key.
TEST(Documents, ReadsAnAnnouncement)
{
  const auto announcement = ParseAnnouncement(kAnnouncement);
  CHECK_TRUE(announcement.ok());
  STRCMP_EQUAL("10.128.0.9:8080", Base::ToString(announcement->mUpstream.mAddress).c_str());
  STRCMP_EQUAL("apapa", announcement->mUpstream.mAvailabilityZone.c_str());
  CHECK_TRUE(announcement->mUpstream.mStartedAtMs == 1768361720057);
  LONGS_EQUAL(2, announcement->mUpstream.mSlots);
  LONGS_EQUAL(4, announcement->mSequence);
}

// Guards against upstreams that are registered from a malformed announcement.
TEST(Documents, RejectsInvalidAnnouncements)
{
  const struct
  {
    const char* mFrom;
    const char* mTo;
  } rows[] = { { "\"Service\"", "\"X\"" },
               { "\"Slots\":2", "\"Slots\":\"2\"" },
               { "\"Slots\":2", "\"Slots\":0" },
               { "\"Slots\":2", "\"Slots\":-1" },
               { "ready", "sleeping" },
               { "10.128.0.9:8080", "10.128.0.9" },
               { "\"Sequence\":4", "\"Sequence\":4.5" },
               { "1768361720057", "\"yesterday\"" },
               { "\"Zone\":\"apapa\"", "\"Zone\":7" },
               { "{", "[" } };
  for (const auto& row : rows) {
    CHECK_FALSE_TEXT(ParseAnnouncement(Replace(kAnnouncement, row.mFrom, row.mTo)).ok(), row.mTo);
  }
}

// Guards against numbers of slots that are converted to 32 bits and become another number.
TEST(Documents, ManySlots)
{
  const auto parse = [this](const char* aSlots) {
    return ParseAnnouncement(Replace(kAnnouncement, "\"Slots\":2", aSlots));
  };
  LONGS_EQUAL(100000, parse("\"Slots\":100000")->mUpstream.mSlots);
  for (const char* slots : { "\"Slots\":4294967295",
                             "\"Slots\":4294967296",
                             "\"Slots\":4294967298",
                             "\"Slots\":18446744073709551615" }) {
    CHECK_FALSE_TEXT(parse(slots).ok(), slots);
  }
}

// Guards against ids that are parsed as the number of another upstream.
TEST(Documents, IdIsReadAsHexadecimalNumber)
{
  CHECK_TRUE(Platform::ParseUpstreamId("i-7f3a91c2")->mValue == 0x7f3a91c2);
  CHECK_TRUE(Platform::ParseUpstreamId("i-07e667c6b8")->mValue == 0x7e667c6b8);
  for (const char* id : { "", "i-", "i-xyz", "i-11112222333344445", "i--1" }) {
    CHECK_FALSE_TEXT(Platform::ParseUpstreamId(id).ok() && id[2] != '-', id);
  }
}

// Guards against routes with another service or address than the operator configured.
TEST(Documents, ReadsAConfiguration)
{
  const auto config = Platform::ParseConfig(kConfig);
  CHECK_TRUE(config.ok());
  CHECK_TRUE(Config::ValidateDeclaration(*config).ok());
  LONGS_EQUAL(7, config->version());
  LONGS_EQUAL(2, config->routes_size());
  LONGS_EQUAL(0xc6120001, config->routes(0).address());
  LONGS_EQUAL(8443, config->routes(0).port());
  LONGS_EQUAL(90, config->routes(0).services(0).weight());
  STRCMP_EQUAL("y", config->routes(1).services(0).service().c_str());
  STRCMP_EQUAL(kConfig, config->document().c_str());
}

// Guards against a rate limit that is lost or rounded, or that applies to a service without one.
TEST(Documents, ReadsColdStarts)
{
  const char* service = R"("Name":"x",)";
  const auto limited = Platform::ParseConfig(
    Replace(kConfig, service, R"("Name":"x","ColdStartS":9.5,"ColdPerS":2.5,)"));
  CHECK_TRUE(limited.ok());
  CHECK_TRUE(Config::ValidateDeclaration(*limited).ok());
  LONGS_EQUAL(2, limited->services_size());
  LONGS_EQUAL(1, limited->cold_starts_size());
  STRCMP_EQUAL("x", limited->cold_starts(0).service().c_str());
  LONGS_EQUAL(9500, limited->cold_starts(0).duration_ms());
  DOUBLES_EQUAL(2.5, limited->cold_starts(0).requests_per_second(), 0);
  for (const char* fields : { R"("Name":"x",)",
                              R"("Name":"x","ColdStartS":0,"ColdPerS":0,)",
                              R"("Name":"x","ColdStartS":9,)",
                              R"("Name":"x","ColdStartS":9,"ColdPerS":0.0,)" }) {
    const auto unlimited = Platform::ParseConfig(Replace(kConfig, service, fields));
    CHECK_TRUE_TEXT(unlimited.ok(), fields);
    for (const lw::config::ColdStart& coldStart : unlimited->cold_starts()) {
      DOUBLES_EQUAL(0, coldStart.requests_per_second(), 0);
    }
  }
}

// Guards against rates and durations that are converted to 32 bits and become low.
TEST(Documents, HighColdStartRates)
{
  const auto parse = [](const std::string& aFields) {
    return Platform::ParseConfig(
      Replace(kConfig, R"("Name":"x",)", (R"("Name":"x",)" + aFields + ",").c_str()));
  };
  for (const double rate : { 4294967295.0, 4294967296.0, 4294967298.0 }) {
    const auto config =
      parse(R"("ColdStartS":4294967,"ColdPerS":)" + std::to_string(static_cast<uint64_t>(rate)));
    CHECK_TRUE(config.ok());
    DOUBLES_EQUAL(rate, config->cold_starts(0).requests_per_second(), 0);
    CHECK_TRUE(config->cold_starts(0).duration_ms() == 4294967000);
  }
  CHECK_FALSE(parse(R"("ColdStartS":4294968,"ColdPerS":1)").ok());
}

// Guards against rate limits that are accepted and acknowledged but mean something else.
TEST(Documents, RejectsInvalidColdStarts)
{
  for (const char* fields : { R"("ColdPerS":-1)",
                              R"("ColdPerS":-0.5)",
                              R"("ColdPerS":"2")",
                              R"("ColdPerS":null)",
                              R"("ColdPerS":true)",
                              R"("ColdPerS":[2])",
                              R"("ColdPerS":1e999)",
                              R"("ColdStartS":-1,"ColdPerS":1)",
                              R"("ColdStartS":"9","ColdPerS":1)",
                              R"("ColdStartS":null,"ColdPerS":1)",
                              R"("ColdStartS":1e9,"ColdPerS":1)" }) {
    const auto config = Platform::ParseConfig(
      Replace(kConfig, R"("Name":"x")", std::string(R"("Name":"x",)") + fields));
    CHECK_FALSE_TEXT(config.ok() && Config::ValidateDeclaration(*config).ok(), fields);
  }
}

// Guards against malformed configurations that are accepted and acknowledged.
TEST(Documents, RejectsInvalidConfigurations)
{
  const struct
  {
    const char* mFrom;
    const char* mTo;
  } rows[] = { { "\"Version\":7", "\"Version\":\"7\"" },
               { "\"Version\":7", "\"Version\":-7" },
               { "/8443/", "8443" },
               { "/8443/", "/99999/" },
               { "idempotent", "sometimes" },
               { "\"TimeoutMs\":1500", "\"TimeoutMs\":0" },
               { "\"TimeoutMs\":1500", "\"TimeoutMs\":1.5" },
               { "\"Service\":\"x\"", "\"Service\":\"w\"" },
               { "198.18.0.2", "198.18.0.1" },
               { "\"Services\":", "\"Other\":" },
               { "}}", "}" } };
  for (const auto& row : rows) {
    const auto config = Platform::ParseConfig(Replace(kConfig, row.mFrom, row.mTo));
    CHECK_FALSE_TEXT(config.ok() && Config::ValidateDeclaration(*config).ok(), row.mTo);
  }
}

// Guards against crashes of the parsers on corrupted announcements and configurations.
TEST(Documents, CorruptInputNeverCrashes)
{
  Base::RandomSource random{ 20261204 };
  for (int i = 0; i < 20000; ++i) {
    const std::string announcement = Corrupt(kAnnouncement, random);
    static_cast<void>(ParseAnnouncement(announcement).ok());
    static_cast<void>(Platform::ParseStartTime(announcement).has_value());
    static_cast<void>(Platform::ParseConfig(Corrupt(kConfig, random)).ok());
  }
}
