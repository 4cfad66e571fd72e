#include "measure/requestsfakes.h"

#include "measure/requestsparties.h"

namespace RequestFakes {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The membership protocol needs up to 5 s to detect a crash. Shorter times fit more events into a
// run.
constexpr milliseconds kDetectLow{ 300 };
constexpr milliseconds kDetectHigh{ 2500 };
constexpr seconds kMaxDrainTime{ 6 };
constexpr seconds kSettleAtEnd{ 12 };

void
Restart(Simulation& aSimulation, Instance& aInstance)
{
  aInstance.mState.reset();
  SpreadMembership(aSimulation, kDetectLow, kDetectHigh);
  const Base::Duration down =
    DrawDuration(aSimulation.mNetwork, milliseconds(200), milliseconds(4000));
  ScheduleAfter(aSimulation.mNetwork, down, [&aSimulation, &aInstance]() {
    StartInstance(aSimulation, aInstance);
    SpreadMembership(aSimulation, milliseconds(0), milliseconds(1000));
  });
}

void
AwaitDrain(Simulation& aSimulation, Instance& aInstance, Base::TimePoint aEnd)
{
  const bool isDrained = Requests::IsDrained(*aInstance.mState);
  if (!isDrained && aSimulation.mNetwork.mNow < aEnd) {
    ScheduleAfter(aSimulation.mNetwork, milliseconds(50), [&aSimulation, &aInstance, aEnd]() {
      AwaitDrain(aSimulation, aInstance, aEnd);
    });
    return;
  }
  aSimulation.mResult.mUndrainedLeaves += isDrained ? 0 : 1;
  Restart(aSimulation, aInstance);
}

void
Leave(Simulation& aSimulation, Instance& aInstance)
{
  ++aSimulation.mResult.mLeaves;
  ExecuteEffects(aSimulation,
                 aInstance,
                 Requests::BeginLeave(*aInstance.mState, ContextOf(aSimulation, aInstance)));
  SpreadMembership(aSimulation, milliseconds(0), milliseconds(300));
  AwaitDrain(aSimulation, aInstance, aSimulation.mNetwork.mNow + kMaxDrainTime);
}

void
Isolate(Simulation& aSimulation, Instance& aInstance)
{
  ++aSimulation.mResult.mPartitions;
  aInstance.mPartition = aInstance.mId.mValue;
  SpreadMembership(aSimulation, kDetectLow, kDetectHigh);
  const Base::Duration length = DrawDuration(aSimulation.mNetwork, seconds(1), seconds(5));
  ScheduleAfter(aSimulation.mNetwork, length, [&aSimulation, &aInstance]() {
    aInstance.mPartition = 0;
    SpreadMembership(aSimulation, milliseconds(0), milliseconds(1500));
  });
}

void
DoSomething(Simulation& aSimulation)
{
  Network& network = aSimulation.mNetwork;
  const Options& options = aSimulation.mOptions;
  if (network.mNow > Base::TimePoint() + options.mLength) {
    return;
  }
  ScheduleAfter(network,
                DrawDuration(network, milliseconds(300), milliseconds(2500)),
                [&aSimulation]() { DoSomething(aSimulation); });
  Instance& target = *aSimulation.mInstances[Base::NextBelow(network.mRandom, options.mInstances)];
  const uint64_t choice = Base::NextBelow(network.mRandom, 3);
  const bool isFree = target.mState.has_value() && target.mPartition == 0;
  if (!isFree) {
    return;
  }
  if (choice == 0 && options.mHasCrashes && !target.mState->mHandover.mIsLeaving) {
    ++aSimulation.mResult.mCrashes;
    Restart(aSimulation, target);
  } else if (choice == 1 && options.mHasLeaves && !target.mState->mHandover.mIsLeaving) {
    Leave(aSimulation, target);
  } else if (choice == 2 && options.mHasPartitions) {
    Isolate(aSimulation, target);
  }
}

void
AddService(Simulation& aSimulation)
{
  auto service = std::make_shared<Config::ServiceView>();
  service->mName = "counter";
  service->mAddress = kService;
  service->mGeneration = Base::ServiceGeneration(1);
  service->mDefinition.add_work_kinds()->set_name("lookup");
  service->mDefinition.mutable_work_kinds(0)->set_share_permille(1000);
  lw::config::ClientTerms& client = *service->mDefinition.add_clients();
  client.set_client("client");
  client.set_starting_share_permille(1000);
  client.set_ceiling_permille(1000);
  aSimulation.mServices.mByAddress[kService] = service;
}

void
AddParties(Simulation& aSimulation)
{
  std::vector<Membership::Upstream> known;
  for (uint32_t i = 0; i < aSimulation.mOptions.mUpstreams; ++i) {
    Upstream upstream;
    upstream.mEndpoint = { 0x7F000101, static_cast<uint16_t>(i + 1) };
    aSimulation.mUpstreams.push_back(upstream);
    Membership::Upstream record;
    record.mEndpoint = upstream.mEndpoint;
    record.mGeneration = Base::ServiceGeneration(1);
    record.mSlots = 4;
    record.mLeaseEnd = Base::TimePoint::max();
    known.push_back(record);
  }
  for (uint32_t i = 0; i < aSimulation.mOptions.mInstances; ++i) {
    auto instance = std::make_unique<Instance>();
    instance->mId = Base::InstanceId(i + 1);
    instance->mView.mUpstreams = known;
    aSimulation.mInstances.push_back(std::move(instance));
  }
  for (uint32_t i = 0; i < aSimulation.mOptions.mCallers; ++i) {
    Caller caller;
    caller.mEndpoint = { 0x7F000201, static_cast<uint16_t>(i + 1) };
    aSimulation.mCallers.push_back(caller);
  }
}

} // namespace

void
ScheduleFaults(Simulation& aSimulation)
{
  ScheduleAfter(aSimulation.mNetwork, seconds(1), [&aSimulation]() { DoSomething(aSimulation); });
}

Result
RunFakes(const Options& aOptions)
{
  Simulation simulation;
  simulation.mOptions = aOptions;
  simulation.mNetwork.mRandom.mState = aOptions.mSeed;
  simulation.mSettings.mTicketKey = Requests::MakeTicketKey("key of the region");
  AddService(simulation);
  AddParties(simulation);
  for (const auto& instance : simulation.mInstances) {
    StartInstance(simulation, *instance);
  }
  SpreadMembership(simulation, milliseconds(0), milliseconds(1));
  for (size_t i = 0; i < simulation.mCallers.size(); ++i) {
    ScheduleAfter(simulation.mNetwork, milliseconds(100 + i), [&simulation, i]() {
      TickCaller(simulation, i);
    });
  }
  ScheduleFaults(simulation);
  RunUntil(simulation.mNetwork, Base::TimePoint() + aOptions.mLength + kSettleAtEnd);
  FinishChecks(simulation.mChecker);
  for (const auto& [uid, request] : simulation.mChecker.mRequests) {
    simulation.mResult.mRepeatedRuns += request.mRuns > 1 ? 1 : 0;
  }
  simulation.mResult.mViolations = simulation.mChecker.mViolations;
  return simulation.mResult;
}

} // namespace RequestFakes
