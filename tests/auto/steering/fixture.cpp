#include "fixture.h"

namespace {

constexpr Base::InstanceId kControl{ 1 };
constexpr uint32_t kUrgentPriority = 1;
constexpr uint32_t kNormalPriority = 2;
constexpr uint32_t kLatencyObjectiveMs = 200;

void
AddRoute(lw::fleet::RouteUpdate& aUpdate, uint16_t aPort, uint32_t aPriority)
{
  lw::config::Route* route = aUpdate.add_routes();
  route->set_address(SteeringFixture::kServiceAddress);
  route->set_port(aPort);
  route->set_priority(aPriority);
  route->set_latency_objective_ms(kLatencyObjectiveMs);
  lw::config::WeightedService* service = route->add_services();
  service->set_service("desk");
  service->set_weight(1);
}

} // namespace

SteeringFixture::SteeringFixture()
{
  mState.mRandom.mState = 1;
  mSettings.mAvailabilityZone = "a";
  mSettings.mLease = std::chrono::seconds(5);
  mSettings.mMaxConfigAge = std::chrono::seconds(1);
  mSettings.mOpeningLifetime = std::chrono::milliseconds(1400);
}

void
SteeringFixture::AddUpstream(uint64_t aId,
                             const std::string& aZone,
                             lw::fleet::UpstreamState aState,
                             uint64_t aStart)
{
  lw::fleet::PollReply reply;
  lw::fleet::Upstream* upstream = reply.add_upstreams();
  upstream->set_id(aId);
  upstream->set_started_at_ms(aStart);
  upstream->set_address(static_cast<uint32_t>(aId));
  upstream->set_port(8080);
  upstream->set_service("desk");
  upstream->set_availability_zone(aZone);
  upstream->set_slots(mSlots);
  upstream->set_state(aState);
  Steering::ApplyPollReply(mState, kControl, reply, mNow);
}

bool
SteeringFixture::Declare(uint64_t aVersion, bool aWithRoute)
{
  lw::fleet::PollReply reply;
  reply.set_connected(true);
  lw::fleet::RouteUpdate* update = reply.mutable_routes();
  update->set_version(aVersion);
  if (aWithRoute) {
    AddRoute(*update, kServicePort, kNormalPriority);
    AddRoute(*update, kUrgentPort, kUrgentPriority);
  }
  return Steering::ApplyPollReply(mState, kControl, reply, mNow);
}

Steering::Decision
SteeringFixture::Send(uint16_t aCallerPort,
                      Steering::PacketKind aKind,
                      Directory::RouteTag aTag,
                      bool aCarriesData)
{
  Steering::Packet packet;
  packet.mFlow = { { 0x64400001, aCallerPort }, { kServiceAddress, kServicePort } };
  packet.mKind = aKind;
  packet.mTag = aTag;
  packet.mCarriesData = aCarriesData;
  return Steering::Steer(mState, mSettings, packet, mNow);
}

Steering::Decision
SteeringFixture::SendOpening(uint16_t aCallerPort, Base::Duration aAge, uint16_t aServicePort)
{
  Steering::Packet packet;
  packet.mFlow = { { 0x64400001, aCallerPort }, { kServiceAddress, aServicePort } };
  packet.mKind = Steering::PacketKind::Opening;
  packet.mAge = aAge;
  packet.mDatagram = "opening";
  return Steering::Steer(mState, mSettings, packet, mNow);
}

Directory::RouteTag
SteeringFixture::OpenFlow(uint16_t aCallerPort)
{
  const Directory::RouteTag tag = Send(aCallerPort, Steering::PacketKind::Opening).mTag;
  Send(aCallerPort, Steering::PacketKind::MidFlow, tag, true);
  return tag;
}

Directory::RouteTag
SteeringFixture::Tag(uint64_t aId)
{
  return Directory::TagOf(Directory::UpstreamId(aId), kFirstStart);
}
