#include "steering/flowtable.h"

#include "base/hash.h"

namespace Steering {

bool
operator==(const FlowKey& aLeft, const FlowKey& aRight)
{
  return aLeft.mCaller == aRight.mCaller && aLeft.mService == aRight.mService;
}

size_t
FlowKeyHash::operator()(const FlowKey& aKey) const
{
  return static_cast<size_t>(
    Base::StableHash({ Base::Pack(aKey.mCaller), Base::Pack(aKey.mService) }));
}

} // namespace Steering
