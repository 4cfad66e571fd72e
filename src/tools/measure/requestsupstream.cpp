#include "measure/requestsparties.h"

#include "upstream.pb.h"

#include "absl/strings/numbers.h"

namespace RequestFakes {

namespace {

using std::chrono::milliseconds;
using Id = std::pair<uint64_t, uint64_t>;

constexpr size_t kMaxPieces = 4;

void
SendToInstance(World& aWorld,
               size_t aUpstream,
               Base::InstanceId aTarget,
               const lw::upstream::FromUpstream& aPacket)
{
  Instance& target = *aWorld.mInstances.at(aTarget.mValue - 1);
  const Base::Endpoint sender = aWorld.mUpstreams[aUpstream].mEndpoint;
  Carry(aWorld.mNetwork, UpstreamLink(aWorld.mOptions), [&aWorld, &target, sender, aPacket]() {
    if (target.mState.has_value()) {
      CarryOut(
        aWorld,
        target,
        Requests::HandleUpstreamPacket(*target.mState, ContextOf(aWorld, target), sender, aPacket));
    }
  });
}

void
Shed(World& aWorld,
     size_t aUpstream,
     Base::InstanceId aTarget,
     uint64_t aUid,
     const lw::upstream::WorkId& aId)
{
  NoteShed(aWorld.mChecker, aUid);
  lw::upstream::FromUpstream packet;
  *packet.mutable_shed()->mutable_id() = aId;
  SendToInstance(aWorld, aUpstream, aTarget, packet);
}

void
Answer(World& aWorld,
       size_t aUpstream,
       Base::InstanceId aTarget,
       uint64_t aUid,
       const lw::upstream::WorkId& aId)
{
  const uint64_t run = aWorld.mUpstreams[aUpstream].mNextRun++;
  const size_t total = 1 + Base::NextBelow(aWorld.mNetwork.mRandom, kMaxPieces);
  for (size_t i = 0; i < total; ++i) {
    lw::upstream::FromUpstream packet;
    lw::upstream::WorkPiece& piece = *packet.mutable_piece();
    *piece.mutable_id() = aId;
    piece.set_index(static_cast<uint32_t>(i));
    piece.set_total(static_cast<uint32_t>(total));
    piece.set_body(AnswerBody(aUid, run, i, total));
    SendToInstance(aWorld, aUpstream, aTarget, packet);
  }
}

} // namespace

void
DeliverToUpstream(World& aWorld,
                  size_t aUpstream,
                  Base::InstanceId aSender,
                  const std::string& aPayload)
{
  Upstream& upstream = aWorld.mUpstreams[aUpstream];
  lw::upstream::ToUpstream packet;
  packet.ParseFromString(aPayload);
  if (packet.has_cancel()) {
    const lw::upstream::WorkId& id = packet.cancel().id();
    // Work that has not begun is refused when its time comes; work that has begun is finished.
    upstream.mPending.erase({ id.incarnation(), id.number() });
    return;
  }
  const lw::upstream::WorkId id = packet.work().id();
  const Id key(id.incarnation(), id.number());
  uint64_t uid = 0;
  if (!absl::SimpleAtoi(packet.work().body(), &uid) || !upstream.mSeen.insert(key).second) {
    return;
  }
  if (Chance(aWorld.mNetwork, aWorld.mOptions.mShedPermille)) {
    Shed(aWorld, aUpstream, aSender, uid, id);
    return;
  }
  upstream.mPending.insert(key);
  const Base::Duration wait = Between(aWorld.mNetwork, milliseconds(0), milliseconds(20));
  After(aWorld.mNetwork, wait, [&aWorld, aUpstream, aSender, uid, id, key]() {
    if (aWorld.mUpstreams[aUpstream].mPending.erase(key) == 0) {
      Shed(aWorld, aUpstream, aSender, uid, id);
      return;
    }
    NoteRun(aWorld.mChecker, uid);
    const Base::Duration work = Between(aWorld.mNetwork, milliseconds(1), milliseconds(60));
    After(aWorld.mNetwork, work, [&aWorld, aUpstream, aSender, uid, id]() {
      Answer(aWorld, aUpstream, aSender, uid, id);
    });
  });
}

} // namespace RequestFakes
