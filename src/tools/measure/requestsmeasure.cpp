#include "measure/requestsmeasure.h"

#include "measure/report.h"
#include "measure/requestsfakes.h"
#include "requests/dispatcher.h"

#include "caller.pb.h"
#include "upstream.pb.h"

#include <malloc.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace Measure {

namespace {

constexpr size_t kFlows = 20000;
constexpr size_t kTimedRequests = 100000;
constexpr size_t kBodyBytes = 100;
constexpr uint64_t kSeedCount = 100;
constexpr Base::Endpoint kService{ 0xC0000201, 7000 };
constexpr Base::Endpoint kUpstream{ 0x7F000101, 9000 };
constexpr Requests::FlowAddresses kAddresses{ { 0x7F000301, 5000 }, kService };

/// One instance that owns all flows.
struct Bench
{
  Requests::State mState;
  Membership::View mView;
  Config::ServiceIndex mServices;
  Requests::Settings mSettings;
  Base::TimePoint mNow{ std::chrono::seconds(1000) };
  Base::RandomSource mRandom;
};

std::unique_ptr<Bench>
MakeBench(uint32_t aSlots)
{
  auto bench = std::make_unique<Bench>();
  const Requests::Run self{ Base::InstanceId(1), Base::Incarnation(uint64_t{ 7 } << 32U) };
  bench->mState = Requests::MakeState(self, 0);
  bench->mSettings.mTicketKey = Requests::MakeTicketKey("0123456789abcdef0123456789abcdef");
  auto service = std::make_shared<Config::ServiceView>();
  service->mName = "counter";
  service->mAddress = kService;
  service->mGeneration = Base::ServiceGeneration(1);
  service->mDefinition.add_work_kinds()->set_name("lookup");
  bench->mServices.mByAddress[kService] = service;
  Membership::Upstream upstream;
  upstream.mEndpoint = kUpstream;
  upstream.mGeneration = Base::ServiceGeneration(1);
  upstream.mSlots = aSlots;
  upstream.mLeaseEnd = Base::TimePoint::max();
  bench->mView.mUpstreams = { upstream };
  Membership::Member member;
  member.mId = self.mInstance;
  member.mIncarnation = self.mIncarnation;
  bench->mView.mMembers = { member };
  return bench;
}

Requests::Context
ContextOf(Bench& aBench)
{
  return { aBench.mView, aBench.mServices, aBench.mSettings, {}, aBench.mNow, aBench.mRandom };
}

Requests::Effects
Send(Bench& aBench, const std::string& aPayload)
{
  const auto message =
    Requests::DecodeCallerPacket(aBench.mSettings.mTicketKey, kAddresses, aPayload);
  return message.ok()
           ? Requests::HandleCallerMessage(aBench.mState, ContextOf(aBench), *message, kUpstream)
           : Requests::Effects();
}

std::string
OpenFlow(Bench& aBench, uint64_t aOpenId)
{
  lw::caller::CallerPacket packet;
  packet.mutable_open()->set_open_id(aOpenId);
  packet.mutable_open()->set_client("client");
  const Requests::Effects effects = Send(aBench, packet.SerializeAsString());
  lw::caller::EntryPacket reply;
  reply.ParseFromString(effects.mToCallers.at(0).mPayload);
  return reply.opened().ticket();
}

std::string
RequestPayload(const std::string& aTicket, uint64_t aNumber)
{
  lw::caller::CallerPacket packet;
  lw::caller::Request& request = *packet.mutable_request();
  request.set_ticket(aTicket);
  request.set_number(aNumber);
  request.set_kind("lookup");
  request.set_deadline_ms(60000);
  request.set_body(std::string(kBodyBytes, 'x'));
  return packet.SerializeAsString();
}

/// Answers the first request dispatched by the effects.
Requests::Effects
Answer(Bench& aBench, const Requests::Effects& aEffects)
{
  lw::upstream::ToUpstream work;
  work.ParseFromString(aEffects.mToUpstreams.at(0).mPayload);
  lw::upstream::FromUpstream packet;
  lw::upstream::WorkPiece& piece = *packet.mutable_piece();
  *piece.mutable_id() = work.work().id();
  piece.set_total(1);
  piece.set_body(std::string(kBodyBytes, 'y'));
  return Requests::HandleUpstreamPacket(aBench.mState, ContextOf(aBench), kUpstream, packet);
}

void
AddRow(Section& aSection, const char* aName, const char* aUnit, double aValue)
{
  aSection.mRows.push_back({ aName, { { "value", aValue, aUnit } } });
}

size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

void
MeasureMemory(Section& aSection)
{
  const std::unique_ptr<Bench> bench = MakeBench(1);
  bench->mSettings.mAnswerLife = std::chrono::seconds(0);
  std::vector<std::string> tickets(kFlows);
  const size_t empty = HeapBytes();
  for (size_t i = 0; i < kFlows; ++i) {
    tickets[i] = OpenFlow(*bench, i + 1);
  }
  size_t ticketBytes = 0;
  for (const std::string& ticket : tickets) {
    ticketBytes += ticket.capacity() + sizeof(size_t) + 1;
  }
  bench->mNow += std::chrono::seconds(10);
  Requests::Tick(bench->mState, ContextOf(*bench));
  const size_t opened = HeapBytes();
  AddRow(aSection,
         "flow without requests",
         "bytes",
         static_cast<double>(opened - empty - ticketBytes) / kFlows);
  constexpr uint64_t kWindow = 64;
  constexpr size_t kFullFlows = 1000;
  for (size_t i = 0; i < kFullFlows; ++i) {
    for (uint64_t number = 1; number <= kWindow; ++number) {
      Answer(*bench, Send(*bench, RequestPayload(tickets[i], number)));
    }
    Requests::Tick(bench->mState, ContextOf(*bench));
  }
  AddRow(aSection,
         "full window of 64 numbers, added",
         "bytes",
         static_cast<double>(HeapBytes() - opened) / kFullFlows);
  AddRow(aSection, "ticket", "bytes", static_cast<double>(tickets[0].size()));
}

void
MeasureQueued(Section& aSection)
{
  constexpr size_t kRounds = 200;
  double bytes = 0;
  size_t held = 0;
  for (size_t round = 0; round < kRounds; ++round) {
    const std::unique_ptr<Bench> bench = MakeBench(1);
    const std::string ticket = OpenFlow(*bench, 1);
    Send(*bench, RequestPayload(ticket, 1));
    const size_t before = HeapBytes();
    // Stops at the first refusal, because a refused request uses no memory except its window entry.
    for (uint64_t number = 2; number <= 32; ++number) {
      Send(*bench, RequestPayload(ticket, number));
      if (bench->mState.mCalls.size() < number) {
        break;
      }
    }
    bytes += static_cast<double>(HeapBytes() - before);
    held += bench->mState.mCalls.size() - 1;
  }
  AddRow(aSection, "queued request, body of 100 bytes", "bytes", bytes / static_cast<double>(held));
}

template<typename Action>
double
NanosecondsEach(size_t aCount, const Action& aAction)
{
  const auto start = std::chrono::steady_clock::now();
  for (size_t i = 0; i < aCount; ++i) {
    aAction(i);
  }
  const std::chrono::duration<double, std::nano> passed = std::chrono::steady_clock::now() - start;
  return passed.count() / static_cast<double>(aCount);
}

void
MeasureTime(Section& aSection)
{
  const std::unique_ptr<Bench> owner = MakeBench(4);
  const std::string ticket = OpenFlow(*owner, 1);
  std::vector<std::string> payloads;
  payloads.reserve(kTimedRequests);
  for (size_t i = 0; i < kTimedRequests; ++i) {
    payloads.push_back(RequestPayload(ticket, i + 1));
  }
  const auto add = [&aSection](const char* aName, double aTime) {
    AddRow(aSection, aName, "ns", aTime);
  };
  add("request at its owner until its answer", NanosecondsEach(kTimedRequests, [&](size_t aIndex) {
        Answer(*owner, Send(*owner, payloads[aIndex]));
      }));
  add("duplicate of an answered request",
      NanosecondsEach(kTimedRequests, [&](size_t) { Send(*owner, payloads.back()); }));
  add("check of a ticket", NanosecondsEach(kTimedRequests, [&](size_t) {
        Requests::OpenTicket(owner->mSettings.mTicketKey, ticket, kAddresses).IgnoreError();
      }));
  const std::unique_ptr<Bench> other = MakeBench(4);
  other->mState.mSelf.mInstance = Base::InstanceId(2);
  add("request forwarded to its owner",
      NanosecondsEach(kTimedRequests, [&](size_t aIndex) { Send(*other, payloads[aIndex]); }));
}

Section
MeasureOutcomes(uint64_t aSeed)
{
  RequestFakes::Result sum;
  double violations = 0;
  for (uint64_t seed = aSeed; seed < aSeed + kSeedCount; ++seed) {
    RequestFakes::Options options;
    options.mSeed = seed;
    options.mHasUpstreamLoss = seed % 2 == 0;
    const RequestFakes::Result result = RequestFakes::RunFakes(options);
    sum.mRequests += result.mRequests;
    sum.mAnswered += result.mAnswered;
    sum.mNotRun += result.mNotRun;
    sum.mUnknown += result.mUnknown;
    sum.mFlowGone += result.mFlowGone;
    sum.mSilent += result.mSilent;
    sum.mRepeatedRuns += result.mRepeatedRuns;
    sum.mCrashes += result.mCrashes;
    sum.mLeaves += result.mLeaves;
    sum.mUndrainedLeaves += result.mUndrainedLeaves;
    sum.mPartitions += result.mPartitions;
    violations += static_cast<double>(result.mViolations.size());
  }
  Section section{ "outcomes of the randomized run, 100 seeds of 20 s", {} };
  const auto add = [&section](const char* aName, double aCount) {
    AddRow(section, aName, "", aCount);
  };
  add("requests", static_cast<double>(sum.mRequests));
  add("answered", static_cast<double>(sum.mAnswered));
  add("not run", static_cast<double>(sum.mNotRun));
  add("outcome unknown", static_cast<double>(sum.mUnknown));
  add("flow gone", static_cast<double>(sum.mFlowGone));
  add("no reply", static_cast<double>(sum.mSilent));
  add("idempotent requests run more than once", static_cast<double>(sum.mRepeatedRuns));
  add("crashes", static_cast<double>(sum.mCrashes));
  add("graceful leaves", static_cast<double>(sum.mLeaves));
  add("graceful leaves not drained in 6 s", static_cast<double>(sum.mUndrainedLeaves));
  add("partitions of one instance", static_cast<double>(sum.mPartitions));
  add("broken rules", violations);
  return section;
}

} // namespace

} // namespace Measure

int
RunRequestsMeasure(uint64_t aSeed, bool aJson)
{
  using namespace Measure;
  Section memory{ "memory", {} };
  MeasureMemory(memory);
  MeasureQueued(memory);
  Section time{ "time", {} };
  MeasureTime(time);
  const Section outcomes = MeasureOutcomes(aSeed);
  const Report report{ "requests", aSeed, { memory, time, outcomes } };
  if (aJson) {
    PrintJson(report, std::cout);
  } else {
    PrintTable(report, std::cout);
  }
  // The last row is the number of violations.
  return outcomes.mRows.back().mFigures.front().mValue == 0 ? 0 : 1;
}
