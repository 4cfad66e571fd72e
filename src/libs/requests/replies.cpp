#include "requests/replies.h"

namespace Requests::Internal {

namespace {

void
AppendToCaller(Effects& aEffects,
               const FlowAddresses& aAddresses,
               const lw::caller::EntryPacket& aPacket,
               ReplyKind aKind = ReplyKind::Other)
{
  aEffects.mToCallers.push_back({ aAddresses, aPacket.SerializeAsString(), aKind });
}

} // namespace

void
Refuse(Effects& aEffects,
       const FlowAddresses& aAddresses,
       Base::FlowNumber aFlow,
       Base::RequestNumber aNumber,
       lw::caller::Outcome aOutcome,
       Event aReason)
{
  lw::caller::EntryPacket packet;
  lw::caller::Refusal& refusal = *packet.mutable_refusal();
  refusal.set_flow(aFlow.mValue);
  refusal.set_number(aNumber.mValue);
  refusal.set_outcome(aOutcome);
  refusal.set_reason(ReasonText(aReason));
  const bool hasNotRun = aOutcome == lw::caller::NOT_RUN;
  AppendToCaller(aEffects, aAddresses, packet, hasNotRun ? ReplyKind::NotRun : ReplyKind::Lost);
  CountEvent(aEffects, aReason);
}

void
RefuseOpen(Effects& aEffects, const FlowAddresses& aAddresses, uint64_t aOpenId, Event aReason)
{
  lw::caller::EntryPacket packet;
  lw::caller::Refusal& refusal = *packet.mutable_refusal();
  refusal.set_open_id(aOpenId);
  // NOT_RUN would be wrong: a copy of the OpenFlow may succeed on another instance.
  refusal.set_outcome(lw::caller::FLOW_GONE);
  refusal.set_reason(ReasonText(aReason));
  AppendToCaller(aEffects, aAddresses, packet);
  CountEvent(aEffects, aReason);
}

void
SendAnswer(Effects& aEffects,
           const FlowAddresses& aAddresses,
           Base::FlowNumber aFlow,
           Base::RequestNumber aNumber,
           const std::vector<std::string>& aPieces)
{
  for (size_t i = 0; i < aPieces.size(); ++i) {
    lw::caller::EntryPacket packet;
    lw::caller::AnswerPiece& piece = *packet.mutable_piece();
    piece.set_flow(aFlow.mValue);
    piece.set_number(aNumber.mValue);
    piece.set_index(static_cast<uint32_t>(i));
    piece.set_total(static_cast<uint32_t>(aPieces.size()));
    piece.set_body(aPieces[i]);
    const bool isLast = i + 1 == aPieces.size();
    AppendToCaller(aEffects, aAddresses, packet, isLast ? ReplyKind::Answered : ReplyKind::Other);
  }
}

} // namespace Requests::Internal
