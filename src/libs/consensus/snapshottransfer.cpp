#include "consensus/snapshottransfer.h"

#include "consensus/replication.h"
#include "consensus/roles.h"

#include <algorithm>

namespace Consensus::Internal {

namespace {

/// Larger states are refused, so that a malformed message cannot exhaust the memory. 16,000 hosts
/// and 1,800 addresses need a few megabytes.
constexpr uint64_t kMaxStateBytes = 256ULL * 1024 * 1024;

bool
IsSameSnapshot(const Snapshot& aLeft, const Snapshot& aRight)
{
  return aLeft.index() == aRight.index() && aLeft.term() == aRight.term();
}

void
SendReply(const Node& aNode, const Context& aContext, const Message& aRequest, Output& aOutput)
{
  Message message = MakeReply(aNode, aContext, aRequest);
  lw::consensus::SnapshotReply* reply = message.mutable_snapshot_reply();
  reply->set_index(aNode.mIncoming.index());
  reply->set_next_offset(aNode.mIncoming.state().size());
  reply->set_round(aNode.mLeaderRound);
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
    aProgress.mNext = snapshot.index() + 1;
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
  piece->set_round(aNode.mRound);
  aOutput.mMessages.push_back(std::move(message));
}

void
HandleSnapshotPiece(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  const lw::consensus::SnapshotPiece& piece = aMessage.snapshot_piece();
  aNode.mLeaderRound = std::max(aNode.mLeaderRound, piece.round());
  if (piece.header().index() <= aNode.mCommit) {
    aNode.mVerified = std::max(aNode.mVerified, aNode.mCommit);
    SendAppendReply(aNode, aContext, aOutput);
    return;
  }
  if (piece.total() > kMaxStateBytes) {
    return;
  }
  if (!IsSameSnapshot(aNode.mIncoming, piece.header())) {
    aNode.mIncoming = piece.header();
    aNode.mIncoming.clear_state();
  }
  if (piece.offset() == aNode.mIncoming.state().size()) {
    aNode.mIncoming.mutable_state()->append(piece.data());
  }
  if (aNode.mIncoming.state().size() >= piece.total()) {
    aOutput.mInstall = aNode.mIncoming;
    aOutput.mInstallKeepsLog =
      TermAt(aNode.mLog, aNode.mIncoming.index()) == aNode.mIncoming.term();
    aNode.mIncoming.Clear();
    return;
  }
  SendReply(aNode, aContext, aMessage, aOutput);
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
  progress.mRound = std::max(progress.mRound, reply.round());
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
