#pragma once

#include <cstdint>

namespace Requests {

/// What the request code counts. Refusals and unknown outcomes use the same values as their reason,
/// and handed over windows carry them, so the order must not change between versions.
enum class Event : uint8_t
{
  None,
  // Packets that are dropped without an answer.
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
  // Requests that have not run and will not run.
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

/// \return the name of the counter in Prometheus form.
const char*
CounterName(Event aEvent);

/// \return the reason in words, for the caller.
const char*
ReasonText(Event aEvent);

} // namespace Requests
