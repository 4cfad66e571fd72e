#include "lwctl/explain.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "base/endpoint.h"
#include "base/jsontext.h"
#include "lwctl/explaintable.h"
#include "program/httpget.h"

#include <nlohmann/json.hpp>

namespace Lwctl {

namespace {

constexpr int kHttpOk = 200;
constexpr int kIndent = 2;
/// Limits the part of an unexpected response that an error quotes.
constexpr size_t kMaxQuotedBytes = 200;

absl::StatusOr<Base::Endpoint>
ParseFlag(const char* aFlag, const std::string& aText)
{
  if (aText.empty()) {
    return absl::InvalidArgumentError(absl::StrCat("explain needs --", aFlag, "=ADDRESS:PORT"));
  }
  const auto endpoint = Base::ParseEndpoint(aText);
  return endpoint.ok() ? endpoint
                       : absl::InvalidArgumentError(
                           absl::StrCat("--", aFlag, ": ", endpoint.status().message()));
}

/// \return the error text of a response without an explanation, on one line.
std::string
ErrorTextOf(const Program::HttpReply& aReply)
{
  const auto document = nlohmann::json::parse(aReply.mBody, nullptr, false);
  if (document.is_object() && document.contains("Error") && document["Error"].is_string()) {
    return document["Error"].get<std::string>().substr(0, kMaxQuotedBytes);
  }
  const std::string line = aReply.mBody.substr(0, aReply.mBody.find('\n'));
  return line.substr(0, kMaxQuotedBytes);
}

absl::Status
UnexpectedResponse(const Base::Endpoint& aEntry, const std::string& aGot)
{
  return absl::UnavailableError(
    absl::StrCat(Base::ToString(aEntry),
                 ": expected status 200 with an explanation from the metrics port of an "
                 "lw-platform-entry instance, got ",
                 aGot));
}

} // namespace

absl::StatusOr<std::string>
Explain(const ExplainArguments& aArguments, bool aAsJson, std::chrono::milliseconds aTimeout)
{
  const auto entry = ParseFlag("entry", aArguments.mEntry);
  const auto caller = ParseFlag("caller", aArguments.mCaller);
  const auto service = ParseFlag("service", aArguments.mService);
  for (const auto* parsed : { &entry, &caller, &service }) {
    if (!parsed->ok()) {
      return parsed->status();
    }
  }
  const auto reply = Program::HttpGet(
    *entry,
    absl::StrCat(
      "/v1/explain?caller=", Base::ToString(*caller), "&service=", Base::ToString(*service)),
    aTimeout);
  if (!reply.ok()) {
    return UnexpectedResponse(
      *entry,
      std::string(absl::StripPrefix(reply.status().message(), Base::ToString(*entry) + ": ")));
  }
  if (reply->mStatus != kHttpOk) {
    return UnexpectedResponse(*entry,
                              absl::StrCat("status ", reply->mStatus, ": ", ErrorTextOf(*reply)));
  }
  const auto document = nlohmann::json::parse(reply->mBody, nullptr, false);
  if (!document.is_object()) {
    return UnexpectedResponse(*entry, "a body that is not a JSON object");
  }
  return aAsJson ? Base::DumpJson(document, kIndent) + "\n" : ExplanationTable(document);
}

} // namespace Lwctl
