#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include "config.pb.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace Config {

/// A service as the packet path uses it.
struct ServiceView
{
  std::string mName;
  Base::Endpoint mAddress;
  Base::ServiceGeneration mGeneration;
  lw::config::Service mDefinition;
};

/// One version of the configuration, indexed for the packet path. Immutable once published.
struct ServiceIndex
{
  Base::ConfigVersion mVersion;
  std::unordered_map<Base::Endpoint, std::shared_ptr<const ServiceView>> mByAddress;
  std::unordered_map<std::string, std::shared_ptr<const ServiceView>> mByName;
};

/// Builds the index for a state that the control instances have accepted.
std::shared_ptr<const ServiceIndex>
BuildServiceIndex(const lw::config::State& aState);

} // namespace Config
