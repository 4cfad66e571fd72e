#include "measure/membershipmeasure.h"

#include "measure/membershipnetwork.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace Measure {

namespace {

using namespace std::chrono_literals;

/// Target for the control traffic per instance.
constexpr double kMaxTrafficBytesPerSecond = 6000;
constexpr uint32_t kUpstreamsPerMember = 5;
constexpr uint32_t kTargetMembers = 160;
constexpr uint32_t kTargetUpstreams = 940;
constexpr Base::Duration kMeasurementDuration = 20s;
constexpr int kDrainCount = 20;

/// Results for one availability zone. Rates are per instance.
struct Figures
{
  uint32_t mMembers = 0;
  uint32_t mUpstreams = 0;
  double mLoss = 0;
  double mSentBytes = 0;
  double mReceivedBytes = 0;
  double mMessages = 0;
  double mCoreSharePercent = 0;
  double mStateKilobytes = 0;
  std::vector<double> mPropagationMs;
  std::vector<double> mDetectMs;
  /// Number of upstreams that renew their lease but are missing from a view, summed over all views
  /// and samples.
  uint64_t mMissingLeases = 0;
  uint64_t mLeaseSamples = 0;
  uint64_t mFalseDetections = 0;
};

double
ProcessorSeconds()
{
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0 : aValues[aValues.size() / 2];
}

double
Maximum(const std::vector<double>& aValues)
{
  return aValues.empty() ? 0 : *std::max_element(aValues.begin(), aValues.end());
}

Traffic
TotalTraffic(const Network& aNetwork)
{
  Traffic total;
  for (const auto& [id, node] : aNetwork.mNodes) {
    total.mSentBytes += node.mTraffic.mSentBytes;
    total.mSentMessages += node.mTraffic.mSentMessages;
    total.mReceivedBytes += node.mTraffic.mReceivedBytes;
  }
  return total;
}

uint64_t
TotalDeaths(const Network& aNetwork)
{
  uint64_t deaths = 0;
  for (const auto& [id, node] : aNetwork.mNodes) {
    deaths += node.mState.mCounts.mDeaths;
  }
  return deaths;
}

void
SampleLeases(const Network& aNetwork, Figures& aFigures)
{
  for (const auto& [id, node] : aNetwork.mNodes) {
    const Membership::View view = ViewOf(aNetwork, id);
    aFigures.mLeaseSamples += aFigures.mUpstreams;
    aFigures.mMissingLeases += aFigures.mUpstreams - view.mUpstreams.size();
  }
}

void
MeasureSteadyState(Network& aNetwork, Figures& aFigures)
{
  const Traffic before = TotalTraffic(aNetwork);
  double used = 0;
  for (Base::Duration passed = 0s; passed < kMeasurementDuration; passed += 1s) {
    const double start = ProcessorSeconds();
    Run(aNetwork, 1s);
    used += ProcessorSeconds() - start;
    SampleLeases(aNetwork, aFigures);
  }
  const Traffic after = TotalTraffic(aNetwork);
  const double share =
    std::chrono::duration<double>(kMeasurementDuration).count() * aFigures.mMembers;
  aFigures.mSentBytes = static_cast<double>(after.mSentBytes - before.mSentBytes) / share;
  aFigures.mReceivedBytes =
    static_cast<double>(after.mReceivedBytes - before.mReceivedBytes) / share;
  aFigures.mMessages = static_cast<double>(after.mSentMessages - before.mSentMessages) / share;
  aFigures.mCoreSharePercent = 100 * used / share;
  aFigures.mFalseDetections = TotalDeaths(aNetwork);
}

/// Drains upstreams one by one and measures the time until all instances have learned of it.
void
MeasurePropagation(Network& aNetwork, Figures& aFigures)
{
  for (int change = 0; change < kDrainCount; ++change) {
    const size_t chosen = Base::NextBelow(aNetwork.mRandom, aNetwork.mUpstreams.size());
    FakeUpstream& upstream = aNetwork.mUpstreams[chosen];
    Membership::Announcement& announcement = upstream.mAnnouncement;
    if (announcement.mState == Membership::ClaimState::Draining) {
      continue;
    }
    announcement.mState = Membership::ClaimState::Draining;
    ++announcement.mSequence;
    const auto via =
      static_cast<uint32_t>(1 + Base::NextBelow(aNetwork.mRandom, aFigures.mMembers));
    AnnounceTo(aNetwork, via, announcement);
    const auto known = [&announcement](const Membership::View& aView) {
      const Membership::Upstream* found =
        Membership::FindUpstream(aView, announcement.mEndpoint, announcement.mGeneration);
      return found != nullptr && found->mState == Membership::UpstreamState::Draining;
    };
    const auto passed =
      RunUntil(aNetwork, 30s, [&aNetwork, &known] { return AllViews(aNetwork, known); });
    aFigures.mPropagationMs.push_back(
      std::chrono::duration<double, std::milli>(passed.value_or(30s)).count());
    Run(aNetwork, 300ms);
  }
}

/// Crashes instances one by one and measures the time until no view contains them.
void
MeasureDetection(Network& aNetwork, Figures& aFigures)
{
  const uint32_t crashes = aFigures.mMembers < 10 ? 1 : 3;
  for (uint32_t crash = 0; crash < crashes; ++crash) {
    const uint32_t victim = aFigures.mMembers - crash;
    StopNode(aNetwork, victim);
    const auto gone = [victim](const Membership::View& aView) {
      return Membership::FindMember(aView, Base::InstanceId(victim)) == nullptr;
    };
    const auto passed =
      RunUntil(aNetwork, 30s, [&aNetwork, &gone] { return AllViews(aNetwork, gone); });
    aFigures.mDetectMs.push_back(
      std::chrono::duration<double, std::milli>(passed.value_or(30s)).count());
    Run(aNetwork, 2s);
  }
}

Figures
MeasureZone(uint64_t aSeed, uint32_t aMembers, uint32_t aUpstreams, double aLoss)
{
  Figures figures;
  figures.mMembers = aMembers;
  figures.mUpstreams = aUpstreams;
  figures.mLoss = aLoss;
  const double heap = HeapBytes();
  Network network(aSeed);
  StartCluster(network, aMembers);
  for (uint32_t number = 1; number <= aUpstreams; ++number) {
    AddUpstream(network, number, 1 + number % aMembers);
  }
  Run(network, 8s);
  figures.mStateKilobytes = (HeapBytes() - heap) / aMembers / 1024;
  network.mLoss = aLoss;
  Run(network, 2s);
  MeasureSteadyState(network, figures);
  MeasurePropagation(network, figures);
  MeasureDetection(network, figures);
  return figures;
}

void
Print(const Figures& aFigures, bool aJson)
{
  if (aJson) {
    const nlohmann::json line = { { "members", aFigures.mMembers },
                                  { "upstreams", aFigures.mUpstreams },
                                  { "loss", aFigures.mLoss },
                                  { "sent_bytes_per_s", aFigures.mSentBytes },
                                  { "received_bytes_per_s", aFigures.mReceivedBytes },
                                  { "messages_per_s", aFigures.mMessages },
                                  { "core_percent", aFigures.mCoreSharePercent },
                                  { "state_kb", aFigures.mStateKilobytes },
                                  { "spread_median_ms", Median(aFigures.mPropagationMs) },
                                  { "spread_max_ms", Maximum(aFigures.mPropagationMs) },
                                  { "detect_max_ms", Maximum(aFigures.mDetectMs) },
                                  { "missing_leases", aFigures.mMissingLeases },
                                  { "lease_samples", aFigures.mLeaseSamples },
                                  { "wrong_deaths", aFigures.mFalseDetections } };
    std::printf("%s\n", line.dump().c_str());
    return;
  }
  std::printf(
    "%7u %9u %4.0f%% %8.0f %8.0f %7.1f %6.3f%% %8.1f %7.0f %7.0f %7.0f %5llu/%llu %6llu\n",
    aFigures.mMembers,
    aFigures.mUpstreams,
    100 * aFigures.mLoss,
    aFigures.mSentBytes,
    aFigures.mReceivedBytes,
    aFigures.mMessages,
    aFigures.mCoreSharePercent,
    aFigures.mStateKilobytes,
    Median(aFigures.mPropagationMs),
    Maximum(aFigures.mPropagationMs),
    Maximum(aFigures.mDetectMs),
    static_cast<unsigned long long>(aFigures.mMissingLeases),
    static_cast<unsigned long long>(aFigures.mLeaseSamples),
    static_cast<unsigned long long>(aFigures.mFalseDetections));
}

/// Fits sent plus received bytes per second against the number of members by linear least squares.
/// \return bytes per second extrapolated to kTargetMembers.
double
ExtrapolateToTarget(const std::vector<Figures>& aFigures)
{
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
  for (const Figures& figures : aFigures) {
    const double x = figures.mMembers;
    const double y = figures.mSentBytes + figures.mReceivedBytes;
    sumX += x;
    sumY += y;
    sumXx += x * x;
    sumXy += x * y;
  }
  const auto count = static_cast<double>(aFigures.size());
  const double slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
  return (sumY - slope * sumX) / count + slope * kTargetMembers;
}

} // namespace

