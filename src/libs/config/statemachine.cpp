#include "config/statemachine.h"

#include "absl/strings/str_cat.h"
#include "config/validation.h"

#include <algorithm>
#include <string>

namespace Config {

namespace {

/// Number of outcomes kept per operator to answer resends. The oldest is dropped first.
constexpr int kMaxRecordedOutcomes = 4096;
/// Number of departures kept. The oldest is dropped first. An upstream is gone within minutes of
/// its departure, long before 4096 others can depart.
constexpr int kMaxDepartures = 4096;
/// Number of availability zones that can be evacuated at the same time. It bounds the state if
/// every name is accepted, and is far above the number of zones of a region.
constexpr int kMaxEvacuatedZones = 256;
constexpr uint64_t kOutcomeLifetimeMs = 24ULL * 60 * 60 * 1000;

const lw::config::RecordedOutcome*
FindOutcome(const lw::config::State& aState, const lw::config::Change& aChange)
{
  for (const lw::config::RecordedOutcome& outcome : aState.outcomes()) {
    if (outcome.operator_id() == aChange.operator_id() &&
        outcome.request_number() == aChange.request_number()) {
      return &outcome;
    }
  }
  return nullptr;
}

/// Removes expired outcomes, and the oldest outcome of the operator if it has reached the limit.
void
DropOutcomes(lw::config::State& aState, const std::string& aOperatorId, uint64_t aNowMs)
{
  const auto& outcomes = aState.outcomes();
  const auto count = std::count_if(outcomes.begin(), outcomes.end(), [&](const auto& aOutcome) {
    return aOutcome.operator_id() == aOperatorId;
  });
  bool dropOldest = count >= kMaxRecordedOutcomes;
  const auto isDropped = [&](const lw::config::RecordedOutcome& aOutcome) {
    if (aOutcome.accepted_at_ms() + kOutcomeLifetimeMs < aNowMs) {
      return true;
    }
    const bool oldest = dropOldest && aOutcome.operator_id() == aOperatorId;
    dropOldest = dropOldest && !oldest;
    return oldest;
  };
  auto* kept = aState.mutable_outcomes();
  int next = 0;
  for (int i = 0; i < kept->size(); ++i) {
    if (!isDropped(kept->Get(i))) {
      kept->SwapElements(next++, i);
    }
  }
  kept->DeleteSubrange(next, kept->size() - next);
}

void
RecordOutcome(lw::config::State& aState, const lw::config::Change& aChange, uint64_t aNowMs)
{
  DropOutcomes(aState, aChange.operator_id(), aNowMs);
  lw::config::RecordedOutcome* outcome = aState.add_outcomes();
  outcome->set_operator_id(aChange.operator_id());
  outcome->set_request_number(aChange.request_number());
  outcome->set_version(aState.version());
  outcome->set_accepted_at_ms(aNowMs);
}

int
FindService(const lw::config::State& aState, const std::string& aName)
{
  for (int i = 0; i < aState.services_size(); ++i) {
    if (aState.services(i).name() == aName) {
      return i;
    }
  }
  return -1;
}

absl::Status
CheckAddress(const lw::config::State& aState, const lw::config::Service& aService)
{
  for (const lw::config::Service& other : aState.services()) {
    if (other.address() == aService.address() && other.name() != aService.name()) {
      return absl::FailedPreconditionError(
        absl::StrCat("address ", aService.address(), " belongs to service \"", other.name(), "\""));
    }
  }
  for (const lw::config::RetiredAddress& retired : aState.retired_addresses()) {
    if (retired.address() == aService.address()) {
      return absl::FailedPreconditionError(
        absl::StrCat("address ",
                     aService.address(),
                     " was removed in version ",
                     retired.removed_in_version(),
                     " and not all instances have confirmed the removal"));
    }
  }
  return absl::OkStatus();
}

absl::Status
PutService(lw::config::State& aState, const lw::config::Service& aService)
{
  const absl::Status address = CheckAddress(aState, aService);
  if (!address.ok()) {
    return address;
  }
  const uint64_t version = aState.version() + 1;
  const int position = FindService(aState, aService.name());
  if (position < 0) {
    lw::config::Service* added = aState.add_services();
    *added = aService;
    added->set_generation(version);
    return absl::OkStatus();
  }
  lw::config::Service* service = aState.mutable_services(position);
  if (service->address() != aService.address() || service->kind() != aService.kind()) {
    return absl::FailedPreconditionError(
      absl::StrCat("address and kind of service \"",
                   aService.name(),
                   "\" cannot change; delete it and create it again"));
  }
  const uint64_t generation = service->generation();
  *service = aService;
  service->set_generation(generation);
  return absl::OkStatus();
}

absl::Status
DeleteService(lw::config::State& aState, const std::string& aName)
{
  const int position = FindService(aState, aName);
  if (position < 0) {
    return absl::FailedPreconditionError(absl::StrCat("service \"", aName, "\" does not exist"));
  }
  lw::config::RetiredAddress* retired = aState.add_retired_addresses();
  retired->set_address(aState.services(position).address());
  retired->set_removed_in_version(aState.version() + 1);
  aState.mutable_services()->DeleteSubrange(position, 1);
  return absl::OkStatus();
}

/// Releases each address whose retirement comes from the given removal. Later removals of the same
/// address are not affected.
absl::StatusOr<Base::ConfigVersion>
ReleaseAddresses(lw::config::State& aState, const lw::config::ReleasedAddresses& aReleased)
{
  auto* retired = aState.mutable_retired_addresses();
  const int before = retired->size();
  for (const lw::config::RetiredAddress& released : aReleased.addresses()) {
    const auto found =
      std::find_if(retired->begin(), retired->end(), [&](const lw::config::RetiredAddress& aItem) {
        return aItem.address() == released.address() &&
               aItem.removed_in_version() == released.removed_in_version();
      });
    if (found != retired->end()) {
      retired->erase(found);
    }
  }
  if (retired->size() == before) {
    return absl::FailedPreconditionError("none of the addresses is retired by the given removal");
  }
  aState.set_version(aState.version() + 1);
  return Base::ConfigVersion(aState.version());
}

/// Replaces the declaration if the new version is higher. The content of an accepted version never
/// changes.
Base::ConfigVersion
ApplyDeclaration(lw::config::State& aState, const lw::config::Declaration& aDeclaration)
{
  if (aDeclaration.version() > aState.declaration().version()) {
    *aState.mutable_declaration() = aDeclaration;
    aState.set_version(aState.version() + 1);
  }
  return Base::ConfigVersion(aState.version());
}

Base::ConfigVersion
RecordDeparture(lw::config::State& aState, const lw::config::Departure& aDeparture)
{
  for (const lw::config::Departure& known : aState.departures()) {
    if (known.upstream() == aDeparture.upstream() &&
        known.started_at_ms() == aDeparture.started_at_ms()) {
      return Base::ConfigVersion(aState.version());
    }
  }
  if (aState.departures_size() >= kMaxDepartures) {
    aState.mutable_departures()->erase(aState.departures().begin());
  }
  *aState.add_departures() = aDeparture;
  aState.set_version(aState.version() + 1);
  return Base::ConfigVersion(aState.version());
}

/// Adds or removes the availability zone. A change that changes nothing is accepted and increases
/// neither the revision nor the version.
absl::Status
SetEvacuation(lw::config::State& aState, const lw::config::ZoneEvacuation& aEvacuation)
{
  const std::string& zone = aEvacuation.availability_zone();
  const auto& current = aState.evacuations().availability_zones();
  const auto position = std::lower_bound(current.begin(), current.end(), zone);
  const bool isEvacuated = position != current.end() && *position == zone;
  if (isEvacuated == aEvacuation.evacuated()) {
    return absl::OkStatus();
  }
  if (aEvacuation.evacuated() && current.size() >= kMaxEvacuatedZones) {
    return absl::InvalidArgumentError(
      absl::StrCat("at most ", kMaxEvacuatedZones, " availability zones can be evacuated"));
  }
  const auto index = static_cast<int>(position - current.begin());
  lw::config::Evacuations* evacuations = aState.mutable_evacuations();
  auto* zones = evacuations->mutable_availability_zones();
  if (aEvacuation.evacuated()) {
    *zones->Add() = zone;
    std::rotate(zones->begin() + index, zones->end() - 1, zones->end());
  } else {
    zones->DeleteSubrange(index, 1);
  }
  evacuations->set_revision(evacuations->revision() + 1);
  aState.set_version(aState.version() + 1);
  return absl::OkStatus();
}

/// Applies an evacuation of an operator or of a control instance. Only requests of operators are
/// numbered.
absl::StatusOr<Base::ConfigVersion>
ApplyEvacuation(lw::config::State& aState,
                const lw::config::Change& aChange,
                uint64_t aAcceptedAtMs)
{
  const absl::Status applied = SetEvacuation(aState, aChange.set_evacuation());
  if (!applied.ok()) {
    return applied;
  }
  if (aChange.request_number() != 0) {
    // Also recorded if nothing changed. Otherwise a late copy would undo a change that was accepted
    // in between.
    RecordOutcome(aState, aChange, aAcceptedAtMs);
  }
  return Base::ConfigVersion(aState.version());
}

absl::Status
ApplyAction(lw::config::State& aState, const lw::config::Change& aChange)
{
  if (aChange.has_put_service()) {
    return PutService(aState, aChange.put_service());
  }
  return DeleteService(aState, aChange.delete_service());
}

/// Applies a valid change that is not a resend.
absl::StatusOr<Base::ConfigVersion>
ApplyNewChange(lw::config::State& aState, const lw::config::Change& aChange, uint64_t aAcceptedAtMs)
{
  if (aChange.has_release_addresses()) {
    return ReleaseAddresses(aState, aChange.release_addresses());
  }
  if (aChange.has_declare()) {
    return ApplyDeclaration(aState, aChange.declare());
  }
  if (aChange.has_depart()) {
    return RecordDeparture(aState, aChange.depart());
  }
  if (aChange.has_set_evacuation()) {
    return ApplyEvacuation(aState, aChange, aAcceptedAtMs);
  }
  if (aChange.base_version() != aState.version()) {
    return absl::AbortedError(absl::StrCat("change starts from version ",
                                           aChange.base_version(),
                                           ", the current version is ",
                                           aState.version()));
  }
  const absl::Status applied = ApplyAction(aState, aChange);
  if (!applied.ok()) {
    return applied;
  }
  aState.set_version(aState.version() + 1);
  RecordOutcome(aState, aChange, aAcceptedAtMs);
  return Base::ConfigVersion(aState.version());
}

} // namespace

absl::StatusOr<Base::ConfigVersion>
ApplyChange(lw::config::State& aState, const lw::config::Change& aChange, uint64_t aAcceptedAtMs)
{
  const absl::Status valid = ValidateChange(aChange);
  if (!valid.ok()) {
    return valid;
  }
  const lw::config::RecordedOutcome* outcome =
    aChange.request_number() == 0 ? nullptr : FindOutcome(aState, aChange);
  if (outcome != nullptr) {
    return Base::ConfigVersion(outcome->version());
  }
  return ApplyNewChange(aState, aChange, aAcceptedAtMs);
}

absl::Status
ApplyRevision(lw::config::State& aState, const lw::config::Revision& aRevision)
{
  if (aRevision.version() != aState.version() + 1) {
    return absl::OutOfRangeError(absl::StrCat(
      "revision ", aRevision.version(), " does not follow version ", aState.version()));
  }
  const absl::Status valid = ValidateChange(aRevision.change());
  if (!valid.ok()) {
    return valid;
  }
  // Recorded outcomes are not consulted. Those of evacuations that changed nothing are not in any
  // revision, so the control instances may drop an older outcome before this instance does.
  return ApplyNewChange(aState, aRevision.change(), aRevision.accepted_at_ms()).status();
}

} // namespace Config
