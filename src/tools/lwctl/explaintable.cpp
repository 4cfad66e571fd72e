#include "lwctl/explaintable.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "base/jsontext.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace Lwctl {

namespace {

using nlohmann::json;

/// \return the member, or null if there is none.
const json&
Member(const json& aObject, const char* aName)
{
  static const json sNull;
  const auto member = aObject.is_object() ? aObject.find(aName) : aObject.end();
  return aObject.is_object() && member != aObject.end() ? *member : sNull;
}

std::string
Text(const json& aObject, const char* aName)
{
  const json& member = Member(aObject, aName);
  if (member.is_null()) {
    return "-";
  }
  if (member.is_number_float()) {
    return absl::StrFormat("%.2f", member.get<double>());
  }
  if (member.is_boolean()) {
    return member.get<bool>() ? "yes" : "no";
  }
  const std::string text = Base::DumpJson(member);
  return member.is_string() ? text.substr(1, text.size() - 2) : text;
}

bool
IsTrue(const json& aObject, const char* aName)
{
  const json& member = Member(aObject, aName);
  return member.is_boolean() && member.get<bool>();
}

/// \return the names of the members that are true, or "-".
std::string
Marks(const json& aObject, const std::vector<const char*>& aNames)
{
  std::vector<std::string> marks;
  for (const char* name : aNames) {
    if (IsTrue(aObject, name)) {
      marks.emplace_back(name);
    }
  }
  return marks.empty() ? "-" : absl::StrJoin(marks, ",");
}

std::string
DecisionLine(const json& aDecision)
{
  std::string line =
    absl::StrCat("decision  ", Text(aDecision, "action"), ", reason ", Text(aDecision, "reason"));
  if (Member(aDecision, "upstream").is_string()) {
    absl::StrAppend(
      &line, ", upstream ", Text(aDecision, "upstream"), " at ", Text(aDecision, "address"));
  }
  return absl::StrCat(line,
                      "; ",
                      Text(aDecision, "forwarded_draws"),
                      " of ",
                      Text(aDecision, "draws"),
                      " draws forward\n");
}

std::string
RouteLine(const json& aRoute)
{
  std::string line = absl::StrCat("route     ",
                                  Text(aRoute, "address"),
                                  IsTrue(aRoute, "known") ? "" : ", no route",
                                  ", configuration ",
                                  Text(aRoute, "config_version"),
                                  ", control ",
                                  Text(aRoute, "control_age_ms"),
                                  " ms ago");
  if (IsTrue(aRoute, "known")) {
    absl::StrAppend(&line,
                    ", priority ",
                    Text(aRoute, "priority"),
                    ", objective ",
                    Text(aRoute, "latency_objective_ms"),
                    " ms");
  }
  return line + "\n";
}

std::string
FlowLine(const json& aFlow)
{
  std::string line = absl::StrCat("flow      ", Text(aFlow, "caller"), ">", Text(aFlow, "service"));
  const bool pinned = !Member(aFlow, "pin").is_null();
  if (!IsTrue(aFlow, "record") && !IsTrue(aFlow, "cached") && !pinned) {
    return line + ", not known here\n";
  }
  absl::StrAppend(&line,
                  IsTrue(aFlow, "record") ? ", record" : "",
                  IsTrue(aFlow, "cached") ? ", cached" : "",
                  IsTrue(aFlow, "confirmed") ? ", open" : "",
                  IsTrue(aFlow, "held") ? ", held" : "",
                  pinned ? ", pinned" : "",
                  ", goes to tag ",
                  Text(aFlow, "tag"));
  if (Member(aFlow, "upstream").is_string()) {
    absl::StrAppend(&line,
                    ", upstream ",
                    Text(aFlow, "upstream"),
                    " at ",
                    Text(aFlow, "address"),
                    ", ",
                    Text(aFlow, "state"));
  }
  return line + "\n";
}

std::string
ZoneTable(const json& aZones)
{
  std::string table = absl::StrFormat("  %-20s %-36s %s\n", "ZONE", "STATE", "SHARE OF NEW FLOWS");
  for (const json& zone : aZones) {
    absl::StrAppendFormat(&table,
                          "  %-20s %-36s %s\n",
                          Text(zone, "availability_zone"),
                          Marks(zone, { "own", "evacuated", "suspended", "slow_start" }),
                          Text(zone, "share_of_new_flows"));
  }
  return table;
}

std::string
CandidateTable(const json& aCandidates)
{
  constexpr char kFormat[] = "  %-16s %-10s %-21s %-20s %5s %5s %5s %7s %5s  %-13s %s\n";
  std::string table = absl::StrFormat(kFormat,
                                      "UPSTREAM",
                                      "TAG",
                                      "ADDRESS",
                                      "ZONE",
                                      "SLOTS",
                                      "OWN",
                                      "PEERS",
                                      "COST",
                                      "DRAWS",
                                      "GROUP",
                                      "STATE");
  for (const json& candidate : aCandidates) {
    std::string state = Text(candidate, "state");
    const std::string marks = Marks(candidate, { "cold", "lease_expired", "suspended", "ejected" });
    if (marks != "-") {
      absl::StrAppend(&state, ",", marks);
    }
    if (!Member(candidate, "cold_limit_per_s").is_null()) {
      absl::StrAppend(&state, ",limit ", Text(candidate, "cold_limit_per_s"), "/s");
    }
    absl::StrAppendFormat(&table,
                          kFormat,
                          Text(candidate, "upstream"),
                          Text(candidate, "tag"),
                          Text(candidate, "address"),
                          Text(candidate, "availability_zone"),
                          Text(candidate, "slots"),
                          Text(candidate, "own_flows"),
                          Text(candidate, "peer_flows"),
                          Text(candidate, "cost"),
                          Text(candidate, "draws"),
                          Text(candidate, "group"),
                          state);
  }
  return table;
}

std::string
ServiceText(const json& aService)
{
  const json& room = Member(aService, "room");
  std::string text = absl::StrCat(
    "\nservice ", Text(aService, "service"), ", weight ", Text(aService, "weight"), "\n");
  if (room.is_object()) {
    absl::StrAppend(&text,
                    "  room: own flows ",
                    Text(room, "own_flows"),
                    " of ",
                    Text(room, "own_limit"),
                    ", peers' flows ",
                    Text(room, "peer_flows"),
                    ", limit of the zone ",
                    Text(room, "zone_limit"),
                    "; other zones: own flows ",
                    Text(room, "remote_flows"),
                    " of ",
                    Text(room, "remote_limit"),
                    "\n");
  } else {
    absl::StrAppend(&text, "  room: no responsive upstream\n");
  }
  return absl::StrCat(
    text, ZoneTable(Member(aService, "zones")), CandidateTable(Member(aService, "candidates")));
}

} // namespace

std::string
ExplanationTable(const json& aExplanation)
{
  const json& instance = Member(aExplanation, "instance");
  std::string table = absl::StrCat(DecisionLine(Member(aExplanation, "decision")),
                                   "instance  ready: ",
                                   Text(instance, "ready"),
                                   ", availability zone ",
                                   Text(instance, "availability_zone"),
                                   "\n",
                                   RouteLine(Member(aExplanation, "route")),
                                   FlowLine(Member(aExplanation, "flow")));
  for (const json& service : Member(aExplanation, "services")) {
    absl::StrAppend(&table, ServiceText(service));
  }
  return table;
}

} // namespace Lwctl
