#include "fleet/explainservice.h"

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "base/jsontext.h"
#include "fleet/explanationjson.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace Fleet {

namespace {

/// Limits the part of a wrong parameter that an error quotes.
constexpr size_t kMaxQuotedBytes = 64;

/// \return the endpoint of the parameter. Clients may send the colon percent-encoded.
absl::StatusOr<Base::Endpoint>
ParameterOf(absl::string_view aQuery, absl::string_view aName)
{
  constexpr absl::string_view kExpected = "expected ADDRESS:PORT, for example 100.64.0.8:1419";
  const std::string prefix = absl::StrCat(aName, "=");
  for (absl::string_view parameter : absl::StrSplit(aQuery, '&')) {
    if (!absl::ConsumePrefix(&parameter, prefix)) {
      continue;
    }
    const auto endpoint =
      Base::ParseEndpoint(absl::StrReplaceAll(parameter, { { "%3A", ":" }, { "%3a", ":" } }));
    if (endpoint.ok()) {
      return endpoint;
    }
    return absl::InvalidArgumentError(absl::StrCat(
      aName, " is \"", absl::CEscape(parameter.substr(0, kMaxQuotedBytes)), "\", ", kExpected));
  }
  return absl::InvalidArgumentError(absl::StrCat(aName, " is missing, ", kExpected));
}

} // namespace

bool
AllowExplanation(ExplanationLimit& aLimit, Base::TimePoint aNow)
{
  while (!aLimit.mGivenAt.empty() && aNow - aLimit.mGivenAt.front() >= std::chrono::seconds(1)) {
    aLimit.mGivenAt.pop_front();
  }
  if (aLimit.mGivenAt.size() >= kMaxExplanationsPerSecond) {
    return false;
  }
  aLimit.mGivenAt.push_back(aNow);
  return true;
}

absl::StatusOr<Steering::FlowKey>
ParseExplainQuery(absl::string_view aQuery)
{
  const auto caller = ParameterOf(aQuery, "caller");
  if (!caller.ok()) {
    return caller.status();
  }
  const auto service = ParameterOf(aQuery, "service");
  if (!service.ok()) {
    return service.status();
  }
  return Steering::FlowKey{ *caller, *service };
}

absl::StatusOr<std::string>
ServeExplanation(const Steering::State& aState,
                 const Steering::Settings& aSettings,
                 ExplanationLimit& aLimit,
                 absl::string_view aQuery,
                 Base::TimePoint aNow)
{
  const auto flow = ParseExplainQuery(aQuery);
  if (!flow.ok()) {
    return flow.status();
  }
  if (!AllowExplanation(aLimit, aNow)) {
    return absl::ResourceExhaustedError(
      absl::StrCat("more than ", kMaxExplanationsPerSecond, " requests per second"));
  }
  const Steering::Explanation explanation = Steering::Explain(aState, aSettings, *flow, aNow);
  return Base::DumpJson(ToJson(explanation, aSettings.mAvailabilityZone));
}

} // namespace Fleet
