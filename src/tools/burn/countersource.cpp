#include "burn/countersource.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace BurnTool {

namespace {

constexpr auto kTimeout = std::chrono::seconds(2);
constexpr size_t kMaxResponseBytes = 8U << 20U;

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

} // namespace

absl::StatusOr<std::string>
FetchCounters(const Base::Endpoint& aEndpoint)
{
  using Tcp = boost::asio::ip::tcp;
  Tcp::iostream stream;
  stream.expires_after(kTimeout);
  stream.connect(Tcp::endpoint(boost::asio::ip::address_v4(aEndpoint.mAddress), aEndpoint.mPort));
  if (!stream) {
    return Unavailable(aEndpoint, stream.error().message());
  }
  // HTTP/1.0 excludes chunked responses.
  stream << "GET /metrics HTTP/1.0\r\nHost: " << Base::ToString(aEndpoint) << "\r\n\r\n"
         << std::flush;
  const std::string response = ReadUpTo(stream, kMaxResponseBytes);
  if (response.size() > kMaxResponseBytes) {
    return Unavailable(aEndpoint, "the response is longer than 8 MiB");
  }
  if (stream.error() && stream.error() != boost::asio::error::eof) {
    return Unavailable(aEndpoint, stream.error().message());
  }
  const size_t headerEnd = response.find("\r\n\r\n");
  const std::string status = response.substr(0, response.find("\r\n"));
  if (headerEnd == std::string::npos || !absl::StartsWith(status, "HTTP/1.") ||
      !absl::StrContains(status, " 200")) {
    return Unavailable(aEndpoint, "no HTTP response with status 200");
  }
  return response.substr(headerEnd + 4);
}

absl::StatusOr<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return absl::NotFoundError(absl::StrCat(aPath, ": cannot be read"));
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

absl::Status
ReplaceFile(const std::string& aPath, const std::string& aContent)
{
  const std::string temporary = aPath + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file << aContent;
  file.close();
  if (!file || std::rename(temporary.c_str(), aPath.c_str()) != 0) {
    return absl::UnavailableError(absl::StrCat(aPath, ": cannot be written"));
  }
  return absl::OkStatus();
}

} // namespace BurnTool
