#include "config/serviceindex.h"

namespace Config {

std::shared_ptr<const ServiceIndex>
BuildServiceIndex(const lw::config::State& aState)
{
  auto index = std::make_shared<ServiceIndex>();
  index->mVersion = Base::ConfigVersion(aState.version());
  for (const lw::config::Service& service : aState.services()) {
    const absl::StatusOr<Base::Endpoint> address = Base::ParseEndpoint(service.address());
    if (!address.ok()) {
      continue; // Cannot happen: validation rejects such a service.
    }
    auto view = std::make_shared<ServiceView>();
    view->mName = service.name();
    view->mAddress = *address;
    view->mGeneration = Base::ServiceGeneration(service.generation());
    view->mDefinition = service;
    index->mByAddress[*address] = view;
    index->mByName[service.name()] = view;
  }
  return index;
}

} // namespace Config
