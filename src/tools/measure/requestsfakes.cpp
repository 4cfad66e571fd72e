#include "measure/requestsfakes.h"

#include "measure/requestsparties.h"

namespace RequestFakes {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Detection of a crashed member takes up to 5 s in the real protocol; shorter times give more
// events.
constexpr milliseconds kDetectLow{ 300 };
constexpr milliseconds kDetectHigh{ 2500 };
constexpr seconds kMaxDrainTime{ 6 };
constexpr seconds kSettleAtEnd{ 12 };

void
Restart(World& aWorld, Instance& aInstance)
{
  aInstance.mState.reset();
  SpreadMembership(aWorld, kDetectLow, kDetectHigh);
  const Base::Duration down = Between(aWorld.mNetwork, milliseconds(200), milliseconds(4000));
  After(aWorld.mNetwork, down, [&aWorld, &aInstance]() {
    StartInstance(aWorld, aInstance);
    SpreadMembership(aWorld, milliseconds(0), milliseconds(1000));
  });
}

void
AwaitDrain(World& aWorld, Instance& aInstance, Base::TimePoint aEnd)
{
  const bool isDrained = Requests::IsDrained(*aInstance.mState);
  if (!isDrained && aWorld.mNetwork.mNow < aEnd) {
    After(aWorld.mNetwork, milliseconds(50), [&aWorld, &aInstance, aEnd]() {
      AwaitDrain(aWorld, aInstance, aEnd);
    });
    return;
  }
  aWorld.mResult.mUndrainedLeaves += isDrained ? 0 : 1;
  Restart(aWorld, aInstance);
}

void
Leave(World& aWorld, Instance& aInstance)
{
  ++aWorld.mResult.mLeaves;
  CarryOut(
    aWorld, aInstance, Requests::BeginLeave(*aInstance.mState, ContextOf(aWorld, aInstance)));
  SpreadMembership(aWorld, milliseconds(0), milliseconds(300));
  AwaitDrain(aWorld, aInstance, aWorld.mNetwork.mNow + kMaxDrainTime);
}

void
Isolate(World& aWorld, Instance& aInstance)
{
  ++aWorld.mResult.mPartitions;
  aInstance.mPartition = aInstance.mId.mValue;
  SpreadMembership(aWorld, kDetectLow, kDetectHigh);
  const Base::Duration length = Between(aWorld.mNetwork, seconds(1), seconds(5));
  After(aWorld.mNetwork, length, [&aWorld, &aInstance]() {
    aInstance.mPartition = 0;
    SpreadMembership(aWorld, milliseconds(0), milliseconds(1500));
  });
}

void
DoSomething(World& aWorld)
{
  Network& network = aWorld.mNetwork;
  const Options& options = aWorld.mOptions;
  if (network.mNow > Base::TimePoint() + options.mLength) {
    return;
  }
  After(network, Between(network, milliseconds(300), milliseconds(2500)), [&aWorld]() {
    DoSomething(aWorld);
  });
  Instance& target = *aWorld.mInstances[Base::NextBelow(network.mRandom, options.mInstances)];
  const uint64_t choice = Base::NextBelow(network.mRandom, 3);
  const bool isFree = target.mState.has_value() && target.mPartition == 0;
  if (!isFree) {
    return;
  }
  if (choice == 0 && options.mHasCrashes && !target.mState->mHandover.mIsLeaving) {
    ++aWorld.mResult.mCrashes;
    Restart(aWorld, target);
  } else if (choice == 1 && options.mHasLeaves && !target.mState->mHandover.mIsLeaving) {
    Leave(aWorld, target);
  } else if (choice == 2 && options.mHasPartitions) {
    Isolate(aWorld, target);
  }
}

void
AddService(World& aWorld)
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
  aWorld.mServices.mByAddress[kService] = service;
}

void
AddParties(World& aWorld)
{
  std::vector<Membership::Upstream> known;
  for (uint32_t i = 0; i < aWorld.mOptions.mUpstreams; ++i) {
    Upstream upstream;
    upstream.mEndpoint = { 0x7F000101, static_cast<uint16_t>(i + 1) };
    aWorld.mUpstreams.push_back(upstream);
    Membership::Upstream record;
    record.mEndpoint = upstream.mEndpoint;
    record.mGeneration = Base::ServiceGeneration(1);
    record.mSlots = 4;
    record.mLeaseEnd = Base::TimePoint::max();
    known.push_back(record);
  }
  for (uint32_t i = 0; i < aWorld.mOptions.mInstances; ++i) {
    auto instance = std::make_unique<Instance>();
    instance->mId = Base::InstanceId(i + 1);
    instance->mView.mUpstreams = known;
    aWorld.mInstances.push_back(std::move(instance));
  }
  for (uint32_t i = 0; i < aWorld.mOptions.mCallers; ++i) {
    Caller caller;
    caller.mEndpoint = { 0x7F000201, static_cast<uint16_t>(i + 1) };
    aWorld.mCallers.push_back(caller);
  }
}

} // namespace

void
StartChaos(World& aWorld)
{
  After(aWorld.mNetwork, seconds(1), [&aWorld]() { DoSomething(aWorld); });
}

Result
RunFakes(const Options& aOptions)
{
  World world;
  world.mOptions = aOptions;
  world.mNetwork.mRandom.mState = aOptions.mSeed;
  world.mSettings.mTicketKey = Requests::MakeTicketKey("key of the region");
  AddService(world);
  AddParties(world);
  for (const auto& instance : world.mInstances) {
    StartInstance(world, *instance);
  }
  SpreadMembership(world, milliseconds(0), milliseconds(1));
  for (size_t i = 0; i < world.mCallers.size(); ++i) {
    After(world.mNetwork, milliseconds(100 + i), [&world, i]() { TickCaller(world, i); });
  }
  StartChaos(world);
  RunUntil(world.mNetwork, Base::TimePoint() + aOptions.mLength + kSettleAtEnd);
  FinishChecks(world.mChecker);
  for (const auto& [uid, request] : world.mChecker.mRequests) {
    world.mResult.mRepeatedRuns += request.mRuns > 1 ? 1 : 0;
  }
  world.mResult.mViolations = world.mChecker.mViolations;
  return world.mResult;
}

} // namespace RequestFakes
