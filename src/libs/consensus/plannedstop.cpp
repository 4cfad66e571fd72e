#include "consensus/node.h"
#include "consensus/roles.h"

#include <utility>

namespace Consensus {

using Internal::MakeMessage;
using Internal::OwnStorageId;

Output
TransferLeadership(Node& aNode, const Context& aContext)
{
  Output output;
  auto best = aNode.mProgress.end();
  for (auto other = aNode.mProgress.begin(); other != aNode.mProgress.end(); ++other) {
    const auto sinceLastReply = aContext.mNow - other->second.mLastReply;
    const bool eligible = IsVoter(CurrentMembership(aNode), other->first) &&
                          !other->second.mLeaving &&
                          sinceLastReply < aContext.mSettings.mElectionTimeout;
    const bool better =
      best == aNode.mProgress.end() || other->second.mSyncedIndex > best->second.mSyncedIndex;
    if (eligible && better) {
      best = other;
    }
  }
  if (aNode.mRole == Role::Leader && best != aNode.mProgress.end()) {
    Message message = MakeMessage(aNode, aContext, best->second.mInstance, best->first);
    message.mutable_hand_over();
    output.mMessages.push_back(std::move(message));
  }
  return output;
}

void
StartLeaving(Node& aNode, const Context& aContext)
{
  aNode.mLeaving = true;
  aNode.mNextHello = aContext.mNow + aContext.mSettings.mHeartbeatInterval;
}

bool
AwaitsRemoval(const Node& aNode, const Settings& aSettings)
{
  const Membership& membership = CurrentMembership(aNode);
  return aSettings.mOpenMembership && IsVoter(membership, OwnStorageId(aNode)) &&
         CanReleaseVoter(membership, aSettings.mMinVoters);
}

} // namespace Consensus
