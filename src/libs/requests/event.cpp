#include "requests/event.h"

#include <array>
#include <cstddef>

namespace Requests {

namespace {

struct Row
{
  const char* mCounter;
  const char* mReason;
};

/// Indexed by Event.
constexpr std::array<Row, static_cast<size_t>(Event::Count)> kRows = { {
  { "lw_request_none", "" },
  { "lw_request_drops_total{reason=\"malformed\"}", "" },
  { "lw_request_drops_total{reason=\"forged_ticket\"}", "" },
  { "lw_request_drops_total{reason=\"unknown_service\"}", "" },
  { "lw_request_drops_total{reason=\"generation_differs\"}", "" },
  { "lw_request_drops_total{reason=\"in_progress\"}", "" },
  { "lw_request_drops_total{reason=\"handover_pending\"}", "" },
  { "lw_request_drops_total{reason=\"too_many_hops\"}", "" },
  { "lw_request_drops_total{reason=\"view_not_settled\"}", "" },
  { "lw_request_drops_total{reason=\"late_answer\"}", "" },
  { "lw_request_drops_total{reason=\"foreign_work\"}", "" },
  { "lw_request_drops_total{reason=\"wrong_upstream\"}", "" },
  { "lw_request_drops_total{reason=\"bad_piece\"}", "" },
  { "lw_request_drops_total{reason=\"duplicate_piece\"}", "" },
  { "lw_request_drops_total{reason=\"answer_too_large\"}", "" },
  { "lw_request_drops_total{reason=\"transfer_not_for_us\"}", "" },
  { "lw_request_drops_total{reason=\"transfer_table_full\"}", "" },
  { "lw_request_refusals_total{reason=\"queue_full\"}", "queue is full" },
  { "lw_request_refusals_total{reason=\"deadline_too_short\"}", "deadline is too short" },
  { "lw_request_refusals_total{reason=\"deadline_passed\"}", "deadline passed before dispatch" },
  { "lw_request_refusals_total{reason=\"upstream_hung\"}", "upstream stopped answering" },
  { "lw_request_refusals_total{reason=\"unknown_kind\"}", "service has no such kind of work" },
  { "lw_request_refusals_total{reason=\"upstream_gone\"}", "upstream is gone, open a new flow" },
  { "lw_request_refusals_total{reason=\"shed\"}", "upstream refused the work" },
  { "lw_request_refusals_total{reason=\"canceled\"}", "canceled before it ran" },
  { "lw_request_refusals_total{reason=\"shutdown\"}", "instance is shutting down" },
  { "lw_request_open_refusals_total{reason=\"flow_table_full\"}", "flow table is full" },
  { "lw_request_open_refusals_total{reason=\"no_upstream\"}", "no upstream accepts new work" },
  { "lw_request_open_refusals_total{reason=\"shutdown\"}", "instance is shutting down" },
  { "lw_request_unknown_outcomes_total{reason=\"below_window\"}",
    "request number is below the window" },
  { "lw_request_unknown_outcomes_total{reason=\"number_reused\"}",
    "request number was used for another request" },
  { "lw_request_unknown_outcomes_total{reason=\"answer_not_stored\"}",
    "answer is no longer stored" },
  { "lw_request_unknown_outcomes_total{reason=\"deadline_passed\"}",
    "deadline passed after dispatch" },
  { "lw_request_unknown_outcomes_total{reason=\"canceled\"}", "canceled after dispatch" },
  { "lw_request_unknown_outcomes_total{reason=\"owner_gone\"}", "owner of the flow is gone" },
  { "lw_request_flow_gone_total{reason=\"flow_gone\"}", "flow is gone, open a new one" },
  { "lw_request_flows_opened_total{reason=\"first\"}", "" },
  { "lw_request_flows_opened_total{reason=\"resent\"}", "" },
  { "lw_request_forwarded_total{reason=\"all\"}", "" },
  { "lw_request_dispatched_total{reason=\"all\"}", "" },
  { "lw_request_retries_total{reason=\"sent\"}", "" },
  { "lw_request_retries_total{reason=\"budget_spent\"}", "" },
  { "lw_request_answers_total{reason=\"first\"}", "" },
  { "lw_request_answers_total{reason=\"resent\"}", "" },
  { "lw_request_flow_transfers_total{reason=\"sent\"}", "" },
  { "lw_request_flow_transfers_total{reason=\"accepted\"}", "" },
  { "lw_request_flow_transfers_total{reason=\"confirmed\"}", "" },
} };

const Row&
FindRow(Event aEvent)
{
  const auto index = static_cast<size_t>(aEvent);
  return kRows[index < kRows.size() ? index : 0];
}

} // namespace

const char*
CounterName(Event aEvent)
{
  return FindRow(aEvent).mCounter;
}

const char*
ReasonText(Event aEvent)
{
  return FindRow(aEvent).mReason;
}

} // namespace Requests
