#include "lwctl/explain.h"

#include "fleet/explanationjson.h"
#include "lwctl/explaintable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

// Must come last: CppUTest redefines new as a macro, which breaks headers after it.
#include <CppUTest/TestHarness.h>

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::chrono::seconds kTimeout{ 5 };
constexpr char kCaller[] = "100.64.0.1:7";
constexpr char kService[] = "10.0.0.1:80";

/// Runs the command against a server that answers one request.
absl::StatusOr<std::string>
ExplainFrom(const std::string& aAnswer, bool aAsJson)
{
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  std::thread server([&] {
    Tcp::socket socket = acceptor.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(aAnswer));
  });
  const std::string entry = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  auto text = Lwctl::Explain({ entry, kCaller, kService }, aAsJson, kTimeout);
  server.join();
  return text;
}

/// An instance with one upstream in its own zone and one in an evacuated zone.
Steering::Explanation
MakeExplanation()
{
  Steering::Explanation explanation;
  explanation.mIsReady = true;
  explanation.mFlow = { { 0x64400001, 7 }, { 0x0a000001, 80 } };
  explanation.mConfigVersion = 3;
  explanation.mControlAge = std::chrono::milliseconds(120);
  explanation.mRoute = Steering::Route{ { { "desk", 1 } }, std::chrono::milliseconds(300), 2 };
  Steering::ServiceExplanation service;
  service.mService = { "desk", 1 };
  service.mZones.push_back({ "a", true, false, false, 1 });
  service.mZones.push_back({ "b", false, true, false, 0 });
  Steering::CandidateExplanation candidate;
  candidate.mTag = Directory::RouteTag(77);
  candidate.mUpstream.mId = Directory::UpstreamId(0x1a);
  candidate.mUpstream.mAddress = { 0x0a010001, 8080 };
  candidate.mUpstream.mAvailabilityZone = "a";
  candidate.mGroup = Steering::CandidateGroup::Healthy;
  candidate.mCost = 0.25;
  candidate.mIsCold = true;
  candidate.mColdLimit = 2.5;
  candidate.mDraws = 97;
  service.mCandidates.push_back(candidate);
  service.mRoom = Steering::RoomExplanation{ 1, 2, 12, 13, 3, 4 };
  explanation.mServices.push_back(service);
  explanation.mDecision.mAction = Steering::Action::Forward;
  explanation.mDecision.mReason = Steering::Reason::NewFlow;
  explanation.mDecision.mUpstream = candidate.mUpstream.mId;
  explanation.mDecision.mAddress = candidate.mUpstream.mAddress;
  explanation.mForwardedDraws = 97;
  return explanation;
}

} // namespace

TEST_GROUP(LwctlExplain){};

// Guards against a table that leaves out a value or reads it from another field than the instance
// writes.
TEST(LwctlExplain, PrintsATable)
{
  const std::string table = Lwctl::ExplanationTable(Fleet::ToJson(MakeExplanation(), "a"));
  for (const char* text :
       { "decision  forward, reason new_flow, upstream 1a at 10.1.0.1:8080; 97 of 100 draws",
         "instance  ready: yes, availability zone a\n",
         "route     10.0.0.1:80, configuration 3, control 120 ms ago, priority 2, objective 300 ms",
         "flow      100.64.0.1:7>10.0.0.1:80, not known here\n",
         "service desk, weight 1\n",
         "room: own flows 1 of 12, peers' flows 2, limit of the zone 13;",
         "other zones: own flows 3 of 4\n",
         "evacuated",
         "10.1.0.1:8080",
         "0.25",
         "healthy",
         "ready,cold,limit 2.50/s" }) {
    STRCMP_CONTAINS(text, table.c_str());
  }
}

