#include "directory/serviceindex.h"

#include "directory/mergeddirectory.h"

#include <algorithm>
#include <tuple>

namespace Directory {

namespace {

bool
IsBefore(const MergedUpstream* aFirst, const MergedUpstream* aSecond)
{
  const Upstream& first = aFirst->mUpstream;
  const Upstream& second = aSecond->mUpstream;
  return std::tie(first.mId, first.mStartedAtMs) < std::tie(second.mId, second.mStartedAtMs);
}

bool
IsReady(const MergedUpstream& aUpstream)
{
  return aUpstream.mUpstream.mState == State::Ready;
}

} // namespace

void
AddToIndex(ServiceIndex& aIndex, const MergedUpstream& aUpstream)
{
  const Upstream& described = aUpstream.mUpstream;
  ZoneUpstreams& zone = aIndex[described.mService][described.mAvailabilityZone];
  ++zone.mKnown;
  if (IsReady(aUpstream)) {
    auto& ready = zone.mReady;
    ready.insert(std::upper_bound(ready.begin(), ready.end(), &aUpstream, IsBefore), &aUpstream);
  }
}

void
RemoveFromIndex(ServiceIndex& aIndex, const MergedUpstream& aUpstream)
{
  const Upstream& described = aUpstream.mUpstream;
  const auto service = aIndex.find(described.mService);
  const auto zone = service->second.find(described.mAvailabilityZone);
  if (IsReady(aUpstream)) {
    auto& ready = zone->second.mReady;
    ready.erase(std::lower_bound(ready.begin(), ready.end(), &aUpstream, IsBefore));
  }
  if (--zone->second.mKnown == 0) {
    service->second.erase(zone);
  }
  if (service->second.empty()) {
    aIndex.erase(service);
  }
}

} // namespace Directory
