#include "requests/state.h"

#include <tuple>

namespace Requests {

bool
operator<(const UpstreamKey& aLeft, const UpstreamKey& aRight)
{
  return std::tie(aLeft.mEndpoint, aLeft.mGeneration) <
         std::tie(aRight.mEndpoint, aRight.mGeneration);
}

State
MakeState(const Run& aSelf, uint32_t aShard)
{
  State state;
  state.mSelf = aSelf;
  state.mShard = aShard;
  return state;
}

} // namespace Requests
