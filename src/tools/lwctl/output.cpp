#include "output.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <google/protobuf/util/json_util.h>

namespace Lwctl {

namespace {

std::string
ActionText(const lw::config::Change& aChange)
{
  switch (aChange.action_case()) {
    case lw::config::Change::kPutService:
      return absl::StrCat("put ", aChange.put_service().name());
    case lw::config::Change::kDeleteService:
      return absl::StrCat("delete ", aChange.delete_service());
    case lw::config::Change::kSetEvacuation:
      return absl::StrCat(aChange.set_evacuation().evacuated() ? "evacuate " : "readmit ",
                          aChange.set_evacuation().availability_zone());
    case lw::config::Change::kReleaseAddresses:
      return "release addresses";
    default:
      return "other";
  }
}

} // namespace

std::string
ToJson(const google::protobuf::Message& aMessage)
{
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(aMessage, &text, options);
  return status.ok() ? text : absl::StrCat("{\"error\":\"", status.ToString(), "\"}\n");
}

std::string
ServiceTable(const lw::config::State& aState)
{
  std::string table = absl::StrFormat("version %d\n%-24s %-22s %-8s %s\n",
                                      aState.version(),
                                      "SERVICE",
                                      "ADDRESS",
                                      "KIND",
                                      "CREATED IN");
  for (const lw::config::Service& service : aState.services()) {
    absl::StrAppendFormat(&table,
                          "%-24s %-22s %-8s %d\n",
                          service.name(),
                          service.address(),
                          lw::config::ServiceKind_Name(service.kind()),
                          service.generation());
  }
  return table;
}

std::string
EvacuationTable(const lw::config::Evacuations& aEvacuations)
{
  std::string table =
    absl::StrFormat("revision %d\n%s\n", aEvacuations.revision(), "AVAILABILITY ZONE");
  for (const std::string& zone : aEvacuations.availability_zones()) {
    absl::StrAppend(&table, zone, "\n");
  }
  return table;
}

std::string
HistoryTable(const lw::operator_api::HistoryReply& aHistory)
{
  std::string table =
    absl::StrFormat("%-8s %-16s %-10s %s\n", "VERSION", "OPERATOR", "REQUEST", "CHANGE");
  for (const lw::config::Revision& revision : aHistory.revisions()) {
    const lw::config::Change& change = revision.change();
    absl::StrAppendFormat(&table,
                          "%-8d %-16s %-10d %s\n",
                          revision.version(),
                          change.operator_id(),
                          change.request_number(),
                          ActionText(change));
  }
  return table;
}

std::string
StatusTable(const lw::operator_api::StatusReply& aStatus)
{
  std::string table = absl::StrFormat("version %d, leader %s\n%-10s %-20s %-10s %s\n",
                                      aStatus.version(),
                                      aStatus.leader(),
                                      "INSTANCE",
                                      "AVAILABILITY ZONE",
                                      "IN FORCE",
                                      "REPORT AGE");
  for (const lw::operator_api::InstanceStatus& instance : aStatus.instances()) {
    const char* mark = instance.version_in_force() < aStatus.version() ? "  lags" : "";
    absl::StrAppendFormat(&table,
                          "%-10d %-20s %-10d %d ms%s\n",
                          instance.instance(),
                          instance.availability_zone(),
                          instance.version_in_force(),
                          instance.report_age_ms(),
                          mark);
  }
  return table;
}

} // namespace Lwctl
