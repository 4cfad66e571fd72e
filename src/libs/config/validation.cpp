#include "config/validation.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/endpoint.h"

#include <cmath>
#include <set>
#include <string>
#include <utility>

namespace Config {

namespace {

constexpr uint32_t kFullSharePermille = 1000;
constexpr size_t kMaxNameLength = 64;
constexpr uint32_t kMaxPort = 65535;

absl::Status
InvalidField(const std::string& aPath, const std::string& aReason)
{
  absl::Status status = absl::InvalidArgumentError(absl::StrCat("field \"", aPath, "\" ", aReason));
  status.SetPayload(kFieldPathPayload, absl::Cord(aPath));
  return status;
}

absl::Status
ValidateName(const std::string& aPath, const std::string& aName)
{
  if (aName.empty() || aName.size() > kMaxNameLength) {
    return InvalidField(aPath, absl::StrCat("must have 1 to ", kMaxNameLength, " characters"));
  }
  // Names are used in metric labels and on the command line.
  constexpr const char* kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  if (aName.find_first_not_of(kAllowed) != std::string::npos) {
    return InvalidField(aPath, "may only contain letters, digits, '.', '_' and '-'");
  }
  return absl::OkStatus();
}

absl::Status
ValidateWorkKinds(const lw::config::Service& aService)
{
  std::set<std::string> names;
  uint32_t total = 0;
  for (int i = 0; i < aService.work_kinds_size(); ++i) {
    const lw::config::WorkKind& kind = aService.work_kinds(i);
    const std::string path = absl::StrCat("put_service.work_kinds[", i, "]");
    const absl::Status name = ValidateName(path + ".name", kind.name());
    if (!name.ok()) {
      return name;
    }
    if (!names.insert(kind.name()).second) {
      return InvalidField(path + ".name", "appears twice");
    }
    if (kind.share_permille() > kFullSharePermille - total) {
      return InvalidField(path + ".share_permille", "raises the sum of all shares above 1000");
    }
    total += kind.share_permille();
  }
  return absl::OkStatus();
}

absl::Status
ValidateClients(const lw::config::Service& aService)
{
  std::set<std::string> names;
  for (int i = 0; i < aService.clients_size(); ++i) {
    const lw::config::ClientTerms& terms = aService.clients(i);
    const std::string path = absl::StrCat("put_service.clients[", i, "]");
    const absl::Status name = ValidateName(path + ".client", terms.client());
    if (!name.ok()) {
      return name;
    }
    if (!names.insert(terms.client()).second) {
      return InvalidField(path + ".client", "appears twice");
    }
    if (terms.ceiling_permille() > kFullSharePermille) {
      return InvalidField(path + ".ceiling_permille", "must be at most 1000");
    }
    if (terms.starting_share_permille() > terms.ceiling_permille()) {
      return InvalidField(path + ".starting_share_permille", "must not be above ceiling_permille");
    }
  }
  return absl::OkStatus();
}

absl::Status
ValidateService(const lw::config::Service& aService)
{
  absl::Status status = ValidateName("put_service.name", aService.name());
  if (!status.ok()) {
    return status;
  }
  const absl::StatusOr<Base::Endpoint> address = Base::ParseEndpoint(aService.address());
  if (!address.ok()) {
    return InvalidField("put_service.address",
                        absl::StrCat("is invalid: ", address.status().message()));
  }
  if (aService.kind() != lw::config::OPAQUE && aService.kind() != lw::config::REQUEST) {
    return InvalidField("put_service.kind", "must be OPAQUE or REQUEST");
  }
  if (aService.generation() != 0) {
    return InvalidField("put_service.generation", "is set by the control instances");
  }
  status = ValidateWorkKinds(aService);
  return status.ok() ? ValidateClients(aService) : status;
}

absl::Status
ValidateEvacuation(const lw::config::Change& aChange)
{
  if (aChange.base_version() != 0) {
    return InvalidField("base_version", "must not be set for an evacuation");
  }
  const bool isControlOperator = aChange.operator_id() == kControlOperatorId;
  if (isControlOperator && aChange.request_number() != 0) {
    return InvalidField("request_number", "must not be set by a control instance");
  }
  if (!isControlOperator && aChange.request_number() == 0) {
    return InvalidField("request_number", "must be at least 1");
  }
  return ValidateName("set_evacuation.availability_zone",
                      aChange.set_evacuation().availability_zone());
}

bool
IsControlAction(const lw::config::Change& aChange)
{
  return aChange.has_release_addresses() || aChange.has_declare() || aChange.has_depart();
}

absl::Status
ValidateRoute(const lw::config::Route& aRoute, const std::set<std::string>& aServices)
{
  if (aRoute.timeout_ms() == 0) {
    return InvalidField("routes.timeout_ms",
                        absl::StrCat("of \"", aRoute.name(), "\" must not be 0"));
  }
  if (aRoute.port() == 0 || aRoute.port() > kMaxPort) {
    return InvalidField("routes.port", absl::StrCat("of \"", aRoute.name(), "\" is out of range"));
  }
  uint64_t weight = 0;
  for (const lw::config::WeightedService& target : aRoute.services()) {
    weight += target.weight();
    if (aServices.count(target.service()) == 0) {
      return InvalidField("routes.services",
                          absl::StrCat("refers to unknown service \"", target.service(), "\""));
    }
  }
  return weight > 0
           ? absl::OkStatus()
           : InvalidField("routes.services",
                          absl::StrCat("of \"", aRoute.name(), "\" have a total weight of 0"));
}

absl::Status
ValidateColdStarts(const lw::config::Declaration& aDeclaration,
                   const std::set<std::string>& aServices)
{
  std::set<std::string> limited;
  for (const lw::config::ColdStart& coldStart : aDeclaration.cold_starts()) {
    if (aServices.count(coldStart.service()) == 0) {
      return InvalidField("cold_starts.service",
                          absl::StrCat("refers to unknown service \"", coldStart.service(), "\""));
    }
    if (!limited.insert(coldStart.service()).second) {
      return InvalidField("cold_starts.service",
                          absl::StrCat("contains \"", coldStart.service(), "\" twice"));
    }
    const double rate = coldStart.requests_per_second();
    if (!std::isfinite(rate) || rate < 0) {
      return InvalidField(
        "cold_starts.requests_per_second",
        absl::StrCat("of \"", coldStart.service(), "\" must be finite and not negative"));
    }
  }
  return absl::OkStatus();
}

} // namespace

absl::Status
ValidateDeclaration(const lw::config::Declaration& aDeclaration)
{
  if (aDeclaration.version() == 0) {
    return InvalidField("version", "must be at least 1");
  }
  const std::set<std::string> services(aDeclaration.services().begin(),
                                       aDeclaration.services().end());
  if (static_cast<int>(services.size()) != aDeclaration.services_size()) {
    return InvalidField("services", "contains a duplicate name");
  }
  std::set<std::pair<uint32_t, uint32_t>> addresses;
  for (const lw::config::Route& route : aDeclaration.routes()) {
    const absl::Status valid = ValidateRoute(route, services);
    if (!valid.ok()) {
      return valid;
    }
    if (!addresses.emplace(route.address(), route.port()).second) {
      return InvalidField(
        "routes", absl::StrCat("\"", route.name(), "\" has the same address as another route"));
    }
  }
  return ValidateColdStarts(aDeclaration, services);
}

absl::Status
CheckAvailabilityZone(const KnownAvailabilityZones& aKnown,
                      const lw::config::ZoneEvacuation& aEvacuation)
{
  if (!aKnown.has_value() || aKnown->count(aEvacuation.availability_zone()) != 0) {
    return absl::OkStatus();
  }
  return InvalidField("set_evacuation.availability_zone",
                      absl::StrCat("names the unknown availability zone \"",
                                   aEvacuation.availability_zone(),
                                   "\"; known are: ",
                                   absl::StrJoin(*aKnown, ", ")));
}

absl::Status
ValidateChange(const lw::config::Change& aChange)
{
  const absl::Status operatorId = ValidateName("operator_id", aChange.operator_id());
  if (!operatorId.ok()) {
    return operatorId;
  }
  if (aChange.has_set_evacuation()) {
    return ValidateEvacuation(aChange);
  }
  const bool isControlOperator = aChange.operator_id() == kControlOperatorId;
  if (isControlOperator != IsControlAction(aChange)) {
    return InvalidField("operator_id",
                        "\"lw-control\" is reserved for changes of the control instances");
  }
  if (isControlOperator) {
    return aChange.has_declare() ? ValidateDeclaration(aChange.declare()) : absl::OkStatus();
  }
  if (aChange.request_number() == 0) {
    return InvalidField("request_number", "must be at least 1");
  }
  switch (aChange.action_case()) {
    case lw::config::Change::kPutService:
      return ValidateService(aChange.put_service());
    case lw::config::Change::kDeleteService:
      return ValidateName("delete_service", aChange.delete_service());
    default:
      return InvalidField("action", "is missing");
  }
}

} // namespace Config
