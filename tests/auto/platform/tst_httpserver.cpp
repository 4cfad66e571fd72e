#include "platform/httpserver.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;

const Base::Endpoint kListen{ 0x7f000001, 28741 };

} // namespace

// A server that echoes the body of each call, in a thread of its own.
TEST_GROUP(HttpServer)
{
  asio::io_context mContext;
  Platform::HttpServer mServer{ mContext,
                                [](const Platform::HttpCall& aCall,
                                   const Platform::Respond& aRespond) {
                                  aRespond({ 200, aCall.mBody });
                                } };
  std::thread mThread;

  void setup() override
  {
    CHECK_TRUE(mServer.Listen(kListen).ok());
    mThread = std::thread([this] { mContext.run(); });
  }

  void teardown() override
  {
    mContext.stop();
    mThread.join();
  }

  /// Sends the bytes and reads until the server closes.
  static std::string Call(const std::string& aBytes)
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::address_v4(kListen.mAddress), kListen.mPort });
    asio::write(socket, asio::buffer(aBytes));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::string answer;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(answer), end);
    return answer;
  }
};

TEST(HttpServer, AnswersCalls)
{
  STRCMP_CONTAINS("200 OK", Call("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n").c_str());
  const std::string answer =
    Call("POST /x HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
  STRCMP_CONTAINS("\r\n\r\nbody", answer.c_str());
}

// Guards against callers that wait for the answer to a call that cannot be read, and against a call
// that stops the server.
TEST(HttpServer, UnreadableCallsAreRefused)
{
  const struct
  {
    const char* mName;
    std::string mBytes;
    const char* mStatus;
  } rows[] = {
    { "no HTTP", "nonsense\r\n\r\n", " 400 " },
    { "wrong length", "POST /x HTTP/1.1\r\nContent-Length: few\r\n\r\n", " 400 " },
    { "cut off", "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nbody", " 400 " },
    { "long header", "GET /x HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", " 400 " },
    { "long body", "POST /x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", " 413 " },
  };
  for (const auto& row : rows) {
    const std::string answer = Call(row.mBytes);
    CHECK_TRUE_TEXT(answer.find(row.mStatus) != std::string::npos, row.mName);
    STRCMP_CONTAINS(" 200 ", Call("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n").c_str());
  }
}
