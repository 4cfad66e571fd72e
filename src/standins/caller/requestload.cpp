#include "requestload.h"

#include "absl/strings/str_cat.h"
#include "udpsocket.h"

#include "caller.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace CallerStandIn {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kResendInterval{ 250 };
/// How long after its deadline a request still accepts an answer.
constexpr milliseconds kLateAnswerGrace{ 1000 };

struct Counters
{
  uint64_t mRequests = 0;
  uint64_t mAnswered = 0;
  uint64_t mWrongAnswers = 0;
  uint64_t mNotRun = 0;
  uint64_t mOutcomeUnknown = 0;
  uint64_t mFlowGone = 0;
  uint64_t mNoAnswer = 0;
};

} // namespace

class RequestLoad::Flow
{
public:
  Flow(boost::asio::io_context& aContext,
       const RequestLoadSettings& aSettings,
       std::ofstream& aRecord,
       uint32_t aFlowIndex)
    : mSettings(aSettings)
    , mRecord(aRecord)
    , mFlowIndex(aFlowIndex)
    , mSocket(aContext,
              aSettings.mIngress,
              [this](absl::string_view aDatagram) { HandleDatagram(aDatagram); })
    , mTimer(aContext)
  {
  }

  void Open()
  {
    mTicket.clear();
    ++mOpenId;
    mLastRequestNumber = 0;
    SendOpen();
  }

  void Stop()
  {
    mStopped = true;
    mTimer.cancel();
  }

  Counters mCounters;

private:
  void SendOpen()
  {
    lw::caller::CallerPacket packet;
    packet.mutable_open()->set_open_id(mOpenId);
    packet.mutable_open()->set_client(mSettings.mCallerName);
    packet.mutable_open()->set_terms(mTerms);
    mSocket.Send(packet.SerializeAsString());
    ArmTimer(kResendInterval);
  }

  void SendNextRequest()
  {
    ++mLastRequestNumber;
    ++mBodySequence;
    ++mCounters.mRequests;
    mBody = absl::StrCat(mSettings.mCallerName, "-", mFlowIndex, "-", mBodySequence);
    // Every third request is non-idempotent.
    mIsIdempotent = mBodySequence % 3 != 0;
    mDeadline = steady_clock::now() + mSettings.mDeadline;
    mReceivedPieces.clear();
    mAwaitingAnswer = true;
    SendCurrentRequest();
  }

  void SendCurrentRequest()
  {
    const auto remaining =
      std::chrono::duration_cast<milliseconds>(mDeadline - steady_clock::now()).count();
    lw::caller::CallerPacket packet;
    lw::caller::Request* request = packet.mutable_request();
    request->set_ticket(mTicket);
    request->set_number(mLastRequestNumber);
    request->set_kind(mIsIdempotent ? mSettings.mIdempotentKind : mSettings.mNonIdempotentKind);
    request->set_repeatable(mIsIdempotent);
    request->set_deadline_ms(remaining > 0 ? static_cast<uint32_t>(remaining) : 1);
    request->set_body(mBody);
    mSocket.Send(packet.SerializeAsString());
    ArmTimer(kResendInterval);
  }

