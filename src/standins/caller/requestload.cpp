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

constexpr milliseconds kResendAfter{ 250 };
/// Time after the deadline in which a late answer is still awaited.
constexpr milliseconds kGrace{ 1000 };

struct Counts
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
       uint32_t aNumber)
    : mSettings(aSettings)
    , mRecord(aRecord)
    , mNumber(aNumber)
    , mSocket(aContext, aSettings.mIngress, [this](absl::string_view aText) { Handle(aText); })
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

  Counts mCounts;

private:
  void SendOpen()
  {
    lw::caller::CallerPacket packet;
    packet.mutable_open()->set_open_id(mOpenId);
    packet.mutable_open()->set_client(mSettings.mCallerName);
    packet.mutable_open()->set_terms(mTerms);
    mSocket.Send(packet.SerializeAsString());
    ArmTimer(kResendAfter);
  }

  void SendNext()
  {
    ++mLastRequestNumber;
    ++mBodyNumber;
    ++mCounts.mRequests;
    mBody = absl::StrCat(mSettings.mCallerName, "-", mNumber, "-", mBodyNumber);
    // Every third request must not run twice.
    mIsRepeatable = mBodyNumber % 3 != 0;
    mDeadline = steady_clock::now() + mSettings.mDeadline;
    mPieces.clear();
    mWaiting = true;
    SendCurrent();
  }

  void SendCurrent()
  {
    const auto left =
      std::chrono::duration_cast<milliseconds>(mDeadline - steady_clock::now()).count();
    lw::caller::CallerPacket packet;
    lw::caller::Request* request = packet.mutable_request();
    request->set_ticket(mTicket);
    request->set_number(mLastRequestNumber);
    request->set_kind(mIsRepeatable ? mSettings.mRepeatableKind : mSettings.mUnrepeatableKind);
    request->set_repeatable(mIsRepeatable);
    request->set_deadline_ms(left > 0 ? static_cast<uint32_t>(left) : 1);
    request->set_body(mBody);
    mSocket.Send(packet.SerializeAsString());
    ArmTimer(kResendAfter);
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
    } else if (!mWaiting) {
      SendNext();
    } else if (steady_clock::now() < mDeadline) {
      SendCurrent();
    } else if (steady_clock::now() < mDeadline + kGrace) {
      ArmTimer(kResendAfter);
    } else {
      ++mCounts.mNoAnswer;
      End();
    }
  }

  void End()
  {
    mWaiting = false;
    ArmTimer(mSettings.mRequestInterval);
  }

  void Handle(absl::string_view aText)
  {
    lw::caller::EntryPacket packet;
    if (!packet.ParseFromArray(aText.data(), static_cast<int>(aText.size()))) {
      ++mCounts.mWrongAnswers;
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
    mFlow = aOpened.flow();
    SendNext();
  }

  void HandlePiece(const lw::caller::AnswerPiece& aPiece)
  {
    if (aPiece.flow() != mFlow || aPiece.number() != mLastRequestNumber || !mWaiting) {
      return;
    }
    const std::string expected =
      absl::StrCat(mSettings.mService, ":", mBody, ":", aPiece.index(), ";");
    if (aPiece.body() != expected) {
      ++mCounts.mWrongAnswers;
      return;
    }
    mPieces.insert(aPiece.index());
    if (mPieces.size() < aPiece.total()) {
      return;
    }
    ++mCounts.mAnswered;
    mRecord << "answered " << mBody << "\n";
    End();
  }

  void HandleRefusal(const lw::caller::Refusal& aRefusal)
  {
    if (aRefusal.open_id() != 0) {
      return; // The timer opens the flow again.
    }
    if (aRefusal.flow() != mFlow || aRefusal.number() != mLastRequestNumber || !mWaiting) {
      return;
    }
    if (aRefusal.outcome() == lw::caller::NOT_RUN) {
      ++mCounts.mNotRun;
      mRecord << "not_run " << mBody << "\n";
      End();
      return;
    }
    mWaiting = false;
    if (aRefusal.outcome() == lw::caller::FLOW_GONE) {
      ++mCounts.mFlowGone;
    } else {
      ++mCounts.mOutcomeUnknown;
    }
    Open();
  }

  const RequestLoadSettings& mSettings;
  std::ofstream& mRecord;
  uint32_t mNumber;
  UdpSocket mSocket;
  boost::asio::steady_timer mTimer;
  uint64_t mOpenId = 0;
  uint64_t mFlow = 0;
  std::string mTicket;
  std::string mTerms;
  uint64_t mLastRequestNumber = 0;
  uint64_t mBodyNumber = 0;
  std::string mBody;
  bool mIsRepeatable = true;
  steady_clock::time_point mDeadline;
  std::set<uint32_t> mPieces;
  bool mWaiting = false;
  bool mStopped = false;
};

RequestLoad::RequestLoad(boost::asio::io_context& aContext, const RequestLoadSettings& aSettings)
  : mSettings(aSettings)
  , mRecord(aSettings.mRecordPath, std::ios::app)
{
  for (uint32_t number = 0; number < aSettings.mFlows; ++number) {
    mFlows.push_back(std::make_unique<Flow>(aContext, mSettings, mRecord, number));
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
  Counts sum;
  for (const auto& flow : mFlows) {
    sum.mRequests += flow->mCounts.mRequests;
    sum.mAnswered += flow->mCounts.mAnswered;
    sum.mWrongAnswers += flow->mCounts.mWrongAnswers;
    sum.mNotRun += flow->mCounts.mNotRun;
    sum.mOutcomeUnknown += flow->mCounts.mOutcomeUnknown;
    sum.mFlowGone += flow->mCounts.mFlowGone;
    sum.mNoAnswer += flow->mCounts.mNoAnswer;
  }
  aResult["requests"] = sum.mRequests;
  aResult["answered"] = sum.mAnswered;
  aResult["wrong_answers"] = sum.mWrongAnswers;
  aResult["not_run"] = sum.mNotRun;
  aResult["outcome_unknown"] = sum.mOutcomeUnknown;
  aResult["flow_gone"] = sum.mFlowGone;
  aResult["no_answer"] = sum.mNoAnswer;
}

} // namespace CallerStandIn
