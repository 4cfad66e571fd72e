#include "consensus/snapshottransfer.h"

#include "consensus/replication.h"
#include "consensus/roles.h"

#include <algorithm>

namespace Consensus::Internal {

namespace {

/// Larger snapshots are rejected, so that a malformed message cannot exhaust the memory. A
/// configuration of 16,000 hosts and 1,800 addresses needs a few megabytes.
constexpr uint64_t kMaxStateBytes = 256ULL * 1024 * 1024;

bool
IsSameSnapshot(const Snapshot& aLeft, const Snapshot& aRight)
{
  return aLeft.index() == aRight.index() && aLeft.term() == aRight.term();
}

void
SendSnapshotReply(const Node& aNode,
                  const Context& aContext,
                  const Message& aRequest,
                  Output& aOutput)
{
  Message message = MakeReply(aNode, aContext, aRequest);
  lw::consensus::SnapshotReply* reply = message.mutable_snapshot_reply();
  reply->set_index(aNode.mIncomingSnapshot.index());
  reply->set_next_offset(aNode.mIncomingSnapshot.state().size());
  reply->set_round(aNode.mLeaderHeartbeatRound);
  aOutput.mMessages.push_back(std::move(message));
}

} // namespace

void
SendSnapshotPiece(Node& aNode,
                  const Context& aContext,
                  StorageId aStorage,
                  Progress& aProgress,
                  Output& aOutput)
{
  const Snapshot& snapshot = aNode.mSnapshot;
  if (aProgress.mSnapshotIndex != snapshot.index()) {
    aProgress.mSnapshotIndex = snapshot.index();
    aProgress.mSnapshotOffset = 0;
    aProgress.mNextIndex = snapshot.index() + 1;
  }
  Message message = MakeMessage(aNode, aContext, aProgress.mInstance, aStorage);
  lw::consensus::SnapshotPiece* piece = message.mutable_snapshot_piece();
  piece->mutable_header()->set_index(snapshot.index());
  piece->mutable_header()->set_term(snapshot.term());
  *piece->mutable_header()->mutable_membership() = snapshot.membership();
  const uint64_t offset = std::min<uint64_t>(aProgress.mSnapshotOffset, snapshot.state().size());
  piece->set_offset(offset);
  piece->set_total(snapshot.state().size());
  piece->set_data(snapshot.state().substr(offset, aContext.mSettings.mSnapshotPieceBytes));
  piece->set_round(aNode.mHeartbeatRound);
  aOutput.mMessages.push_back(std::move(message));
}

void
HandleSnapshotPiece(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  const lw::consensus::SnapshotPiece& piece = aMessage.snapshot_piece();
  aNode.mLeaderHeartbeatRound = std::max(aNode.mLeaderHeartbeatRound, piece.round());
  if (piece.header().index() <= aNode.mCommitIndex) {
    aNode.mMatchedIndex = std::max(aNode.mMatchedIndex, aNode.mCommitIndex);
    SendAppendReply(aNode, aContext, aOutput);
    return;
  }
  if (piece.total() > kMaxStateBytes) {
    return;
  }
  if (!IsSameSnapshot(aNode.mIncomingSnapshot, piece.header())) {
    aNode.mIncomingSnapshot = piece.header();
    aNode.mIncomingSnapshot.clear_state();
  }
  if (piece.offset() == aNode.mIncomingSnapshot.state().size()) {
    aNode.mIncomingSnapshot.mutable_state()->append(piece.data());
  }
  if (aNode.mIncomingSnapshot.state().size() >= piece.total()) {
    aOutput.mInstall = aNode.mIncomingSnapshot;
    aOutput.mInstallKeepsLog =
      TermAt(aNode.mLog, aNode.mIncomingSnapshot.index()) == aNode.mIncomingSnapshot.term();
    aNode.mIncomingSnapshot.Clear();
    return;
  }
  SendSnapshotReply(aNode, aContext, aMessage, aOutput);
}

void
HandleSnapshotReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  const auto found = aNode.mProgress.find(StorageId(aMessage.from_storage()));
  if (aNode.mRole != Role::Leader || found == aNode.mProgress.end()) {
    return;
  }
  Progress& progress = found->second;
  const lw::consensus::SnapshotReply& reply = aMessage.snapshot_reply();
  progress.mLastReply = aContext.mNow;
  progress.mHeartbeatRound = std::max(progress.mHeartbeatRound, reply.round());
  const bool advanced =
    reply.index() == progress.mSnapshotIndex && reply.next_offset() != progress.mSnapshotOffset;
  if (advanced) {
    progress.mSnapshotOffset = reply.next_offset();
    progress.mLastSent = aContext.mNow;
    SendSnapshotPiece(aNode, aContext, found->first, progress, aOutput);
  }
  ConfirmReads(aNode, aOutput);
}

} // namespace Consensus::Internal
