#include "measure/requestsmeasure.h"

#include "measure/requestsfakes.h"
#include "requests/dispatcher.h"

#include "caller.pb.h"
#include "upstream.pb.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using nlohmann::json;

constexpr size_t kFlows = 20000;
constexpr size_t kQueued = 20000;
constexpr size_t kTimed = 100000;
constexpr size_t kBodyBytes = 100;
constexpr uint64_t kSeeds = 100;
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
  bench->mSettings.mTicketKey = "0123456789abcdef0123456789abcdef";
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

/// Answers the dispatch in the effects.
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

size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

void
MeasureMemory(json& aFigures)
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
  aFigures["bytes_per_flow"] = (opened - empty - ticketBytes) / kFlows;
  constexpr uint64_t kWindow = 64;
  constexpr size_t kFullFlows = 1000;
  for (size_t i = 0; i < kFullFlows; ++i) {
    for (uint64_t number = 1; number <= kWindow; ++number) {
      Answer(*bench, Send(*bench, RequestPayload(tickets[i], number)));
    }
    Requests::Tick(bench->mState, ContextOf(*bench));
  }
  aFigures["bytes_per_full_window"] = (HeapBytes() - opened) / kFullFlows;
  aFigures["ticket_bytes"] = tickets[0].size();
}

void
MeasureQueued(json& aFigures)
{
  // The thin scheduler queues 16 requests for each slot.
  const std::unique_ptr<Bench> bench = MakeBench(kQueued);
  std::vector<std::string> payloads;
  std::vector<std::string> tickets(kQueued / 32);
  for (size_t i = 0; i < tickets.size(); ++i) {
    tickets[i] = OpenFlow(*bench, i + 1);
  }
  const size_t before = HeapBytes();
  size_t sent = 0;
  for (const std::string& ticket : tickets) {
    for (uint64_t number = 1; number <= 32; ++number) {
      Send(*bench, RequestPayload(ticket, number));
      ++sent;
    }
  }
  aFigures["bytes_per_request"] = (HeapBytes() - before) / sent;
  aFigures["requests_held"] = bench->mState.mCalls.size();
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
MeasureTime(json& aFigures)
{
  const std::unique_ptr<Bench> owner = MakeBench(4);
  const std::string ticket = OpenFlow(*owner, 1);
  std::vector<std::string> payloads;
  payloads.reserve(kTimed);
  for (size_t i = 0; i < kTimed; ++i) {
    payloads.push_back(RequestPayload(ticket, i + 1));
  }
  aFigures["ns_per_request_at_owner"] =
    NanosecondsEach(kTimed, [&](size_t aIndex) { Answer(*owner, Send(*owner, payloads[aIndex])); });
  aFigures["ns_per_answered_duplicate"] =
    NanosecondsEach(kTimed, [&](size_t) { Send(*owner, payloads.back()); });
  aFigures["ns_per_ticket_check"] = NanosecondsEach(kTimed, [&](size_t) {
    Requests::OpenTicket(owner->mSettings.mTicketKey, ticket, kAddresses).IgnoreError();
  });
  const std::unique_ptr<Bench> other = MakeBench(4);
  other->mState.mSelf.mInstance = Base::InstanceId(2);
  aFigures["ns_per_request_forwarded"] =
    NanosecondsEach(kTimed, [&](size_t aIndex) { Send(*other, payloads[aIndex]); });
}

bool
MeasureOutcomes(uint64_t aSeed, json& aFigures)
{
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t notRun = 0;
  uint64_t unknown = 0;
  uint64_t flowGone = 0;
  uint64_t silent = 0;
  uint64_t crashes = 0;
  uint64_t leaves = 0;
  uint64_t undrained = 0;
  uint64_t partitions = 0;
  uint64_t violations = 0;
  for (uint64_t seed = aSeed; seed < aSeed + kSeeds; ++seed) {
    RequestFakes::Options options;
    options.mSeed = seed;
    const RequestFakes::Result result = RequestFakes::RunFakes(options);
    requests += result.mRequests;
    answered += result.mAnswered;
    notRun += result.mNotRun;
    unknown += result.mUnknown;
    flowGone += result.mFlowGone;
    silent += result.mSilent;
    crashes += result.mCrashes;
    leaves += result.mLeaves;
    undrained += result.mUndrainedLeaves;
    partitions += result.mPartitions;
    violations += result.mViolations.size();
  }
  aFigures["outcomes"] = { { "seeds", kSeeds },          { "requests", requests },
                           { "answered", answered },     { "not_run", notRun },
                           { "unknown", unknown },       { "flow_gone", flowGone },
                           { "silent", silent },         { "crashes", crashes },
                           { "leaves", leaves },         { "leaves_not_drained", undrained },
                           { "partitions", partitions }, { "violations", violations } };
  return violations == 0;
}

} // namespace

int
RunRequestsMeasure(uint64_t aSeed, bool aJson)
{
  json figures;
  MeasureMemory(figures);
  MeasureQueued(figures);
  MeasureTime(figures);
  const bool isClean = MeasureOutcomes(aSeed, figures);
  figures["seed"] = aSeed;
  if (aJson) {
    std::cout << figures.dump() << "\n";
  } else {
    for (const auto& [name, value] : figures.items()) {
      std::cout << "requests " << name << " " << value << "\n";
    }
  }
  return isClean ? 0 : 1;
}
