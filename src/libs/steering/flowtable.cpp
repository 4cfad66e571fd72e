#include "steering/flowtable.h"

#include "base/hash.h"

namespace Steering {

namespace {

/// Upper bound of the bytes that a caller sends on a flow within its lifetime.
constexpr uint32_t kMaxFlowBytes = uint32_t{ 64 } * 1024 * 1024;

} // namespace

bool
operator==(const FlowKey& aLeft, const FlowKey& aRight)
{
  return aLeft.mCaller == aRight.mCaller && aLeft.mService == aRight.mService;
}

bool
IsInFlow(uint32_t aFirstSequence, uint32_t aSequence)
{
  return aSequence - aFirstSequence <= kMaxFlowBytes;
}

size_t
FlowKeyHash::operator()(const FlowKey& aKey) const
{
  return static_cast<size_t>(
    Base::StableHash({ Base::Pack(aKey.mCaller), Base::Pack(aKey.mService) }));
}

} // namespace Steering
