#include "admission/policylookup.h"

#include <algorithm>

namespace Admission {

namespace {

constexpr double kFullShare = 1000;
// Weight for borrowing of kinds and clients without a share.
constexpr double kMinWeight = 0.001;

const Policy::Kind*
FindKind(const Policy& aPolicy, const std::string& aName)
{
  const auto& kinds = aPolicy.mKinds;
  const auto found = std::find_if(
    kinds.begin(), kinds.end(), [&](const Policy::Kind& aKind) { return aKind.mName == aName; });
  return found == kinds.end() ? nullptr : &*found;
}

double
SumOfClientShares(const Policy& aPolicy)
{
  double sum = 0;
  for (const Policy::Client& client : aPolicy.mClients) {
    sum += client.mSharePermille;
  }
  return sum;
}

} // namespace

const Policy::Client*
FindClient(const Policy& aPolicy, const std::string& aName)
{
  const auto& clients = aPolicy.mClients;
  const auto found =
    std::find_if(clients.begin(), clients.end(), [&](const Policy::Client& aClient) {
      return aClient.mName == aName;
    });
  return found == clients.end() ? nullptr : &*found;
}

bool
HasKind(const Policy& aPolicy, const std::string& aName)
{
  return FindKind(aPolicy, aName) != nullptr;
}

double
KindShare(const Policy& aPolicy, const std::string& aName)
{
  const Policy::Kind* kind = FindKind(aPolicy, aName);
  return kind == nullptr ? 0 : kind->mSharePermille / kFullShare;
}

double
ClientShare(const Policy& aPolicy, const std::string& aName)
{
  const Policy::Client* client = FindClient(aPolicy, aName);
  const double whole = std::max(kFullShare, SumOfClientShares(aPolicy));
  return client == nullptr ? 0 : client->mSharePermille / whole;
}

double
KindWeight(const Policy& aPolicy, const std::string& aName)
{
  return std::max(kMinWeight, KindShare(aPolicy, aName));
}

double
ClientWeight(const Policy& aPolicy, const std::string& aName)
{
  return std::max(kMinWeight, ClientShare(aPolicy, aName));
}

uint32_t
Urgency(const Policy& aPolicy, const std::string& aName)
{
  const Policy::Kind* kind = FindKind(aPolicy, aName);
  return kind == nullptr ? 0 : kind->mUrgency;
}

std::string
QueueNameOfKind(const Policy& aPolicy, const std::string& aKind)
{
  return HasKind(aPolicy, aKind) ? aKind : "";
}

std::string
QueueNameOfClient(const Policy& aPolicy, const std::string& aClient)
{
  return FindClient(aPolicy, aClient) == nullptr ? "" : aClient;
}

} // namespace Admission
