#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

/// Sends a Hello to the other instances as long as this replica is not part of a membership, or
/// while it waits for its removal.
void
SendDueHello(Node& aNode, const Context& aContext, Output& aOutput);

void
HandleHello(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

/// Records which instances know of no membership, and creates the first membership once all
/// instances have reported that.
void
HandleHelloReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

/// Notifies a removed replica that sent a message, so that it joins again with a new storage id.
void
SendRetiredNotice(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

} // namespace Consensus::Internal
