#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

/// Says hello to the other instances while this one is in no membership that it knows.
void
SendDueHello(Node& aNode, const Context& aContext, Output& aOutput);

void
HandleHello(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

/// Counts unformed instances and sets the first membership once all of them have answered.
void
HandleHelloReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

/// Answers a message of a replica that was removed, so that it joins again as a new one.
void
TellRetired(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

/// Proposes the next membership change at the leader, one at a time.
void
RepairMembership(Node& aNode, const Context& aContext, Output& aOutput);

} // namespace Consensus::Internal
