#include "measure/requestsparties.h"

#include "absl/strings/str_cat.h"

namespace RequestFakes {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxOpenRequests = 4;
constexpr uint64_t kMaxFlowRequests = 100;
constexpr uint32_t kSendPermille = 250;
constexpr milliseconds kResendTime{ 250 };
// A caller waits longer than its deadline, because the answer about it takes its way, too.
constexpr milliseconds kPatience{ 500 };

void
SendToFabric(World& aWorld, const Caller& aCaller, const lw::caller::CallerPacket& aPacket)
{
  const size_t index = Base::NextBelow(aWorld.mNetwork.mRandom, aWorld.mInstances.size());
  Instance& target = *aWorld.mInstances[index];
  Carry(aWorld.mNetwork,
        aWorld.mOptions,
        [&aWorld, &target, caller = aCaller.mEndpoint, payload = aPacket.SerializeAsString()]() {
          DeliverToInstance(aWorld, target, caller, payload);
        });
}

void
SendRequest(World& aWorld, const Caller& aCaller, uint64_t aNumber)
{
  const CallerRequest& request = aCaller.mRequests.at(aNumber);
  const auto left =
    std::chrono::duration_cast<milliseconds>(request.mDeadline - aWorld.mNetwork.mNow);
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
  SendToFabric(aWorld, aCaller, packet);
}

void
SendCancel(World& aWorld, const Caller& aCaller, uint64_t aNumber)
{
  lw::caller::CallerPacket packet;
  packet.mutable_cancel()->set_ticket(aCaller.mTicket);
  packet.mutable_cancel()->set_number(aNumber);
  SendToFabric(aWorld, aCaller, packet);
}

void
OpenAgain(Caller& aCaller)
{
  aCaller.mTicket.clear();
  aCaller.mOpenId = 0;
  aCaller.mOpenSentAt = Base::TimePoint();
}

void
TickOpen(World& aWorld, Caller& aCaller)
{
  const Base::TimePoint now = aWorld.mNetwork.mNow;
  if (aCaller.mOpenId != 0 && now < aCaller.mOpenSentAt + kResendTime) {
    return;
  }
  if (aCaller.mOpenId == 0) {
    aCaller.mOpenId = Base::NextRandom(aWorld.mNetwork.mRandom);
  }
  aCaller.mOpenSentAt = now;
  lw::caller::CallerPacket packet;
  packet.mutable_open()->set_open_id(aCaller.mOpenId);
  packet.mutable_open()->set_client("client");
  SendToFabric(aWorld, aCaller, packet);
}

void
SendNew(World& aWorld, Caller& aCaller)
{
  const uint64_t number = aCaller.mNextNumber++;
  CallerRequest& request = aCaller.mRequests[number];
  request.mUid = aWorld.mNextUid++;
  request.mIsRepeatable = Chance(aWorld.mNetwork, 500);
  request.mSentAt = aWorld.mNetwork.mNow;
  request.mDeadline = aWorld.mNetwork.mNow + aWorld.mOptions.mMinDeadline +
                      Between(aWorld.mNetwork, milliseconds(0), milliseconds(2700));
  ++aWorld.mResult.mRequests;
  NoteSent(aWorld.mChecker, request.mUid, { aCaller.mFlow, number }, request.mIsRepeatable);
  SendRequest(aWorld, aCaller, number);
  if (Chance(aWorld.mNetwork, aWorld.mOptions.mCancelPermille)) {
    SendCancel(aWorld, aCaller, number);
  }
}

void
TakePiece(World& aWorld, Caller& aCaller, const lw::caller::AnswerPiece& aPiece)
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
  NoteAnswer(aWorld.mChecker, { aPiece.flow(), aPiece.number() }, bodies);
  ++aWorld.mResult.mAnswered;
  aCaller.mRequests.erase(found);
}

void
TakeRefusal(World& aWorld, Caller& aCaller, const lw::caller::Refusal& aRefusal)
{
  if (aRefusal.open_id() != 0) {
    return;
  }
  const auto found = aCaller.mRequests.find(aRefusal.number());
  if (aRefusal.flow() != aCaller.mFlow || found == aCaller.mRequests.end()) {
    return;
  }
  Result& result = aWorld.mResult;
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
DeliverToCaller(World& aWorld, size_t aCaller, const std::string& aPayload)
{
  Caller& caller = aWorld.mCallers[aCaller];
  lw::caller::EntryPacket packet;
  packet.ParseFromString(aPayload);
  if (packet.has_piece()) {
    TakePiece(aWorld, caller, packet.piece());
  } else if (packet.has_refusal()) {
    TakeRefusal(aWorld, caller, packet.refusal());
  } else if (caller.mTicket.empty() && packet.opened().open_id() == caller.mOpenId) {
    caller.mTicket = packet.opened().ticket();
    caller.mFlow = packet.opened().flow();
    caller.mNextNumber = 1;
  }
}

void
TickCaller(World& aWorld, size_t aCaller)
{
  Caller& caller = aWorld.mCallers[aCaller];
  After(aWorld.mNetwork, milliseconds(20), [&aWorld, aCaller]() { TickCaller(aWorld, aCaller); });
  const Base::TimePoint now = aWorld.mNetwork.mNow;
  for (auto request = caller.mRequests.begin(); request != caller.mRequests.end();) {
    if (now >= request->second.mDeadline + kPatience) {
      ++aWorld.mResult.mSilent;
      request = caller.mRequests.erase(request);
      continue;
    }
    if (now >= request->second.mSentAt + kResendTime) {
      request->second.mSentAt = now;
      SendRequest(aWorld, caller, request->first);
    }
    ++request;
  }
  // Callers stop before the end of the run, so that the last packets arrive and can be checked.
  if (now > Base::TimePoint() + aWorld.mOptions.mLength) {
    return;
  }
  if (caller.mTicket.empty()) {
    TickOpen(aWorld, caller);
    return;
  }
  if (Chance(aWorld.mNetwork, aWorld.mOptions.mCallerRestartPermille / 30)) {
    aWorld.mResult.mSilent += caller.mRequests.size();
    caller.mRequests.clear();
    OpenAgain(caller);
    return;
  }
  if (caller.mNextNumber > kMaxFlowRequests && caller.mRequests.empty()) {
    OpenAgain(caller);
  } else if (caller.mRequests.size() < kMaxOpenRequests && caller.mNextNumber <= kMaxFlowRequests &&
             Chance(aWorld.mNetwork, kSendPermille)) {
    SendNew(aWorld, caller);
  }
}

} // namespace RequestFakes
