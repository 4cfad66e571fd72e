#include "placement/fingerprint.h"

#include "base/hash.h"

namespace Placement {

uint64_t
MembershipFingerprint(const Membership::View& aView)
{
  uint64_t value = 0;
  for (const Membership::Member& member : aView.mMembers) {
    value = Base::StableHash({ value,
                               member.mId.mValue,
                               member.mIncarnation.mValue,
                               static_cast<uint64_t>(member.mState) });
  }
  return value;
}

} // namespace Placement