int
RunMembershipMeasure(uint64_t aSeed, bool aJson)
{
  if (!aJson) {
    std::printf("members upstreams loss  sentB/s  recvB/s  msg/s    core  stateKB  spread "
                "median/max ms detect ms missing leases wrong deaths\n");
  }
  double highest = 0;
  std::vector<Figures> smaller;
  for (double loss : { 0.0, 0.1 }) {
    for (uint32_t members : { 5U, 10U, 20U, 40U, 80U, 160U }) {
      const uint32_t upstreams =
        members == kTargetMembers ? kTargetUpstreams : members * kUpstreamsPerMember;
      const Figures figures = MeasureZone(aSeed, members, upstreams, loss);
      Print(figures, aJson);
      std::fflush(stdout);
      highest = std::max(highest, figures.mSentBytes + figures.mReceivedBytes);
      if (loss == 0 && members < kTargetMembers) {
        smaller.push_back(figures);
      }
    }
  }
  const double extrapolated = ExtrapolateToTarget(smaller);
  if (aJson) {
    const nlohmann::json line = { { "extrapolated_bytes_per_s", extrapolated },
                                  { "highest_bytes_per_s", highest },
                                  { "limit", kMaxTrafficBytesPerSecond } };
    std::printf("%s\n", line.dump().c_str());
  } else {
    std::printf("sent plus received at %u members: %.0f B/s by the slope of the smaller sizes, "
                "%.0f B/s highest measured, limit %.0f B/s\n",
                kTargetMembers,
                extrapolated,
                highest,
                kMaxTrafficBytesPerSecond);
  }
  return highest <= kMaxTrafficBytesPerSecond ? 0 : 1;
}

} // namespace Measure
