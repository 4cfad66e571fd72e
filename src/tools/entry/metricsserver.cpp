#include "metricsserver.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace Entry {

namespace {

namespace beast = boost::beast; // NOLINT(readability-identifier-naming): the library's own name
namespace http =
  boost::beast::http; // NOLINT(readability-identifier-naming): the library's own name
using boost::asio::ip::tcp;

constexpr std::chrono::seconds kConnectionTimeout{ 5 };
constexpr size_t kMaxRequestBytes = 8192;

/// A connection that serves one request.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, const Metrics::Registry& aMetrics)
    : mStream(std::move(aSocket))
    , mBuffer(kMaxRequestBytes)
    , mMetrics(aMetrics)
  {
  }

  void Start()
  {
    mStream.expires_after(kConnectionTimeout);
    http::async_read(mStream,
                     mBuffer,
                     mRequest,
                     [self = shared_from_this()](beast::error_code aError, size_t /*aBytes*/) {
                       if (!aError) {
                         self->Answer();
                       }
                     });
  }

private:
  std::string NotFoundText() const
  {
    const std::string target(mRequest.target());
    // This instance dispatches requests and steers no flows that could be explained.
    return target.substr(0, target.find('?')) == "/v1/explain"
             ? "only lw-platform-entry serves /v1/explain\n"
             : "only GET /metrics is served\n";
  }

  void Answer()
  {
    const bool isMetrics = mRequest.method() == http::verb::get && mRequest.target() == "/metrics";
    mResponse.result(isMetrics ? http::status::ok : http::status::not_found);
    mResponse.set(http::field::content_type, "text/plain; version=0.0.4");
    mResponse.keep_alive(false);
    mResponse.body() = isMetrics ? mMetrics.PrometheusText() : NotFoundText();
    mResponse.prepare_payload();
    http::async_write(mStream,
                      mResponse,
                      [self = shared_from_this()](beast::error_code /*aError*/, size_t /*aBytes*/) {
                        beast::error_code ignored;
                        self->mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
                      });
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  const Metrics::Registry& mMetrics;
  http::request<http::empty_body> mRequest;
  http::response<http::string_body> mResponse;
};

} // namespace

MetricsServer::MetricsServer(boost::asio::io_context& aContext,
                             const Base::Endpoint& aListen,
                             const Metrics::Registry& aMetrics)
  : mMetrics(aMetrics)
  , mAcceptor(aContext, { boost::asio::ip::address_v4(aListen.mAddress), aListen.mPort })
{
}

void
MetricsServer::Start()
{
  Accept();
}

void
MetricsServer::Accept()
{
  mAcceptor.async_accept([this](beast::error_code aError, tcp::socket aSocket) {
    if (aError == boost::asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      std::make_shared<Session>(std::move(aSocket), mMetrics)->Start();
    }
    Accept();
  });
}

} // namespace Entry
