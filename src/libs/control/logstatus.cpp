#include "control/logstatus.h"

#include <string>

namespace Control {

lw::operator_api::ControlStatus
MakeStatus(const Consensus::Node& aNode,
           const Consensus::Context& aContext,
           const absl::Status& aFailure)
{
  lw::operator_api::ControlStatus status;
  status.set_instance(aContext.mSettings.mSelf.mValue);
  status.set_leads(aNode.mRole == Consensus::Role::Leader);
  status.set_term(aNode.mHardState.mTerm);
  status.set_committed_index(aNode.mCommit);
  status.set_applied_index(aNode.mApplied);
  status.set_last_index(Consensus::LastIndex(aNode.mLog));
  status.set_snapshot_index(aNode.mSnapshot.index());
  status.set_connected(!aNode.mFailed && Consensus::IsConnected(aNode, aContext));
  status.set_storage_failure(std::string(aFailure.message()));
  for (const lw::consensus::Replica& replica : Consensus::CurrentMembership(aNode).replicas()) {
    lw::operator_api::ControlMember* member = status.add_members();
    member->set_instance(replica.instance());
    member->set_storage(replica.storage());
    member->set_voter(replica.voter());
    const auto progress = aNode.mProgress.find(Consensus::StorageId(replica.storage()));
    member->set_synced_index(progress != aNode.mProgress.end() ? progress->second.mSynced : 0);
  }
  return status;
}

} // namespace Control
