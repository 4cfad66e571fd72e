#include "announceservice.h"

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace Entry {

namespace {

constexpr std::chrono::seconds kStopTimeout{ 2 };

absl::StatusOr<Membership::ClaimState>
ParseState(lw::announce::UpstreamState aState)
{
  switch (aState) {
    case lw::announce::ACTIVE:
      return Membership::ClaimState::Active;
    case lw::announce::DRAINING:
      return Membership::ClaimState::Draining;
    case lw::announce::LEFT:
      return Membership::ClaimState::Left;
    default:
      return absl::InvalidArgumentError("state must be ACTIVE, DRAINING or LEFT");
  }
}

/// Validates a request against the configuration in force.
absl::StatusOr<Membership::Announcement>
ParseRequest(const lw::announce::AnnounceRequest& aRequest, const Config::ServiceIndex& aServices)
{
  const absl::StatusOr<Base::Endpoint> endpoint = Base::ParseEndpoint(aRequest.address());
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  const absl::StatusOr<Membership::ClaimState> state = ParseState(aRequest.state());
  if (!state.ok()) {
    return state.status();
  }
  const auto service = aServices.mByName.find(aRequest.service());
  if (service == aServices.mByName.end()) {
    return absl::InvalidArgumentError(
      absl::StrCat("service \"", aRequest.service(), "\" does not exist"));
  }
  Membership::Announcement announcement;
  announcement.mEndpoint = *endpoint;
  announcement.mService = aRequest.service();
  announcement.mGeneration = service->second->mGeneration;
  announcement.mStartId = aRequest.start_id();
  announcement.mSequence = aRequest.sequence();
  announcement.mState = *state;
  announcement.mSlots = std::max<uint32_t>(1, aRequest.slots());
  announcement.mLoad = aRequest.load();
  return announcement;
}

Metrics::Counter&
OutcomeCounter(Metrics::Registry& aMetrics, const char* aOutcome)
{
  return aMetrics.CounterFor(absl::StrCat("announcements_total{outcome=\"", aOutcome, "\"}"));
}

} // namespace

AnnounceService::AnnounceService(MembershipAgent& aAgent,
                                 const Base::Snapshot<Config::ServiceIndex>& aServices,
                                 Metrics::Registry& aMetrics)
  : mAgent(aAgent)
  , mServices(aServices)
  , mAccepted(OutcomeCounter(aMetrics, "accepted"))
  , mInvalid(OutcomeCounter(aMetrics, "invalid"))
  , mUnavailable(OutcomeCounter(aMetrics, "unavailable"))
  , mStale(OutcomeCounter(aMetrics, "stale"))
  , mAddressInUse(OutcomeCounter(aMetrics, "address_in_use"))
{
}

absl::Status
AnnounceService::Start(const Base::Endpoint& aListen)
{
  int port = 0;
  grpc::ServerBuilder builder;
  builder.AddListeningPort(Base::ToString(aListen), grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(this);
  mServer = builder.BuildAndStart();
  if (mServer == nullptr || port == 0) {
    return absl::UnavailableError(absl::StrCat("cannot listen on ", Base::ToString(aListen)));
  }
  return absl::OkStatus();
}

void
AnnounceService::Stop()
{
  if (mServer != nullptr) {
    mServer->Shutdown(std::chrono::system_clock::now() + kStopTimeout);
  }
}

grpc::Status
AnnounceService::Announce(grpc::ServerContext* /*aContext*/,
                          const lw::announce::AnnounceRequest* aRequest,
                          lw::announce::AnnounceReply* aReply)
{
  const absl::StatusOr<Membership::Announcement> announcement =
    ParseRequest(*aRequest, *mServices.Load());
  if (!announcement.ok()) {
    mInvalid.Add();
    return { grpc::StatusCode::INVALID_ARGUMENT, std::string(announcement.status().message()) };
  }
  const Membership::AnnounceResult result = mAgent.Announce(*announcement);
  switch (result.mOutcome) {
    case Membership::AnnounceOutcome::Accepted:
      break;
    case Membership::AnnounceOutcome::Unavailable:
      mUnavailable.Add();
      return { grpc::StatusCode::UNAVAILABLE, "the instance is joining or leaving" };
    case Membership::AnnounceOutcome::Stale:
      mStale.Add();
      return { grpc::StatusCode::FAILED_PRECONDITION,
               absl::StrCat("a newer announcement of ", aRequest->address(), " is known") };
    case Membership::AnnounceOutcome::AddressInUse:
      mAddressInUse.Add();
      return { grpc::StatusCode::ALREADY_EXISTS,
               absl::StrCat(
                 "address ", aRequest->address(), " has a valid lease in another service") };
  }
  mAccepted.Add();
  const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(result.mLease);
  aReply->set_lease_ms(static_cast<uint32_t>(lease.count()));
  return grpc::Status::OK;
}

} // namespace Entry
