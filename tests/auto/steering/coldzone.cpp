#include "coldzone.h"

#include <algorithm>
#include <chrono>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Base::InstanceId kControl{ 1 };
constexpr milliseconds kStep{ 10 };
constexpr milliseconds kTickInterval{ 100 };
constexpr milliseconds kPollInterval{ 500 };
/// A control instance lists an entry instance for this long after its last poll.
constexpr seconds kListedFor{ 3 };
/// More than an instance may send to the cold upstreams that it holds.
constexpr milliseconds kOpeningInterval{ 40 };
constexpr milliseconds kCopyDelay{ 50 };
constexpr seconds kWindow{ 1 };
constexpr double kReportLoss = 0.3;
constexpr double kCopied = 0.1;
constexpr uint32_t kSlots = 200;
constexpr uint32_t kColdMs = 120000;
constexpr uint64_t kFirstWarm = 1000;
constexpr uint32_t kServiceAddress = 0x0a000001;

void
AddUpstreams(lw::fleet::PollReply& aReply,
             const std::string& aZone,
             uint64_t aFirst,
             uint32_t aColdMs)
{
  for (int i = 0; i < ColdZone::kUpstreamsPerZone; ++i) {
    lw::fleet::Upstream* upstream = aReply.add_upstreams();
    upstream->set_id(aFirst + i);
    upstream->set_started_at_ms(1);
    upstream->set_address(static_cast<uint32_t>(aFirst + i));
    upstream->set_port(8080);
    upstream->set_service("desk");
    upstream->set_availability_zone(aZone);
    upstream->set_slots(kSlots);
    upstream->set_state(lw::fleet::READY);
    upstream->set_cold_remaining_ms(aColdMs);
  }
}

} // namespace

ColdZone::ColdZone(uint64_t aSeed)
  : mRandom{ aSeed }
{
  AddUpstreams(mDirectory, "a", 1, kColdMs);
  AddUpstreams(mDirectory, "b", kFirstWarm, 0);
  AddUpstreams(mDirectory, "c", 2 * kFirstWarm, 0);
  mDirectory.set_connected(true);
  lw::fleet::RouteUpdate* update = mDirectory.mutable_routes();
  update->set_version(1);
  lw::config::Route* route = update->add_routes();
  route->set_address(kServiceAddress);
  route->set_port(80);
  lw::config::WeightedService* target = route->add_services();
  target->set_service("desk");
  target->set_weight(1);
  lw::config::ColdStart* coldStart = update->add_cold_starts();
  coldStart->set_service("desk");
  coldStart->set_requests_per_second(kRatePerSecond);
  for (const char* zone : { "a", "b", "c" }) {
    for (int i = 0; i < kInstancesPerZone; ++i) {
      AddInstance(zone);
    }
  }
}

void
ColdZone::AddInstance(const std::string& aZone)
{
  Instance instance;
  instance.mSettings.mAvailabilityZone = aZone;
  instance.mSettings.mLease = std::chrono::hours(1);
  instance.mSettings.mOpeningLifetime = milliseconds(1400);
  instance.mState.mPins.mSelf = static_cast<uint32_t>(mInstances.size()) + 1;
  instance.mState.mRandom.mState = Base::NextRandom(mRandom);
  instance.mNextReportAt = mNow + kStep * Base::NextBelow(mRandom, 12);
  lw::fleet::PollReply reply = mDirectory;
  // An instance that starts later is told the remaining time.
  const auto elapsed = std::chrono::duration_cast<milliseconds>(mNow - mStart).count();
  for (lw::fleet::Upstream& upstream : *reply.mutable_upstreams()) {
    if (upstream.cold_remaining_ms() > 0) {
      upstream.set_cold_remaining_ms(kColdMs - static_cast<uint32_t>(elapsed));
    }
  }
  Steering::ApplyPollReply(instance.mState, kControl, reply, mNow);
  mInstances.push_back(std::move(instance));
}

void
ColdZone::Join()
{
  AddInstance("a");
}

void
ColdZone::Kill(size_t aInstance)
{
  mInstances[aInstance].mAlive = false;
  mInstances[aInstance].mListedUntil = mNow + kListedFor;
}

void
ColdZone::CutOff(size_t aInstance)
{
  mInstances[aInstance].mCutOff = true;
  mInstances[aInstance].mListedUntil = mNow + kListedFor;
}

void
ColdZone::Heal(size_t aInstance)
{
  mInstances[aInstance].mCutOff = false;
  mInstances[aInstance].mListedUntil = Base::TimePoint::max();
}

void
ColdZone::BlockReports(size_t aSender, size_t aReceiver)
{
  mBlocked.emplace(aSender, aReceiver);
}

void
ColdZone::UnblockReports()
{
  mBlocked.clear();
}

void
ColdZone::RunFor(Base::Duration aDuration)
{
  const Base::TimePoint end = mNow + aDuration;
  while (mNow < end) {
    Step();
    mNow += kStep;
  }
}

