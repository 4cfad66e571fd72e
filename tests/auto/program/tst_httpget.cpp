#include "program/httpget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <thread>

// Must come last: CppUTest redefines new as a macro, which breaks headers after it.
#include <CppUTest/TestHarness.h>

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr uint32_t kLoopback = 0x7F000001;

/// Answers one HTTP request on a loopback port.
/// \param aRequest receives the request.
absl::StatusOr<Program::HttpReply>
GetFrom(const std::string& aAnswer, std::string& aRequest)
{
  aRequest.clear();
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  std::thread server([&] {
    Tcp::socket socket = acceptor.accept();
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(aRequest), "\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(aAnswer));
  });
  auto reply = Program::HttpGet(
    { kLoopback, acceptor.local_endpoint().port() }, "/x?a=1", std::chrono::seconds(5));
  server.join();
  return reply;
}

} // namespace

TEST_GROUP(HttpGet){};

// Guards against a lost query, and against responses with an error status whose text is lost.
TEST(HttpGet, ReturnsStatusAndBody)
{
  std::string request;
  auto reply = GetFrom("HTTP/1.1 200 OK\r\nX: y\r\n\r\nbody\r\n\r\nmore", request);
  CHECK_TRUE(reply.ok());
  LONGS_EQUAL(200, reply->mStatus);
  STRCMP_EQUAL("body\r\n\r\nmore", reply->mBody.c_str());
  STRCMP_CONTAINS("GET /x?a=1 HTTP/1.0\r\n", request.c_str());
  reply = GetFrom("HTTP/1.0 429 Too Many Requests\r\n\r\nslow down", request);
  CHECK_TRUE(reply.ok());
  LONGS_EQUAL(429, reply->mStatus);
  STRCMP_EQUAL("slow down", reply->mBody.c_str());
}

// Guards against servers of other protocols whose answers count as responses.
TEST(HttpGet, RejectsAnswersThatAreNotHttp)
{
  std::string request;
  for (const char* answer :
       { "", "HTTP/1.1", "HTTP/1.1 200 OK\r\n", "SSH-2.0-x\r\n\r\n", "HTTP/1.1 abc\r\n\r\n" }) {
    const auto reply = GetFrom(answer, request);
    CHECK_TRUE_TEXT(absl::IsUnavailable(reply.status()), answer);
    STRCMP_CONTAINS("127.0.0.1:", std::string(reply.status().message()).c_str());
  }
}

// Guards against a command that waits forever for an instance that is frozen.
TEST(HttpGet, EndsAtTheTimeout)
{
  boost::asio::io_context context;
  const Tcp::acceptor silent(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const auto reply = Program::HttpGet(
    { kLoopback, silent.local_endpoint().port() }, "/", std::chrono::milliseconds(50));
  CHECK_TRUE(absl::IsUnavailable(reply.status()));
}