// Guards against a refusal or a known flow that the table does not show.
TEST(LwctlExplain, PrintsRefusalsAndKnownFlows)
{
  Steering::Explanation explanation = MakeExplanation();
  explanation.mRoute.reset();
  explanation.mServices.clear();
  explanation.mControlAge.reset();
  explanation.mForwardedDraws = 0;
  explanation.mDecision = {};
  explanation.mDecision.mAction = Steering::Action::Reset;
  explanation.mDecision.mReason = Steering::Reason::NoRoute;
  explanation.mKnown.mHasRecord = true;
  explanation.mKnown.mIsConfirmed = true;
  explanation.mKnown.mTag = Directory::RouteTag(77);
  explanation.mKnown.mUpstream = Directory::Upstream();
  const std::string table = Lwctl::ExplanationTable(Fleet::ToJson(explanation, "a"));
  STRCMP_CONTAINS("decision  reset, reason no_route; 0 of 100 draws forward\n", table.c_str());
  STRCMP_CONTAINS("10.0.0.1:80, no route, configuration 3, control - ms ago\n", table.c_str());
  STRCMP_CONTAINS("record, open, goes to tag 77, upstream 0 at 0.0.0.0:0, ready\n", table.c_str());
}

// Guards against responses of another version that stop the command.
TEST(LwctlExplain, PrintsDocumentsOfAnotherForm)
{
  for (const char* text : { R"({})",
                            R"({"services":[1,{"zones":7,"candidates":["x",[]],"room":"full"}]})",
                            R"({"decision":[],"route":{"known":"yes"},"flow":{"pin":{}}})" }) {
    const std::string table = Lwctl::ExplanationTable(nlohmann::json::parse(text));
    STRCMP_CONTAINS("decision  -, reason -", table.c_str());
  }
}

// Guards against output for scripts that is not the instance's response.
TEST(LwctlExplain, PrintsJson)
{
  const auto text =
    ExplainFrom("HTTP/1.1 200 OK\r\n\r\n{\"decision\":{\"action\":\"hold\"}}", true);
  CHECK_TRUE(text.ok());
  STRCMP_EQUAL("{\n  \"decision\": {\n    \"action\": \"hold\"\n  }\n}\n", text->c_str());
}

// Guards against failures that count as bad arguments, or do not name the instance and what was
// expected of it.
TEST(LwctlExplain, NamesTheInstanceThatDoesNotExplain)
{
  const struct
  {
    const char* mAnswer;
    const char* mNamed;
  } rows[] = {
    { "", "no HTTP response" },
    { "HTTP/1.1 429 Too Many Requests\r\n\r\n{\"Error\":\"more than 5\"}", "429: more than 5" },
    { "HTTP/1.1 404 Not Found\r\n\r\nonly lw-platform-entry serves it\nx",
      "404: only lw-platform-entry serves it" },
    { "HTTP/1.1 200 OK\r\n\r\nupstreams_known 3\n", "not a JSON object" },
  };
  for (const auto& row : rows) {
    const auto text = ExplainFrom(row.mAnswer, false);
    CHECK_TRUE_TEXT(absl::IsUnavailable(text.status()), row.mNamed);
    const std::string message(text.status().message());
    STRCMP_CONTAINS(row.mNamed, message.c_str());
    STRCMP_CONTAINS("127.0.0.1:", message.c_str());
    STRCMP_CONTAINS("expected status 200", message.c_str());
  }
}

// Guards against missing or wrong arguments that are sent to an instance.
TEST(LwctlExplain, RejectsBadArguments)
{
  const struct
  {
    Lwctl::ExplainArguments mArguments;
    const char* mNamed;
  } rows[] = {
    { { "", kCaller, kService }, "--entry" },
    { { "127.0.0.1:1", "", kService }, "--caller" },
    { { "127.0.0.1:1", kCaller, "" }, "--service" },
    { { "127.0.0.1:1", "100.64.0.1", kService }, "--caller" },
    { { "localhost:1", kCaller, kService }, "--entry" },
  };
  for (const auto& row : rows) {
    const auto text = Lwctl::Explain(row.mArguments, false, kTimeout);
    CHECK_TRUE_TEXT(absl::IsInvalidArgument(text.status()), row.mNamed);
    STRCMP_CONTAINS(row.mNamed, std::string(text.status().message()).c_str());
  }
}
