#pragma once

#include <cstdint>

namespace Requests {

/// Events counted in metrics. The values also serve as the reasons of refusals and unknown outcomes
/// and are transmitted in flow transfers, so their order must not change between versions.
enum class Event : uint8_t
{
  None,
  // Packets dropped without a reply.
  DropMalformed,
  DropForgedTicket,
  DropUnknownService,
  DropGenerationDiffers,
  DropInProgress,
  DropHandoverPending,
  DropTooManyHops,
  DropViewNotSettled,
  DropLateAnswer,
  DropForeignWork,
  DropWrongUpstream,
  DropBadPiece,
  DropDuplicatePiece,
  DropAnswerTooLarge,
  DropTransferNotForUs,
  DropTransferTableFull,
  // Requests that did not run and never will.
  RefuseQueueFull,
  RefuseDeadlineTooShort,
  RefuseDeadlinePassed,
  RefuseUpstreamHung,
  RefuseUnknownKind,
  RefuseUpstreamGone,
  RefuseShed,
  RefuseCanceled,
  RefuseShutdown,
  // Refused OpenFlow messages.
  OpenFlowTableFull,
  OpenNoUpstream,
  OpenShutdown,
  // Requests that may have run.
  UnknownBelowWindow,
  UnknownNumberReused,
  UnknownAnswerNotStored,
  UnknownDeadlinePassed,
  UnknownCanceled,
  UnknownOwnerGone,
  // Repeatable requests whose flow or upstream is gone.
  FlowGone,
  Opened,
  OpenedAgain,
  Forwarded,
  Dispatched,
  Retried,
  RetryBudgetSpent,
  Answered,
  AnswerResent,
  TransferSent,
  TransferAccepted,
  TransferConfirmed,
  Count
};

/// \return the name and labels of the counter in Prometheus format.
const char*
CounterName(Event aEvent);

/// \return a readable reason for the refusal message to the caller.
const char*
ReasonText(Event aEvent);

} // namespace Requests
