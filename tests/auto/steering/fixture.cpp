#include "fixture.h"

namespace {

constexpr Base::InstanceId kControl{ 1 };

} // namespace

SteeringFixture::SteeringFixture()
{
  mState.mRandom.mState = 1;
  mSettings.mAvailabilityZone = "a";
  mSettings.mLease = std::chrono::seconds(5);
  mSettings.mMaxConfigAge = std::chrono::seconds(1);
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
  upstream->set_slots(2);
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
    lw::config::Route* route = update->add_routes();
    route->set_address(0x0a000001);
    route->set_port(80);
    route->add_services()->set_service("desk");
    route->mutable_services(0)->set_weight(1);
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
  packet.mFlow = { { 0x64400001, aCallerPort }, { 0x0a000001, 80 } };
  packet.mKind = aKind;
  packet.mTag = aTag;
  packet.mCarriesData = aCarriesData;
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
