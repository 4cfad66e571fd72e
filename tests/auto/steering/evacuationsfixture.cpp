#include "evacuationsfixture.h"

#include <chrono>

using Steering::Action;
using Steering::PacketKind;

namespace {

constexpr Base::InstanceId kControl{ 7 };

} // namespace

void
EvacuationsFixture::Evacuate(uint64_t aRevision, const std::vector<std::string>& aZones)
{
  lw::fleet::PollReply reply;
  reply.mutable_evacuations()->set_revision(aRevision);
  for (const std::string& zone : aZones) {
    reply.mutable_evacuations()->add_availability_zones(zone);
  }
  Steering::ApplyPollReply(mState, kControl, reply, mNow);
}

void
EvacuationsFixture::PassTime(Base::Duration aDuration)
{
  mNow += aDuration;
  for (const auto& [id, zone] : mAnnounced) {
    AddUpstream(id, zone);
  }
}

void
EvacuationsFixture::AddLiveUpstream(uint64_t aId, const std::string& aZone)
{
  mAnnounced.emplace_back(aId, aZone);
  AddUpstream(aId, aZone);
}

uint32_t
EvacuationsFixture::OpenUntilFull(uint32_t aLimit)
{
  uint32_t opened = 0;
  while (opened < aLimit) {
    const Steering::Decision decision = Send(++mLastPort, PacketKind::Opening);
    if (decision.mAction != Action::Forward) {
      break;
    }
    Send(mLastPort, PacketKind::MidFlow, decision.mTag, true);
    ++opened;
  }
  return opened;
}

double
EvacuationsFixture::ShareOf(uint64_t aUpstream, int aCount)
{
  int chosen = 0;
  for (int i = 0; i < aCount; ++i) {
    chosen += Send(++mLastPort, PacketKind::Opening).mUpstream.mValue == aUpstream ? 1 : 0;
    Send(mLastPort, PacketKind::Abort);
  }
  return static_cast<double>(chosen) / aCount;
}

void
EvacuationsFixture::ReportPeerFlows(uint64_t aUpstream, uint32_t aFlows)
{
  lw::fleet::LoadReport report;
  report.set_instance(2);
  report.set_sequence(1);
  lw::fleet::UpstreamLoad* load = report.add_loads();
  load->set_tag(Tag(aUpstream).mValue);
  load->set_outstanding(aFlows);
  Steering::ApplyLoadReport(mState.mReports, mState.mLoads, report, mNow);
}

void
EvacuationsFixture::Suspend(uint64_t aUpstream)
{
  mState.mLoads.mByTag[Tag(aUpstream)].mSuspendedUntil = mNow + std::chrono::hours(1);
}
