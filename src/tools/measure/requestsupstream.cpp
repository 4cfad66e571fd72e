#include "measure/requestsparties.h"

#include "upstream.pb.h"

#include "absl/strings/numbers.h"

namespace RequestFakes {

namespace {

using std::chrono::milliseconds;
using Id = std::pair<uint64_t, uint64_t>;

constexpr size_t kMaxPieces = 4;

void
SendToInstance(Simulation& aSimulation,
               size_t aUpstream,
               Base::InstanceId aTarget,
               const lw::upstream::FromUpstream& aPacket)
{
  Instance& target = *aSimulation.mInstances.at(aTarget.mValue - 1);
  const Base::Endpoint sender = aSimulation.mUpstreams[aUpstream].mEndpoint;
  Transmit(aSimulation.mNetwork,
           UpstreamLink(aSimulation.mOptions),
           [&aSimulation, &target, sender, aPacket]() {
             if (target.mState.has_value()) {
               ExecuteEffects(aSimulation,
                              target,
                              Requests::HandleUpstreamPacket(
                                *target.mState, ContextOf(aSimulation, target), sender, aPacket));
             }
           });
}

void
Shed(Simulation& aSimulation,
     size_t aUpstream,
     Base::InstanceId aTarget,
     uint64_t aUid,
     const lw::upstream::WorkId& aId)
{
  RecordShed(aSimulation.mChecker, aUid);
  lw::upstream::FromUpstream packet;
  *packet.mutable_shed()->mutable_id() = aId;
  SendToInstance(aSimulation, aUpstream, aTarget, packet);
}

void
Answer(Simulation& aSimulation,
       size_t aUpstream,
       Base::InstanceId aTarget,
       uint64_t aUid,
       const lw::upstream::WorkId& aId)
{
  const uint64_t run = aSimulation.mUpstreams[aUpstream].mNextRun++;
  const size_t total = 1 + Base::NextBelow(aSimulation.mNetwork.mRandom, kMaxPieces);
  for (size_t i = 0; i < total; ++i) {
    lw::upstream::FromUpstream packet;
    lw::upstream::WorkPiece& piece = *packet.mutable_piece();
    *piece.mutable_id() = aId;
    piece.set_index(static_cast<uint32_t>(i));
    piece.set_total(static_cast<uint32_t>(total));
    piece.set_body(AnswerBody(aUid, run, i, total));
    SendToInstance(aSimulation, aUpstream, aTarget, packet);
  }
}

} // namespace

void
DeliverToUpstream(Simulation& aSimulation,
                  size_t aUpstream,
                  Base::InstanceId aSender,
                  const std::string& aPayload)
{
  Upstream& upstream = aSimulation.mUpstreams[aUpstream];
  lw::upstream::ToUpstream packet;
  packet.ParseFromString(aPayload);
  if (packet.has_cancel()) {
    const lw::upstream::WorkId& id = packet.cancel().id();
    // Pending work is refused when it is due to start. Work that has started is completed.
    upstream.mPending.erase({ id.incarnation(), id.number() });
    return;
  }
  const lw::upstream::WorkId id = packet.work().id();
  const Id key(id.incarnation(), id.number());
  uint64_t uid = 0;
  if (!absl::SimpleAtoi(packet.work().body(), &uid) || !upstream.mSeen.insert(key).second) {
    return;
  }
  if (DrawChance(aSimulation.mNetwork, aSimulation.mOptions.mShedPermille)) {
    Shed(aSimulation, aUpstream, aSender, uid, id);
    return;
  }
  upstream.mPending.insert(key);
  const Base::Duration wait = DrawDuration(aSimulation.mNetwork, milliseconds(0), milliseconds(20));
  ScheduleAfter(aSimulation.mNetwork, wait, [&aSimulation, aUpstream, aSender, uid, id, key]() {
    if (aSimulation.mUpstreams[aUpstream].mPending.erase(key) == 0) {
      Shed(aSimulation, aUpstream, aSender, uid, id);
      return;
    }
    RecordRun(aSimulation.mChecker, uid);
    const Base::Duration work =
      DrawDuration(aSimulation.mNetwork, milliseconds(1), milliseconds(60));
    ScheduleAfter(aSimulation.mNetwork, work, [&aSimulation, aUpstream, aSender, uid, id]() {
      Answer(aSimulation, aUpstream, aSender, uid, id);
    });
  });
}

} // namespace RequestFakes