void
ColdZone::Step()
{
  const Base::Duration elapsed = mNow - mStart;
  for (size_t i = 0; i < mInstances.size(); ++i) {
    Instance& instance = mInstances[i];
    if (!instance.mAlive) {
      continue;
    }
    const Base::Duration phase = elapsed + kStep * i;
    if (phase % kPollInterval == Base::Duration::zero() && !instance.mCutOff) {
      Poll(instance);
    }
    if (mNow >= instance.mNextReportAt) {
      SendReport(i);
    }
    if (phase % kTickInterval == Base::Duration::zero()) {
      Steering::Expire(instance.mState, mNow);
      Steering::UpdateColdStarts(instance.mState, instance.mSettings, mNow);
    }
    for (const Steering::ReleasedPacket& released :
         Steering::ReleaseOpenings(instance.mState, instance.mSettings, mNow)) {
      RecordForwarded(released.mDecision);
    }
    if (phase % kOpeningInterval == Base::Duration::zero()) {
      OpenFlows(i);
    }
  }
  std::vector<Copy> due;
  const auto isDue = [this](const Copy& aCopy) { return aCopy.mAt <= mNow; };
  std::copy_if(mCopies.begin(), mCopies.end(), std::back_inserter(due), isDue);
  mCopies.erase(std::remove_if(mCopies.begin(), mCopies.end(), isDue), mCopies.end());
  for (const Copy& copy : due) {
    SendOpening(copy.mInstance, copy.mPacket, true);
  }
}

void
ColdZone::Poll(Instance& aInstance)
{
  std::vector<uint32_t> listed;
  for (const Instance& other : mInstances) {
    if (other.mSettings.mAvailabilityZone == aInstance.mSettings.mAvailabilityZone &&
        mNow < other.mListedUntil) {
      listed.push_back(other.mState.mPins.mSelf);
    }
  }
  aInstance.mState.mInstances = listed.size();
  aInstance.mState.mColdStarts.mListed = listed;
}

void
ColdZone::SendReport(size_t aSender)
{
  Instance& sender = mInstances[aSender];
  const Base::Duration interval = Steering::ReportInterval(sender.mState.mInstances);
  sender.mNextReportAt = mNow + interval;
  lw::fleet::LoadReport report = Steering::MakePeerReport(sender.mState, mNow);
  report.set_instance(sender.mState.mPins.mSelf);
  report.set_incarnation(1);
  report.set_sequence(++sender.mReportSequence);
  report.set_interval_ms(
    static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(interval).count()));
  for (size_t i = 0; i < mInstances.size(); ++i) {
    Instance& peer = mInstances[i];
    const bool reachable = i != aSender && peer.mAlive && !peer.mCutOff && !sender.mCutOff &&
                           mBlocked.count({ aSender, i }) == 0;
    if (reachable && peer.mSettings.mAvailabilityZone == sender.mSettings.mAvailabilityZone &&
        Base::NextUnit(mRandom) >= kReportLoss) {
      Steering::ApplyPeerReport(peer.mState, report, mNow);
    }
  }
}

void
ColdZone::OpenFlows(size_t aInstance)
{
  ++mNextFlow;
  Steering::Packet packet;
  packet.mFlow = { { 0x64400001 + mNextFlow, 1000 }, { kServiceAddress, 80 } };
  packet.mKind = Steering::PacketKind::Opening;
  packet.mDatagram = "opening";
  const bool isCopied = Base::NextUnit(mRandom) < kCopied;
  SendOpening(aInstance, packet, !isCopied);
  if (isCopied) {
    mCopies.push_back({ mNow + kCopyDelay, aInstance, packet });
  }
}

void
ColdZone::SendOpening(size_t aInstance, const Steering::Packet& aPacket, bool aAnswered)
{
  Instance& instance = mInstances[aInstance];
  if (!instance.mAlive) {
    return;
  }
  const Steering::Decision decision =
    Steering::Steer(instance.mState, instance.mSettings, aPacket, mNow);
  RecordForwarded(decision);
  if (decision.mAction == Steering::Action::Forward && aAnswered) {
    Steering::Packet next = aPacket;
    next.mTag = decision.mTag;
    next.mKind = Steering::PacketKind::MidFlow;
    Steering::Steer(instance.mState, instance.mSettings, next, mNow);
    next.mKind = Steering::PacketKind::Closing;
    Steering::Steer(instance.mState, instance.mSettings, next, mNow);
  }
}

void
ColdZone::RecordForwarded(const Steering::Decision& aDecision)
{
  if (aDecision.mAction == Steering::Action::Forward && aDecision.mUpstream.mValue < kFirstWarm) {
    mSentByUpstream[aDecision.mUpstream.mValue].push_back(mNow);
  }
}

size_t
ColdZone::MostInAnyWindow() const
{
  size_t most = 0;
  for (const auto& [upstream, sent] : mSentByUpstream) {
    size_t first = 0;
    for (size_t last = 0; last < sent.size(); ++last) {
      while (sent[last] - sent[first] > kWindow) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
  }
  return most;
}

double
ColdZone::UsedFraction(Base::Duration aFrom) const
{
  size_t count = 0;
  for (const auto& [upstream, sent] : mSentByUpstream) {
    count += std::count_if(sent.begin(), sent.end(), [this, aFrom](Base::TimePoint aSentAt) {
      return aSentAt >= mStart + aFrom;
    });
  }
  const double duration = std::chrono::duration<double>(mNow - mStart - aFrom).count();
  return static_cast<double>(count) / (duration * kRatePerSecond * kUpstreamsPerZone);
}
