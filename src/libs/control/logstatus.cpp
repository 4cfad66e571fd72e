#include "control/logstatus.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "control/logdriver.h"

#include <glog/logging.h>

#include <string>

namespace Control {

namespace {

std::string
DescribeInstance(uint32_t aInstance, bool aIdIsAddress)
{
  return aIdIsAddress ? Base::ToString(Base::Endpoint{ aInstance, 0 }) : absl::StrCat(aInstance);
}

} // namespace

std::string
DescribeMembers(const lw::operator_api::ControlStatus& aStatus, bool aIdsAreAddresses)
{
  std::vector<std::string> voters;
  std::vector<std::string> learners;
  for (const lw::operator_api::ControlMember& member : aStatus.members()) {
    (member.voter() ? voters : learners)
      .push_back(DescribeInstance(member.instance(), aIdsAreAddresses));
  }
  const std::string text = absl::StrCat("voters ", absl::StrJoin(voters, ", "));
  return learners.empty() ? text : absl::StrCat(text, "; learners ", absl::StrJoin(learners, ", "));
}

lw::operator_api::ControlStatus
MakeStatus(const Consensus::Node& aNode,
           const Consensus::Context& aContext,
           const absl::Status& aFailure)
{
  lw::operator_api::ControlStatus status;
  status.set_instance(aContext.mSettings.mSelf.mValue);
  status.set_leads(aNode.mRole == Consensus::Role::Leader);
  status.set_term(aNode.mHardState.mTerm);
  status.set_committed_index(aNode.mCommitIndex);
  status.set_applied_index(aNode.mAppliedIndex);
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
    member->set_synced_index(progress != aNode.mProgress.end() ? progress->second.mSyncedIndex : 0);
  }
  return status;
}

std::vector<Base::InstanceId>
LogDriver::Members() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mMembers;
}

bool
LogDriver::IsConnected() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStatus.connected();
}

std::string
LogDriver::LeaderAddress() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!mStatus.connected() || mLeader == Base::InstanceId()) {
    return "";
  }
  const std::optional<ControlAddress> address = FindControlAddress(mSettings, mLeader);
  return address.has_value() ? Base::ToString(address->mOperatorAddress) : "";
}

void
LogDriver::FillStatus(lw::operator_api::ControlStatus& aStatus) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aStatus = mStatus;
}

void
LogDriver::PublishStatus()
{
  const Consensus::Context context = Replication::MakeContext(mReplica, Base::RuntimeClock::now());
  lw::operator_api::ControlStatus status = MakeStatus(mReplica.mNode, context, mFailure);
  if (status.leads() != mStatus.leads()) {
    LOG(INFO) << "[control] " << (status.leads() ? "Leads" : "Stopped leading") << ", term "
              << status.term() << ".";
  }
  const auto& memberships = mReplica.mNode.mMemberships;
  const Consensus::LogIndex changedAt = memberships.empty() ? 0 : memberships.back().mIndex;
  if (changedAt != mLoggedMembershipIndex) {
    mLoggedMembershipIndex = changedAt;
    LOG(INFO) << "[control] Membership at index " << changedAt << ": "
              << DescribeMembers(status, mSettings.mIdsAreAddresses) << ".";
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mStatus = std::move(status);
  mLeader = mReplica.mNode.mLeader;
  mMembers.clear();
  for (const lw::consensus::Replica& replica :
       Consensus::CurrentMembership(mReplica.mNode).replicas()) {
    mMembers.emplace_back(replica.instance());
  }
}

} // namespace Control