  void ArmTimer(milliseconds aDelay)
  {
    mTimer.expires_after(aDelay);
    mTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError && !mStopped) {
        HandleTimer();
      }
    });
  }

  void HandleTimer()
  {
    if (mTicket.empty()) {
      SendOpen();
    } else if (!mAwaitingAnswer) {
      SendNextRequest();
    } else if (steady_clock::now() < mDeadline) {
      SendCurrentRequest();
    } else if (steady_clock::now() < mDeadline + kLateAnswerGrace) {
      ArmTimer(kResendInterval);
    } else {
      ++mCounters.mNoAnswer;
      FinishRequest();
    }
  }

  void FinishRequest()
  {
    mAwaitingAnswer = false;
    ArmTimer(mSettings.mRequestInterval);
  }

  void HandleDatagram(absl::string_view aDatagram)
  {
    lw::caller::EntryPacket packet;
    if (!packet.ParseFromArray(aDatagram.data(), static_cast<int>(aDatagram.size()))) {
      ++mCounters.mWrongAnswers;
      return;
    }
    if (packet.has_opened()) {
      HandleOpened(packet.opened());
    } else if (packet.has_piece()) {
      HandlePiece(packet.piece());
    } else if (packet.has_refusal()) {
      HandleRefusal(packet.refusal());
    }
  }

  void HandleOpened(const lw::caller::FlowOpened& aOpened)
  {
    if (!mTicket.empty() || aOpened.open_id() != mOpenId) {
      return;
    }
    mTicket = aOpened.ticket();
    mTerms = aOpened.terms();
    mFlowId = aOpened.flow();
    SendNextRequest();
  }

  void HandlePiece(const lw::caller::AnswerPiece& aPiece)
  {
    if (aPiece.flow() != mFlowId || aPiece.number() != mLastRequestNumber || !mAwaitingAnswer) {
      return;
    }
    const std::string expected =
      absl::StrCat(mSettings.mService, ":", mBody, ":", aPiece.index(), ";");
    if (aPiece.body() != expected) {
      ++mCounters.mWrongAnswers;
      return;
    }
    mReceivedPieces.insert(aPiece.index());
    if (mReceivedPieces.size() < aPiece.total()) {
      return;
    }
    ++mCounters.mAnswered;
    mRecord << "answered " << mBody << "\n";
    FinishRequest();
  }

  void HandleRefusal(const lw::caller::Refusal& aRefusal)
  {
    if (aRefusal.open_id() != 0) {
      return; // The open request is resent when the timer expires.
    }
    if (aRefusal.flow() != mFlowId || aRefusal.number() != mLastRequestNumber || !mAwaitingAnswer) {
      return;
    }
    if (aRefusal.outcome() == lw::caller::NOT_RUN) {
      ++mCounters.mNotRun;
      mRecord << "not_run " << mBody << "\n";
      FinishRequest();
      return;
    }
    mAwaitingAnswer = false;
    if (aRefusal.outcome() == lw::caller::FLOW_GONE) {
      ++mCounters.mFlowGone;
    } else {
      ++mCounters.mOutcomeUnknown;
    }
    Open();
  }

  const RequestLoadSettings& mSettings;
  std::ofstream& mRecord;
  uint32_t mFlowIndex;
  UdpSocket mSocket;
  boost::asio::steady_timer mTimer;
  uint64_t mOpenId = 0;
  uint64_t mFlowId = 0;
  std::string mTicket;
  std::string mTerms;
  uint64_t mLastRequestNumber = 0;
  uint64_t mBodySequence = 0;
  std::string mBody;
  bool mIsIdempotent = true;
  steady_clock::time_point mDeadline;
  std::set<uint32_t> mReceivedPieces;
  bool mAwaitingAnswer = false;
  bool mStopped = false;
};

RequestLoad::RequestLoad(boost::asio::io_context& aContext, const RequestLoadSettings& aSettings)
  : mSettings(aSettings)
  , mRecord(aSettings.mRecordPath, std::ios::app)
{
  for (uint32_t index = 0; index < aSettings.mFlows; ++index) {
    mFlows.push_back(std::make_unique<Flow>(aContext, mSettings, mRecord, index));
  }
}

RequestLoad::~RequestLoad() = default;

void
RequestLoad::Start()
{
  for (const auto& flow : mFlows) {
    flow->Open();
  }
}

void
RequestLoad::Stop()
{
  for (const auto& flow : mFlows) {
    flow->Stop();
  }
  mRecord.flush();
}

void
RequestLoad::Report(nlohmann::json& aResult) const
{
  Counters total;
  for (const auto& flow : mFlows) {
    total.mRequests += flow->mCounters.mRequests;
    total.mAnswered += flow->mCounters.mAnswered;
    total.mWrongAnswers += flow->mCounters.mWrongAnswers;
    total.mNotRun += flow->mCounters.mNotRun;
    total.mOutcomeUnknown += flow->mCounters.mOutcomeUnknown;
    total.mFlowGone += flow->mCounters.mFlowGone;
    total.mNoAnswer += flow->mCounters.mNoAnswer;
  }
  aResult["requests"] = total.mRequests;
  aResult["answered"] = total.mAnswered;
  aResult["wrong_answers"] = total.mWrongAnswers;
  aResult["not_run"] = total.mNotRun;
  aResult["outcome_unknown"] = total.mOutcomeUnknown;
  aResult["flow_gone"] = total.mFlowGone;
  aResult["no_answer"] = total.mNoAnswer;
}

} // namespace CallerStandIn
