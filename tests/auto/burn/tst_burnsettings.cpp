#include "burn/burnsettings.h"
#include "burn/countersource.h"
#include "burn/historyfile.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <thread>

// Must come last: CppUTest redefines new as a macro, which breaks headers after it.
#include <CppUTest/TestHarness.h>

namespace {

using Tcp = boost::asio::ip::tcp;

absl::Status
Read(const std::string& aText, BurnTool::BurnSettings& aSettings)
{
  const auto document = Settings::ParseDocument(aText);
  CHECK_TRUE(document.ok());
  Settings::Reader reader(*document);
  return BurnTool::ReadBurnSettings(reader, aSettings);
}

/// Answers one HTTP request on a loopback port.
absl::StatusOr<std::string>
FetchFrom(const std::string& aAnswer)
{
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  std::thread server([&] {
    Tcp::socket socket = acceptor.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(aAnswer));
  });
  auto body = BurnTool::FetchCounters({ 0x7F000001, acceptor.local_endpoint().port() });
  server.join();
  return body;
}

} // namespace

TEST_GROUP(BurnSettings){};

// Guards against invalid settings that are accepted, for example a window pair in the wrong order.
TEST(BurnSettings, RejectsInvalidSettings)
{
  const std::string objectives = R"("objectives": [{"service": "counter", "name": "availability",
    "target": 0.99, "total": ["requests_total{service=\"counter\"}"], "bad": ["errors_total"]}])";
  BurnTool::BurnSettings settings;
  CHECK_TRUE(Read("{" + objectives + "}", settings).ok());
  LONGS_EQUAL(2, settings.mWindows.size());
  const std::string remote = R"("instances": [{"name": "a", "endpoint": "192.0.2.1:80"}])";
  CHECK_TRUE(Read("{" + objectives + "," + remote + "}", settings).ok());
  for (const char* more :
       { R"("instances": [{"name": "a", "endpoint": "192.0.2.1"}])",
         R"("instances": [{"name": "a", "endpoint": "127.0.0.1:80"},
                          {"name": "a", "endpoint": "127.0.0.2:80"}])",
         R"("windows": [{"short_seconds": 600, "long_seconds": 300, "threshold": 2}])",
         R"("unknown": 1)" }) {
    BurnTool::BurnSettings invalid;
    CHECK_FALSE_TEXT(Read("{" + objectives + "," + more + "}", invalid).ok(), more);
  }
}

// Guards against error responses that are parsed as counters.
TEST(BurnSettings, FetchesOnlySuccessfulResponses)
{
  const auto body = FetchFrom("HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\na_total 1\n");
  CHECK_TRUE(body.ok());
  STRCMP_EQUAL("a_total 1\n", body->c_str());
  CHECK_FALSE(FetchFrom("HTTP/1.0 503 Busy\r\n\r\na_total 1\n").ok());
  CHECK_FALSE(FetchFrom("").ok());
}

// Guards against a history that is changed or partially read after a restart of the program.
TEST(BurnSettings, RoundTripsTheHistory)
{
  Burn::History history;
  const Burn::Series series{ "a_total", { { "reason", "say \"no\"" } } };
  history["entry-1"][Burn::WallTime(5)] = { { series, 12.5 } };
  const auto read = BurnTool::ParseHistory(BurnTool::FormatHistory(history));
  CHECK_TRUE(read.ok());
  DOUBLES_EQUAL(12.5, read->at("entry-1").at(Burn::WallTime(5)).at(series), 0);
  CHECK_FALSE(BurnTool::ParseHistory("{\"time\":1").ok());
  CHECK_FALSE(BurnTool::ParseHistory("{\"time\":1,\"instance\":\"a\"}").ok());
}
