#include "platform/httpserver.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;

const Base::Endpoint kListen{ 0x7f000001, 28741 };

bool
BecomesTrue(const std::function<bool()>& aCondition)
{
  constexpr int kAttempts = 1000;
  for (int attempt = 0; attempt < kAttempts && !aCondition(); ++attempt) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return aCondition();
}

} // namespace

// Runs a server in its own thread that echoes the body, path and query of each request.
TEST_GROUP(HttpServer)
{
  asio::io_context mContext;
  Platform::HttpServer mServer{
    mContext,
    [](const Platform::HttpRequest& aRequest, const Platform::ResponseCallback& aRespond) {
      aRespond({ 200, aRequest.mBody + aRequest.mPath + "|" + aRequest.mQuery });
    }
  };
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

  /// Sends the bytes and returns all that the server sends before it closes the connection.
  static std::string Exchange(const std::string& aBytes)
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::address_v4(kListen.mAddress), kListen.mPort });
    asio::write(socket, asio::buffer(aBytes));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::string response;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(response), end);
    return response;
  }
};

TEST(HttpServer, RespondsToRequests)
{
  STRCMP_CONTAINS("200 OK", Exchange("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n").c_str());
  const std::string response =
    Exchange("POST /x HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
  STRCMP_CONTAINS("\r\n\r\nbody", response.c_str());
}

// Guards against a query that is lost or counts as part of the path.
TEST(HttpServer, SeparatesThePathFromTheQuery)
{
  const struct
  {
    const char* mTarget;
    const char* mEchoed;
  } rows[] = {
    { "/x", "\r\n\r\n/x|" },
    { "/x?", "\r\n\r\n/x|" },
    { "/x?a=1&b=2?c", "\r\n\r\n/x|a=1&b=2?c" },
  };
  for (const auto& row : rows) {
    const std::string response =
      Exchange(std::string("GET ") + row.mTarget + " HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK_TRUE_TEXT(response.size() >= std::string(row.mEchoed).size() &&
                      response.substr(response.size() - std::string(row.mEchoed).size()) ==
                        row.mEchoed,
                    row.mTarget);
  }
}

// Guards against handlers that take a call for current although its requester has given up, and
// against calls of waiting requesters that count as given up.
TEST(HttpServer, TellsWhetherTheRequesterClosedTheConnection)
{
  const struct
  {
    const char* mName;
    bool mCloses;
  } rows[] = { { "open", false }, { "closed", true } };
  for (const auto& row : rows) {
    asio::io_context context;
    std::function<bool()> isClosed;
    Platform::ResponseCallback respond;
    Platform::HttpServer server(
      context,
      [&](const Platform::HttpRequest& aRequest, const Platform::ResponseCallback& aRespond) {
        isClosed = aRequest.mIsClosed;
        respond = aRespond;
      });
    const Base::Endpoint listen{ kListen.mAddress, 28742 };
    CHECK_TRUE(server.Listen(listen).ok());
    asio::io_context clientContext;
    asio::ip::tcp::socket socket(clientContext);
    socket.connect({ asio::ip::address_v4(listen.mAddress), listen.mPort });
    asio::write(socket, asio::buffer(std::string("POST /x HTTP/1.1\r\n\r\n")));
    if (row.mCloses) {
      socket.close();
    }
    while (!isClosed) {
      context.run_one();
    }
    CHECK_TRUE_TEXT(row.mCloses || !isClosed(), row.mName);
    socket.close();
    CHECK_TRUE_TEXT(BecomesTrue(isClosed), row.mName);
  }
}

// Guards against malformed requests that get no response or stop the server.
TEST(HttpServer, RejectsMalformedRequests)
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
    const std::string response = Exchange(row.mBytes);
    CHECK_TRUE_TEXT(response.find(row.mStatus) != std::string::npos, row.mName);
    STRCMP_CONTAINS(" 200 ", Exchange("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n").c_str());
  }
}
