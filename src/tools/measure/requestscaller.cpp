#include "measure/requestsparties.h"

#include "absl/strings/str_cat.h"

namespace RequestFakes {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxOpenRequests = 4;
constexpr uint64_t kMaxFlowRequests = 100;
constexpr uint32_t kSendPermille = 250;
constexpr milliseconds kResendTime{ 250 };
// A caller waits longer than its deadline because the reply also needs time to arrive.
constexpr milliseconds kPatience{ 500 };

void
SendToFabric(Simulation& aSimulation,
             const Caller& aCaller,
             const lw::caller::CallerPacket& aPacket)
{
  const size_t index = Base::NextBelow(aSimulation.mNetwork.mRandom, aSimulation.mInstances.size());
  Instance& target = *aSimulation.mInstances[index];
  Transmit(
    aSimulation.mNetwork,
    aSimulation.mOptions,
    [&aSimulation, &target, caller = aCaller.mEndpoint, payload = aPacket.SerializeAsString()]() {
      DeliverToInstance(aSimulation, target, caller, payload);
    });
}

void
SendRequest(Simulation& aSimulation, const Caller& aCaller, uint64_t aNumber)
{
  const CallerRequest& request = aCaller.mRequests.at(aNumber);
  const auto left =
    std::chrono::duration_cast<milliseconds>(request.mDeadline - aSimulation.mNetwork.mNow);
  if (left.count() <= 0) {
    return;
  }
  lw::caller::CallerPacket packet;
  lw::caller::Request& message = *packet.mutable_request();
  message.set_ticket(aCaller.mTicket);
  message.set_number(aNumber);
  message.set_kind("lookup");
  message.set_repeatable(request.mIsRepeatable);
  message.set_deadline_ms(static_cast<uint32_t>(left.count()));
  message.set_body(absl::StrCat(request.mUid));
  SendToFabric(aSimulation, aCaller, packet);
}

void
SendCancel(Simulation& aSimulation, const Caller& aCaller, uint64_t aNumber)
{
  lw::caller::CallerPacket packet;
  packet.mutable_cancel()->set_ticket(aCaller.mTicket);
  packet.mutable_cancel()->set_number(aNumber);
  SendToFabric(aSimulation, aCaller, packet);
}

void
OpenAgain(Caller& aCaller)
{
  aCaller.mTicket.clear();
  aCaller.mOpenId = 0;
  aCaller.mOpenSentAt = Base::TimePoint();
}

void
TickOpen(Simulation& aSimulation, Caller& aCaller)
{
  const Base::TimePoint now = aSimulation.mNetwork.mNow;
  if (aCaller.mOpenId != 0 && now < aCaller.mOpenSentAt + kResendTime) {
    return;
  }
  if (aCaller.mOpenId == 0) {
    aCaller.mOpenId = Base::NextRandom(aSimulation.mNetwork.mRandom);
  }
  aCaller.mOpenSentAt = now;
  lw::caller::CallerPacket packet;
  packet.mutable_open()->set_open_id(aCaller.mOpenId);
  packet.mutable_open()->set_client("client");
  SendToFabric(aSimulation, aCaller, packet);
}

void
SendNew(Simulation& aSimulation, Caller& aCaller)
{
  const uint64_t number = aCaller.mNextNumber++;
  CallerRequest& request = aCaller.mRequests[number];
  request.mUid = aSimulation.mNextUid++;
  request.mIsRepeatable = DrawChance(aSimulation.mNetwork, 500);
  request.mSentAt = aSimulation.mNetwork.mNow;
  request.mDeadline = aSimulation.mNetwork.mNow + aSimulation.mOptions.mMinDeadline +
                      DrawDuration(aSimulation.mNetwork, milliseconds(0), milliseconds(2700));
  ++aSimulation.mResult.mRequests;
  RecordSent(aSimulation.mChecker, request.mUid, { aCaller.mFlow, number }, request.mIsRepeatable);
  SendRequest(aSimulation, aCaller, number);
  if (DrawChance(aSimulation.mNetwork, aSimulation.mOptions.mCancelPermille)) {
    SendCancel(aSimulation, aCaller, number);
  }
}

void
TakePiece(Simulation& aSimulation, Caller& aCaller, const lw::caller::AnswerPiece& aPiece)
{
  const auto found = aCaller.mRequests.find(aPiece.number());
  if (aPiece.flow() != aCaller.mFlow || found == aCaller.mRequests.end()) {
    return;
  }
  std::map<uint32_t, std::string>& pieces = found->second.mPieces;
  pieces[aPiece.index()] = aPiece.body();
  if (pieces.size() < aPiece.total()) {
    return;
  }
  std::vector<std::string> bodies;
  bodies.reserve(pieces.size());
  for (const auto& [index, body] : pieces) {
    bodies.push_back(body);
  }
  RecordAnswer(aSimulation.mChecker, { aPiece.flow(), aPiece.number() }, bodies);
  ++aSimulation.mResult.mAnswered;
  aCaller.mRequests.erase(found);
}

void
TakeRefusal(Simulation& aSimulation, Caller& aCaller, const lw::caller::Refusal& aRefusal)
{
  if (aRefusal.open_id() != 0) {
    return;
  }
  const auto found = aCaller.mRequests.find(aRefusal.number());
  if (aRefusal.flow() != aCaller.mFlow || found == aCaller.mRequests.end()) {
    return;
  }
  Result& result = aSimulation.mResult;
  const bool isGone = aRefusal.outcome() == lw::caller::FLOW_GONE;
  const bool isNotRun = aRefusal.outcome() == lw::caller::NOT_RUN;
  ++(isGone ? result.mFlowGone : isNotRun ? result.mNotRun : result.mUnknown);
  aCaller.mRequests.erase(found);
  const char* ownerGone = Requests::ReasonText(Requests::Event::UnknownOwnerGone);
  if (isGone || aRefusal.reason() == ownerGone) {
    result.mUnknown += aCaller.mRequests.size();
    aCaller.mRequests.clear();
    OpenAgain(aCaller);
  }
}

} // namespace

