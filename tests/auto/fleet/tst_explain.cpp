#include "fleet/explainservice.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

// Must come last: CppUTest redefines new as a macro, which breaks headers after it.
#include <CppUTest/TestHarness.h>

namespace {

constexpr char kQuery[] = "caller=100.64.0.1:7&service=10.0.0.1:80";
constexpr uint32_t kServiceAddress = 0x0a000001;
constexpr uint16_t kServicePort = 80;

} // namespace

// An entry instance with a route and an upstream that a connected control instance reported.
TEST_GROUP(Explain)
{
  Steering::State mState;
  Steering::Settings mSettings;
  Fleet::ExplanationLimit mLimit;
  Base::TimePoint mNow{ std::chrono::seconds(1000) };

  void setup() override
  {
    mSettings.mAvailabilityZone = "a";
    mSettings.mLease = std::chrono::seconds(5);
    mSettings.mMaxConfigAge = std::chrono::seconds(1);
    mSettings.mOpeningLifetime = std::chrono::milliseconds(1400);
  }

  void Learn()
  {
    lw::fleet::PollReply reply;
    reply.set_connected(true);
    reply.mutable_routes()->set_version(3);
    lw::config::Route* route = reply.mutable_routes()->add_routes();
    route->set_address(kServiceAddress);
    route->set_port(kServicePort);
    route->set_priority(2);
    route->set_latency_objective_ms(300);
    lw::config::WeightedService* service = route->add_services();
    service->set_service("desk \xff");
    service->set_weight(1);
    lw::fleet::Upstream* upstream = reply.add_upstreams();
    upstream->set_id(0x1a);
    upstream->set_started_at_ms(5);
    upstream->set_address(0x0a010001);
    upstream->set_port(8080);
    upstream->set_service("desk \xff");
    upstream->set_availability_zone("a");
    upstream->set_slots(4);
    upstream->set_state(lw::fleet::READY);
    Steering::ApplyPollReply(mState, Base::InstanceId(1), reply, mNow);
  }

  absl::StatusOr<std::string> Serve(const std::string& aQuery)
  {
    return Fleet::ServeExplanation(mState, mSettings, mLimit, aQuery, mNow);
  }
};

// Guards against fields that are missing or misnamed, and against names with bytes that are not
// UTF-8, which make the document invalid.
TEST(Explain, ContainsTheInputsOfTheDecision)
{
  Learn();
  mNow += std::chrono::milliseconds(120);
  const auto text = Serve(kQuery);
  CHECK_TRUE(text.ok());
  const auto document = nlohmann::json::parse(*text, nullptr, false);
  CHECK_TRUE(document.is_object());
  CHECK_TRUE(document["instance"]["ready"] == true);
  CHECK_TRUE(document["route"]["config_version"] == 3);
  CHECK_TRUE(document["route"]["control_age_ms"] == 120);
  CHECK_TRUE(document["route"]["latency_objective_ms"] == 300);
  CHECK_TRUE(document["route"]["priority"] == 2);
  CHECK_TRUE(document["flow"]["record"] == false);
  const nlohmann::json& service = document["services"][0];
  CHECK_TRUE(service["weight"] == 1);
  CHECK_TRUE(service["zones"][0]["own"] == true);
  CHECK_TRUE(service["room"]["own_limit"] == 12);
  const nlohmann::json& candidate = service["candidates"][0];
  CHECK_TRUE(candidate["upstream"] == "1a");
  CHECK_TRUE(candidate["address"] == "10.1.0.1:8080");
  CHECK_TRUE(candidate["group"] == "healthy");
  CHECK_TRUE(candidate["cost"] == 0.25);
  CHECK_TRUE(candidate["draws"] == 100);
  CHECK_TRUE(document["decision"]["action"] == "forward");
  CHECK_TRUE(document["decision"]["reason"] == "new_flow");
  CHECK_TRUE(document["decision"]["tag"] == candidate["tag"]);
}

// Guards against a service address without a route that is treated as an error.
TEST(Explain, TellsThatThereIsNoRoute)
{
  Learn();
  const auto text = Serve("caller=100.64.0.1:7&service=10.0.0.1:81");
  CHECK_TRUE(text.ok());
  const auto document = nlohmann::json::parse(*text, nullptr, false);
  CHECK_TRUE(document["route"]["known"] == false);
  CHECK_TRUE(document["decision"]["reason"] == "no_route");
  CHECK_TRUE(document["services"].empty());
}

// Guards against wrong parameters that are accepted or whose error does not name them.
TEST(Explain, RejectsWrongParameters)
{
  const struct
  {
    const char* mQuery;
    const char* mNamed;
  } rows[] = {
    { "", "caller is missing" },
    { "service=10.0.0.1:80", "caller is missing" },
    { "caller=100.64.0.1:7", "service is missing" },
    { "caller=100.64.0.1&service=10.0.0.1:80", "caller is \"100.64.0.1\"" },
    { "caller=100.64.0.1:7&service=x", "service is \"x\"" },
    { "caller=100.64.0.1:70000&service=10.0.0.1:80", "caller is" },
    { "xcaller=100.64.0.1:7&service=10.0.0.1:80", "caller is missing" },
  };
  for (const auto& row : rows) {
    const auto text = Serve(row.mQuery);
    CHECK_TRUE_TEXT(absl::IsInvalidArgument(text.status()), row.mQuery);
    STRCMP_CONTAINS(row.mNamed, std::string(text.status().message()).c_str());
    STRCMP_CONTAINS("ADDRESS:PORT", std::string(text.status().message()).c_str());
  }
  LONGS_EQUAL(0, mLimit.mGivenAt.size());
}

// Guards against clients that encode the colon and get an error.
TEST(Explain, AcceptsEncodedColons)
{
  const auto flow = Fleet::ParseExplainQuery("service=10.0.0.1%3A80&caller=100.64.0.1%3a7");
  CHECK_TRUE(flow.ok());
  LONGS_EQUAL(kServicePort, flow->mService.mPort);
  LONGS_EQUAL(7, flow->mCaller.mPort);
}

// Guards against a script that takes the time of the packet thread with explanations, and against a
// limit that does not end.
TEST(Explain, LimitsTheRate)
{
  for (int second = 0; second < 3; ++second) {
    for (size_t i = 0; i < Fleet::kMaxExplanationsPerSecond; ++i) {
      CHECK_TRUE(Serve(kQuery).ok());
      mNow += std::chrono::milliseconds(10);
    }
    CHECK_TRUE(absl::IsResourceExhausted(Serve(kQuery).status()));
    mNow += std::chrono::milliseconds(940);
    CHECK_TRUE(absl::IsResourceExhausted(Serve(kQuery).status()));
    mNow += std::chrono::milliseconds(50);
  }
}
