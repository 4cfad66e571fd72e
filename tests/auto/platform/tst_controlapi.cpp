#include "platform/controlapi.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

constexpr int kBadRequest = 400;
/// A response to a heartbeat may have 4 KiB.
constexpr size_t kMaxResponseBytes = 4096;
/// Letter of two bytes in UTF-8.
constexpr char kLetter[] = "\xC5\x9F";

struct Row
{
  const char* mName;
  Platform::HttpRequest mRequest;
};

std::string
ConfigUpTo(const std::string& aRouteName)
{
  return R"({"Version":3,"Routes":[{"Name":")" + aRouteName;
}

} // namespace

// Control interface of an instance whose log is not running. Only calls that need no log are sent.
TEST_GROUP(ControlApi)
{
  boost::asio::io_context mContext;
  Control::ControlSettings mSettings;
  Control::ConfigStore mStore{ std::chrono::hours(1) };
  Control::LogDriver mLog{ mSettings, mStore, 1 };
  Fleet::DirectoryService mDirectory{ mStore, mLog, {} };
  EventLog::Log mEvents{ {} };
  Metrics::Registry mMetrics;
  Platform::ControlApi mApi{ mContext, {}, mStore, mLog, mDirectory, mEvents, mMetrics };

  Platform::HttpResponse Call(const Platform::HttpRequest& aRequest)
  {
    Platform::HttpResponse response;
    response.mStatus = 0;
    mApi.Handle(aRequest,
                [&response](Platform::HttpResponse aResponse) { response = std::move(aResponse); });
    return response;
  }
};

// Guards against a call that ends the process because the error text quotes bytes of the call that
// are not UTF-8.
TEST(ControlApi, ErrorsMayQuoteArbitraryBytes)
{
  const std::string replace = "/v1/Config.Replace";
  const std::string heartbeat = "/v1/Instances.Heartbeat/";
  const std::string deregister = "/v1/Instances.Deregister/";
  const std::string half(1, kLetter[0]);
  const std::string large(size_t{ 1024 } * 1024, kLetter[0]);
  const std::vector<Row> rows = {
    { "configuration cut inside a letter", { "POST", replace, ConfigUpTo(half) } },
    { "syntax error beside a letter", { "POST", replace, ConfigUpTo("a\"") + kLetter } },
    { "route name that is not UTF-8", { "POST", replace, ConfigUpTo("\xFF\"}]}") } },
    { "configuration of one byte", { "POST", replace, "\xFF" } },
    { "large string without an end",
      { "POST", replace, ConfigUpTo(std::string(large.size(), 'a')) } },
    { "heartbeat of a large id", { "POST", heartbeat + large, "{}" } },
    { "unknown kind", { "POST", replace, ConfigUpTo("a\",\"Kind\":\"") + kLetter + "\"}]}" } },
    { "heartbeat of an id that is not UTF-8", { "POST", heartbeat + "i-" + half, "{}" } },
    { "heartbeat that is not UTF-8", { "POST", heartbeat + "i-7f", "{\"Service\":\"\xFF\"}" } },
    { "departure of an id that is not UTF-8", { "POST", deregister + half, "{}" } },
  };
  for (const Row& row : rows) {
    const Platform::HttpResponse response = Call(row.mRequest);
    LONGS_EQUAL_TEXT(kBadRequest, response.mStatus, row.mName);
    const nlohmann::json body = nlohmann::json::parse(response.mBody, nullptr, false);
    CHECK_TRUE_TEXT(body.is_object() && body.contains("Error"), row.mName);
    CHECK_TRUE_TEXT(response.mBody.size() < kMaxResponseBytes, row.mName);
  }
}