void
DeliverToCaller(Simulation& aSimulation, size_t aCaller, const std::string& aPayload)
{
  Caller& caller = aSimulation.mCallers[aCaller];
  lw::caller::EntryPacket packet;
  packet.ParseFromString(aPayload);
  if (packet.has_piece()) {
    TakePiece(aSimulation, caller, packet.piece());
  } else if (packet.has_refusal()) {
    TakeRefusal(aSimulation, caller, packet.refusal());
  } else if (caller.mTicket.empty() && packet.opened().open_id() == caller.mOpenId) {
    caller.mTicket = packet.opened().ticket();
    caller.mFlow = packet.opened().flow();
    caller.mNextNumber = 1;
  }
}

void
TickCaller(Simulation& aSimulation, size_t aCaller)
{
  Caller& caller = aSimulation.mCallers[aCaller];
  ScheduleAfter(aSimulation.mNetwork, milliseconds(20), [&aSimulation, aCaller]() {
    TickCaller(aSimulation, aCaller);
  });
  const Base::TimePoint now = aSimulation.mNetwork.mNow;
  for (auto request = caller.mRequests.begin(); request != caller.mRequests.end();) {
    if (now >= request->second.mDeadline + kPatience) {
      ++aSimulation.mResult.mSilent;
      request = caller.mRequests.erase(request);
      continue;
    }
    if (now >= request->second.mSentAt + kResendTime) {
      request->second.mSentAt = now;
      SendRequest(aSimulation, caller, request->first);
    }
    ++request;
  }
  // Callers stop before the end of the run so that the last packets can arrive and be checked.
  if (now > Base::TimePoint() + aSimulation.mOptions.mLength) {
    return;
  }
  if (caller.mTicket.empty()) {
    TickOpen(aSimulation, caller);
    return;
  }
  if (DrawChance(aSimulation.mNetwork, aSimulation.mOptions.mCallerRestartPermille / 30)) {
    aSimulation.mResult.mSilent += caller.mRequests.size();
    caller.mRequests.clear();
    OpenAgain(caller);
    return;
  }
  if (caller.mNextNumber > kMaxFlowRequests && caller.mRequests.empty()) {
    OpenAgain(caller);
  } else if (caller.mRequests.size() < kMaxOpenRequests && caller.mNextNumber <= kMaxFlowRequests &&
             DrawChance(aSimulation.mNetwork, kSendPermille)) {
    SendNew(aSimulation, caller);
  }
}

} // namespace RequestFakes
