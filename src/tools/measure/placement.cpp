#include "measure/fakecluster.h"
#include "measure/subcommands.h"

#include "base/hash.h"

#include <algorithm>
#include <chrono>

namespace Measure {

namespace {

constexpr uint32_t kUpstreams = 14;
constexpr uint32_t kConnectionsPerUpstream = 4400;
constexpr Base::Duration kScenarioDuration = 15s;

struct Scenario
{
  const char* mName;
  std::function<void(Cluster&)> mEvent;
  Base::Duration mMaxViewDelay = 200ms;
};

Base::Endpoint
UpstreamAt(const Cluster& aCluster, size_t aIndex)
{
  return aCluster.mUpstreams[aIndex].mEndpoint;
}

std::vector<Scenario>
Scenarios()
{
  const Base::InstanceId publisher(1);
  const Base::InstanceId member(8);
  const auto drain = [](Cluster& aCluster) { DrainUpstream(aCluster, UpstreamAt(aCluster, 3)); };
  const auto join = [](Cluster& aCluster) { AddUpstream(aCluster); };
  return {
    { "no change", [](Cluster&) {} },
    { "instance joins", [](Cluster& aCluster) { AddInstance(aCluster, Base::InstanceId(30)); } },
    { "instance leaves", [=](Cluster& aCluster) { LeaveInstance(aCluster, member); } },
    { "instance restarts", [=](Cluster& aCluster) { RestartInstance(aCluster, member); } },
    { "publisher restarts", [=](Cluster& aCluster) { RestartInstance(aCluster, publisher); } },
    { "instance dies", [=](Cluster& aCluster) { KillInstance(aCluster, member); } },
    { "upstream drains", drain },
    { "upstream joins", join },
    { "upstream leaves at once",
      [](Cluster& aCluster) { RemoveUpstream(aCluster, UpstreamAt(aCluster, 3)); } },
    { "upstream doubles its weight",
      [](Cluster& aCluster) { SetWeight(aCluster, UpstreamAt(aCluster, 3), 6); } },
    { "drain and join at once",
      [=](Cluster& aCluster) {
        drain(aCluster);
        join(aCluster);
      } },
    { "drain and instance restart at once",
      [=](Cluster& aCluster) {
        RestartInstance(aCluster, member);
        drain(aCluster);
      } },
    { "drain, owner leaves 3 s later",
      [=](Cluster& aCluster) {
        drain(aCluster);
        RunFor(aCluster, 3s);
        LeaveInstance(aCluster, member);
      } },
    { "drain, owner dies 3 s later",
      [=](Cluster& aCluster) {
        drain(aCluster);
        RunFor(aCluster, 3s);
        KillInstance(aCluster, member);
      } },
    { "drain, publisher dies 0.3 s later",
      [=](Cluster& aCluster) {
        drain(aCluster);
        RunFor(aCluster, 300ms);
        KillInstance(aCluster, publisher);
      } },
    { "drain and join, updates up to 1 s apart",
      [=](Cluster& aCluster) {
        drain(aCluster);
        join(aCluster);
      },
      1s },
    { "drain, updates up to 5 s apart", drain, 5s },
  };
}

Section::Row
RunScenario(const Scenario& aScenario, uint64_t aSeed)
{
  ClusterOptions options;
  options.mSeed = aSeed;
  options.mUpstreams = kUpstreams;
  options.mMaxViewDelay = aScenario.mMaxViewDelay;
  options.mLoss = 0.001;
  Cluster cluster;
  Start(cluster, options);
  OpenFlows(cluster, 200);
  RunFor(cluster, 500ms);
  const ClusterCounts before = cluster.mCounts;
  aScenario.mEvent(cluster);
  for (Base::Duration passed{}; passed < kScenarioDuration; passed += 1s) {
    OpenFlows(cluster, 200);
    RunFor(cluster, 1s);
  }
  const ClusterCounts& counts = cluster.mCounts;
  const auto flows = static_cast<double>(cluster.mFlows.size());
  double most = 0;
  double mean = 0;
  for (const auto& [id, bytes] : counts.mControlBytes) {
    const auto known = before.mControlBytes.find(id);
    const uint64_t sent = bytes - (known != before.mControlBytes.end() ? known->second : 0);
    const double rate =
      static_cast<double>(sent) / std::chrono::duration<double>(kScenarioDuration).count();
    most = std::max(most, rate);
    mean += rate / options.mInstances;
  }
  Section::Row row;
  row.mName = aScenario.mName;
  row.mFigures = {
    { "flows", flows, "" },
    { "broken", static_cast<double>(counts.mBroken), "" },
    { "broken, plain hash", static_cast<double>(counts.mPlainHashBroken), "" },
    { "late new work", static_cast<double>(counts.mLateNewWork), "" },
    { "packets dropped", static_cast<double>(counts.mDropped - before.mDropped), "" },
    { "packets forwarded",
      100.0 * static_cast<double>(counts.mForwarded - before.mForwarded) /
        static_cast<double>(counts.mPackets - before.mPackets),
      "%" },
    { "control sent, mean", mean, "B/s" },
    { "control sent, most", most, "B/s" },
  };
  return row;
}

Section
MeasureBrokenFlows(uint64_t aSeed)
{
  Section section;
  section.mTitle = "Broken flows (20 instances, 14 upstreams, 0.1% loss between instances)";
  for (const Scenario& scenario : Scenarios()) {
    section.mRows.push_back(RunScenario(scenario, aSeed));
  }
  return section;
}

// A single instance with a slot table for kUpstreams upstreams.
struct Bench
{
  Membership::View mView;
  Placement::Upstreams mUpstreams;
  Placement::SlotTable mTable;
  Placement::Shard mShard{ 0, 1, {}, Placement::FlowTable(200000), Placement::FlowTable(200000) };
  Base::ServiceGeneration mGeneration{ 7 };
  Base::Endpoint mService{ 0x0A000001, 443 };
  Base::TimePoint mNow{ 1000s };
};

void
Replan(Bench& aBench)
{
  const std::vector<bool> idle(Placement::kSlots, false);
  auto change = Placement::PlanChange(
    aBench.mTable, aBench.mUpstreams, idle, Placement::Settings(), aBench.mNow);
  if (!change) {
    return;
  }
  Placement::AddPlannedUpstreams(aBench.mTable, aBench.mUpstreams);
  change->mVersion = { Placement::MakeEpoch(0, aBench.mView.mSelf),
                       aBench.mTable.mVersion.mCounter + 1 };
  Placement::Prepare(aBench.mTable, std::move(*change));
  Placement::Activate(aBench.mTable);
}

void
Publish(Bench& aBench)
{
  Placement::UpdateService(aBench.mShard,
                           std::make_shared<Placement::SlotTable>(aBench.mTable),
                           aBench.mUpstreams,
                           Placement::Settings(),
                           aBench.mView,
                           true,
                           aBench.mNow);
}

void
SetUp(Bench& aBench)
{
  aBench.mTable.mGeneration = aBench.mGeneration;
  aBench.mView.mSelf = Base::InstanceId(1);
  Membership::Member self;
  self.mId = aBench.mView.mSelf;
  aBench.mView.mMembers.push_back(self);
  for (uint32_t i = 0; i < kUpstreams; ++i) {
    Placement::UpstreamStatus status;
    status.mEndpoint = { 0x7F000101 + i, 9000 };
    status.mWeight = 3;
    status.mUsableFrom = aBench.mNow - 100s;
    status.mLeaseEnd = aBench.mNow + 1000s;
    aBench.mUpstreams.push_back(status);
  }
  Replan(aBench);
  Publish(aBench);
}

std::vector<Base::Endpoint>
RandomCallers(uint64_t aSeed, size_t aCount)
{
  Base::RandomSource random{ aSeed };
  std::vector<Base::Endpoint> callers(aCount);
  for (Base::Endpoint& caller : callers) {
    caller.mAddress = static_cast<uint32_t>(Base::NextRandom(random));
    caller.mPort = static_cast<uint16_t>(1 + Base::NextBelow(random, 65535));
  }
  return callers;
}

Placement::Packet
MakePacket(const Bench& aBench, const Base::Endpoint& aCaller, bool aIsOpening)
{
  Placement::Packet packet;
  packet.mFlow = { aBench.mGeneration, aCaller };
  packet.mSlot = Placement::SlotOf(aBench.mGeneration, aCaller, aBench.mService);
  packet.mIsOpening = aIsOpening;
  return packet;
}

// Consumes the results of the benchmark loops so that the compiler does not optimize them away.
struct Sink
{
  uint64_t mSum = 0;
};

template<typename Work>
double
NanosecondsEach(const std::vector<Base::Endpoint>& aCallers, Work aWork)
{
  const auto start = std::chrono::steady_clock::now();
  for (const Base::Endpoint& caller : aCallers) {
    aWork(caller);
  }
  const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - start;
  return time.count() / static_cast<double>(aCallers.size());
}

double
Median(std::vector<double> aValues)
{
  std::nth_element(aValues.begin(), aValues.begin() + aValues.size() / 2, aValues.end());
  return aValues[aValues.size() / 2];
}

// Interleaves the variants in rounds so that speed changes of a shared machine affect all of them.
Section
MeasureTime(uint64_t aSeed)
{
  constexpr size_t kCallers = 50000;
  constexpr int kRounds = 21;
  const std::vector<Base::Endpoint> callers = RandomCallers(aSeed, kCallers);
  Bench steady;
  SetUp(steady);
  Bench moved;
  SetUp(moved);
  // Drains all upstreams except the last one, which makes nearly all slots ambiguous.
  for (size_t i = 0; i + 1 < moved.mUpstreams.size(); ++i) {
    moved.mUpstreams[i].mDraining = true;
    moved.mUpstreams[i].mDrainingSince = moved.mNow;
  }
  Publish(moved);
  Replan(moved);
  Publish(moved);
  Sink sink;
  const auto decide = [&sink](Bench& aBench, const Base::Endpoint& aCaller, bool aIsOpening) {
    const Placement::Packet packet = MakePacket(aBench, aCaller, aIsOpening);
    sink.mSum +=
      Placement::DecidePacket(aBench.mShard, packet, aBench.mView, aBench.mNow).mUpstream.mAddress;
  };
  NanosecondsEach(callers, [&](const Base::Endpoint& aCaller) { decide(moved, aCaller, true); });
  std::vector<double> plainTimes;
  std::vector<double> steadyTimes;
  std::vector<double> recordTimes;
  for (int round = 0; round < kRounds; ++round) {
    plainTimes.push_back(NanosecondsEach(callers, [&](const Base::Endpoint& aCaller) {
      const uint64_t hash = Base::StableHash(
        { steady.mGeneration.mValue, Base::Pack(aCaller), Base::Pack(steady.mService) });
      sink.mSum += steady.mUpstreams[hash % steady.mUpstreams.size()].mEndpoint.mAddress;
    }));
    steadyTimes.push_back(NanosecondsEach(
      callers, [&](const Base::Endpoint& aCaller) { decide(steady, aCaller, false); }));
    recordTimes.push_back(NanosecondsEach(
      callers, [&](const Base::Endpoint& aCaller) { decide(moved, aCaller, false); }));
  }
  Section section;
  section.mTitle = "Time of a decision (median of 21 rounds of 50,000 packets)";
  const auto addRow = [&section](const char* aName, double aTime, double aPlain) {
    section.mRows.push_back(
      { aName, { { "time", aTime, "ns" }, { "against plain hash", aTime / aPlain, "" } } });
  };
  const double plain = Median(plainTimes);
  addRow("plain hash and look-up", plain, plain);
  addRow("placement, slot not ambiguous", Median(steadyTimes), plain);
  addRow("placement, record of 50,000", Median(recordTimes), plain);
  if (sink.mSum == 0) {
    section.mTitle += " (no packet was placed)";
  }
  return section;
}

Section
MeasureMemory(uint64_t aSeed)
{
  Section section;
  section.mTitle = "Memory of flow records";
  for (const uint32_t count : { 1000U, 50000U, 200000U }) {
    Placement::FlowTable table(200000);
    for (const Base::Endpoint& caller : RandomCallers(aSeed, count)) {
      Placement::FlowRecord record;
      record.mKey = { Base::ServiceGeneration(7), caller };
      Placement::Insert(table, record);
    }
    const auto bytes = static_cast<double>(Placement::MemoryBytes(table));
    section.mRows.push_back(
      { std::to_string(table.mSize) + " records",
        { { "each", bytes / table.mSize, "B" },
          { "all", bytes / 1e6, "MB" },
          { "entry without index", sizeof(Placement::FlowTable::Node), "B" } } });
  }
  return section;
}

double
Imbalance(const std::map<Base::Endpoint, uint64_t>& aCounts)
{
  uint64_t sum = 0;
  uint64_t highest = 0;
  for (const auto& [upstream, count] : aCounts) {
    sum += count;
    highest = std::max(highest, count);
  }
  return static_cast<double>(highest) * static_cast<double>(aCounts.size()) /
         static_cast<double>(sum);
}

Section::Row
ImbalanceRow(const char* aName, Bench& aBench, uint64_t aSeed)
{
  Publish(aBench);
  const size_t upstreams = aBench.mUpstreams.size();
  std::map<Base::Endpoint, uint64_t> placed;
  std::map<Base::Endpoint, uint64_t> plain;
  for (const Base::Endpoint& caller : RandomCallers(aSeed, upstreams * kConnectionsPerUpstream)) {
    const Placement::Packet packet = MakePacket(aBench, caller, true);
    ++placed[Placement::DecidePacket(aBench.mShard, packet, aBench.mView, aBench.mNow).mUpstream];
    const uint64_t hash = Base::StableHash({ Base::Pack(caller), Base::Pack(aBench.mService) });
    ++plain[aBench.mUpstreams[hash % upstreams].mEndpoint];
  }
  return { aName,
           { { "upstreams", static_cast<double>(upstreams), "" },
             { "placement", Imbalance(placed), "" },
             { "plain hash", Imbalance(plain), "" } } };
}

Section
MeasureImbalance(uint64_t aSeed)
{
  Section section;
  section.mTitle = "Imbalance, maximum over mean, 4,400 flows for each upstream";
  Bench bench;
  SetUp(bench);
  section.mRows.push_back(ImbalanceRow("first table", bench, aSeed));
  Placement::UpstreamStatus added = bench.mUpstreams.back();
  ++added.mEndpoint.mAddress;
  bench.mUpstreams.push_back(added);
  Replan(bench);
  section.mRows.push_back(ImbalanceRow("after one joined", bench, aSeed));
  bench.mUpstreams.erase(bench.mUpstreams.begin() + 2, bench.mUpstreams.begin() + 5);
  Replan(bench);
  section.mRows.push_back(ImbalanceRow("after three left", bench, aSeed));
  return section;
}

} // namespace

Report
MeasurePlacement(uint64_t aSeed)
{
  Report report;
  report.mSubcommand = "placement";
  report.mSeed = aSeed;
  report.mSections.push_back(MeasureBrokenFlows(aSeed));
  report.mSections.push_back(MeasureTime(aSeed));
  report.mSections.push_back(MeasureMemory(aSeed));
  report.mSections.push_back(MeasureImbalance(aSeed));
  return report;
}

} // namespace Measure
