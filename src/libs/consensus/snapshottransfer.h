#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

/// Sends the next piece of the latest snapshot to a replica that needs compacted entries.
void
SendSnapshotPiece(Node& aNode,
                  const Context& aContext,
                  StorageId aStorage,
                  Progress& aProgress,
                  Output& aOutput);

void
HandleSnapshotPiece(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

void
HandleSnapshotReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

} // namespace Consensus::Internal
