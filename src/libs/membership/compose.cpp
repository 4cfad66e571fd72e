#include "membership/compose.h"

#include "membership/digest.h"
#include "membership/probing.h"
#include "membership/records.h"

#include <algorithm>

namespace Membership {

namespace {

using lw::membership::Message;

/// Limit of datagrams in reply to one message. The peer pulls the rest later.
constexpr size_t kMaxReplyDatagrams = 4;

} // namespace

void
AddCommonFields(const State& aState, Base::TimePoint aNow, Message& aMessage)
{
  const auto uptime = aNow - aState.mStartedAt;
  aMessage.set_clock_ms(std::chrono::duration_cast<std::chrono::milliseconds>(uptime).count());
  aMessage.set_joining(!aState.mReady);
  if (aMessage.digest().empty()) {
    AddOwnDigest(aState, aMessage);
  }
}

void
PiggybackDeltas(State& aState, const Settings& aSettings, Base::TimePoint aNow, Message& aMessage)
{
  size_t bytes = aMessage.ByteSizeLong();
  for (auto& [id, record] : aState.mRecords) {
    if (aNow > record.mDisseminateUntil) {
      record.mRemainingSends = 0;
    }
    if (record.mRemainingSends == 0) {
      continue;
    }
    const size_t left = aSettings.mMaxPayload - std::min(bytes, aSettings.mMaxPayload);
    const auto delta =
      MakeDelta(aState, record, record.mDisseminateFrom, record.mDisseminateFrom, aNow, left);
    const size_t size = delta.ByteSizeLong() + 3;
    if (bytes + size > aSettings.mMaxPayload) {
      return;
    }
    bytes += size;
    *aMessage.add_deltas() = delta;
    --record.mRemainingSends;
  }
}

void
PiggybackRumors(State& aState, const Settings& aSettings, Base::TimePoint aNow, Message& aMessage)
{
  size_t bytes = aMessage.ByteSizeLong();
  for (auto& [id, record] : aState.mRecords) {
    if (record.mRemainingRumorSends == 0 || record.mHealth == Health::Alive) {
      continue;
    }
    const auto rumor = MakeRumor(record, aNow);
    bytes += rumor.ByteSizeLong() + 2;
    if (bytes > aSettings.mMaxPayload) {
      return;
    }
    *aMessage.add_rumors() = rumor;
    --record.mRemainingRumorSends;
  }
}

Message
MakeGossip(State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  Message message;
  AddFullDigest(aState, aNow, message);
  AddCommonFields(aState, aNow, message);
  PiggybackRumors(aState, aSettings, aNow, message);
  PiggybackDeltas(aState, aSettings, aNow, message);
  return message;
}

void
ReplyWriter::AddDelta(const Record& aRecord,
                      uint32_t aFrom,
                      uint32_t aRemovals,
                      Base::TimePoint aNow)
{
  const auto delta = MakeDelta(mState, aRecord, aFrom, aRemovals, aNow, mSettings.mMaxPayload / 2);
  const size_t bytes = mMessages.back().ByteSizeLong() + delta.ByteSizeLong() + 3;
  if (bytes > mSettings.mMaxPayload) {
    if (mMessages.size() >= kMaxReplyDatagrams) {
      return;
    }
    mMessages.emplace_back();
  }
  *mMessages.back().add_deltas() = delta;
}

} // namespace Membership
