#include "program/httpget.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>

namespace Program {

namespace {

constexpr size_t kMaxResponseBytes = 8U << 20U;
constexpr size_t kStatusDigits = 3;

absl::Status
Unavailable(const Base::Endpoint& aEndpoint, const std::string& aReason)
{
  return absl::UnavailableError(absl::StrCat(Base::ToString(aEndpoint), ": ", aReason));
}

std::string
ReadUpTo(std::istream& aStream, size_t aLimit)
{
  std::string text;
  std::array<char, 16384> buffer{};
  while (text.size() <= aLimit && aStream) {
    aStream.read(buffer.data(), buffer.size());
    text.append(buffer.data(), static_cast<size_t>(aStream.gcount()));
  }
  return text;
}

/// \return the status of "HTTP/1.x STATUS ...", or 0 if the response does not begin like this.
int
StatusOf(absl::string_view aResponse)
{
  constexpr size_t kStatusPosition = 2; // After the minor version and a space.
  int status = 0;
  const bool valid = absl::ConsumePrefix(&aResponse, "HTTP/1.") &&
                     aResponse.size() >= kStatusPosition + kStatusDigits &&
                     absl::SimpleAtoi(aResponse.substr(kStatusPosition, kStatusDigits), &status);
  return valid ? status : 0;
}

} // namespace

absl::StatusOr<HttpReply>
HttpGet(const Base::Endpoint& aEndpoint,
        absl::string_view aTarget,
        std::chrono::milliseconds aTimeout)
{
  using Tcp = boost::asio::ip::tcp;
  Tcp::iostream stream;
  stream.expires_after(aTimeout);
  stream.connect(Tcp::endpoint(boost::asio::ip::address_v4(aEndpoint.mAddress), aEndpoint.mPort));
  if (!stream) {
    return Unavailable(aEndpoint, stream.error().message());
  }
  // HTTP/1.0 excludes chunked responses.
  stream << "GET " << aTarget << " HTTP/1.0\r\nHost: " << Base::ToString(aEndpoint) << "\r\n\r\n"
         << std::flush;
  const std::string response = ReadUpTo(stream, kMaxResponseBytes);
  if (response.size() > kMaxResponseBytes) {
    return Unavailable(aEndpoint, "the response is longer than 8 MiB");
  }
  if (stream.error() && stream.error() != boost::asio::error::eof) {
    return Unavailable(aEndpoint, stream.error().message());
  }
  const size_t headerEnd = response.find("\r\n\r\n");
  const int status = StatusOf(response);
  if (headerEnd == std::string::npos || status == 0) {
    return Unavailable(aEndpoint, "no HTTP response");
  }
  return HttpReply{ status, response.substr(headerEnd + 4) };
}

} // namespace Program
