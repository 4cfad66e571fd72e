#include "burn/countersource.h"

#include "absl/strings/str_cat.h"
#include "program/httpget.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace BurnTool {

namespace {

constexpr auto kTimeout = std::chrono::seconds(2);
constexpr int kHttpOk = 200;

} // namespace

absl::StatusOr<std::string>
FetchCounters(const Base::Endpoint& aEndpoint)
{
  absl::StatusOr<Program::HttpReply> reply = Program::HttpGet(aEndpoint, "/metrics", kTimeout);
  if (!reply.ok()) {
    return reply.status();
  }
  if (reply->mStatus != kHttpOk) {
    return absl::UnavailableError(
      absl::StrCat(Base::ToString(aEndpoint), ": no HTTP response with status 200"));
  }
  return std::move(reply->mBody);
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
