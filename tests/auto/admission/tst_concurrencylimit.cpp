#include "admission/concurrencylimit.h"
#include "admission/hangdetection.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace {

const Base::TimePoint kStart(100s);

Admission::ConcurrencyLimit
WarmLimit(uint32_t aSlots)
{
  Admission::ConcurrencyLimit limit;
  Admission::ApplyReport(limit, aSlots, 1, 1, kStart);
  return limit;
}

void
AnswerWindow(Admission::ConcurrencyLimit& aLimit, double aRatio, Base::TimePoint aNow)
{
  aLimit.mWindowLimited = true;
  for (int i = 0; i < 32; ++i) {
    Admission::OnAnswer(aLimit, aRatio, aNow);
  }
}

} // namespace

TEST_GROUP(ConcurrencyLimit){};

// Guards against sending a full load to a cold upstream immediately.
TEST(ConcurrencyLimit, RampsAColdUpstreamOverTenSeconds)
{
  Admission::ConcurrencyLimit limit;
  Admission::ApplyReport(limit, 11, 0, 0, kStart);
  LONGS_EQUAL(1, Admission::EffectiveLimit(limit, kStart));
  LONGS_EQUAL(6, Admission::EffectiveLimit(limit, kStart + 5s));
  LONGS_EQUAL(11, Admission::EffectiveLimit(limit, kStart + 10s));
}

// Guards against a second slow start of a warm upstream after its dispatcher failed.
TEST(ConcurrencyLimit, DoesNotRampAnUpstreamThatWorksAlready)
{
  Admission::ConcurrencyLimit limit;
  Admission::ApplyReport(limit, 3, 2, 0, kStart);
  CHECK_TRUE(Admission::EffectiveLimit(limit, kStart) >= 2);
}

// Guards against a limit that ignores shed work, and against one that drops to zero and blocks the
// upstream permanently.
TEST(ConcurrencyLimit, DecreasesOnShedToAtLeastOneSlot)
{
  Admission::ConcurrencyLimit limit = WarmLimit(8);
  Admission::OnOverload(limit, kStart + 1s);
  LONGS_EQUAL(5, Admission::EffectiveLimit(limit, kStart + 1s));
  // Simultaneous failures count as one event.
  Admission::OnOverload(limit, kStart + 1001ms);
  LONGS_EQUAL(5, Admission::EffectiveLimit(limit, kStart + 1001ms));
  for (int i = 0; i < 50; ++i) {
    Admission::OnOverload(limit, kStart + 2s + i * 200ms);
  }
  LONGS_EQUAL(1, Admission::EffectiveLimit(limit, kStart + 20s));
}

// Guards against decreasing the limit for a single long item, and against ignoring timeouts.
TEST(ConcurrencyLimit, DecreasesOnSeveralTimeoutsInAWindow)
{
  Admission::ConcurrencyLimit limit = WarmLimit(3);
  Admission::OnTimeout(limit, kStart + 1s);
  Admission::OnTimeout(limit, kStart + 1s);
  LONGS_EQUAL(3, Admission::EffectiveLimit(limit, kStart + 1s));
  AnswerWindow(limit, 1.0, kStart + 1s);
  Admission::OnTimeout(limit, kStart + 2s);
  LONGS_EQUAL(3, Admission::EffectiveLimit(limit, kStart + 2s));
  Admission::OnTimeout(limit, kStart + 2s);
  Admission::OnTimeout(limit, kStart + 2s);
  LONGS_EQUAL(2, Admission::EffectiveLimit(limit, kStart + 2s));
}

// Guards against a limit that never recovers or exceeds the slots of a recent report.
TEST(ConcurrencyLimit, RecoversByOneForEachWindowUpToTheReport)
{
  Admission::ConcurrencyLimit limit = WarmLimit(3);
  Admission::OnOverload(limit, kStart + 1s);
  LONGS_EQUAL(2, Admission::EffectiveLimit(limit, kStart + 1s));
  for (auto at = kStart + 10s; at < kStart + 13s; at += 1s) {
    Admission::ApplyReport(limit, 3, 2, 2, at);
    AnswerWindow(limit, 1.0, at);
  }
  LONGS_EQUAL(3, Admission::EffectiveLimit(limit, kStart + 12s));
}

// Guards against an upstream without reports that stays at one slot or is overloaded until it
// queues work.
TEST(ConcurrencyLimit, FollowsLatencyWithoutReports)
{
  Admission::ConcurrencyLimit limit;
  Base::TimePoint now = kStart;
  for (int i = 0; i < 3; ++i) {
    now += 1s;
    AnswerWindow(limit, 1.0, now);
  }
  LONGS_EQUAL(4, Admission::EffectiveLimit(limit, now));
  AnswerWindow(limit, 1.4, now + 1s);
  LONGS_EQUAL(3, Admission::EffectiveLimit(limit, now + 1s));
  AnswerWindow(limit, 1.0, now + 2s);
  LONGS_EQUAL(3, Admission::EffectiveLimit(limit, now + 2s));
}

// Guards against reports that never expire, and against a wrong reported load that blocks an
// upstream.
TEST(ConcurrencyLimit, TrustsAReportLessAsItAges)
{
  Admission::ConcurrencyLimit limit = WarmLimit(8);
  Admission::ApplyReport(limit, 8, 1000, 1, kStart);
  LONGS_EQUAL(4, Admission::EffectiveLimit(limit, kStart));
  LONGS_EQUAL(6, Admission::EffectiveLimit(limit, kStart + 1500ms));
  LONGS_EQUAL(8, Admission::EffectiveLimit(limit, kStart + 3s));
}

TEST_GROUP(HangDetection){};

// Guards against sending work to a hung upstream, and against never probing it again.
TEST(HangDetection, ProbesAHungUpstreamUntilItAnswers)
{
  Admission::HangState state;
  Admission::CheckForHang(state, kStart, 1s, kStart + 1s);
  CHECK_FALSE(state.mHung);
  Admission::CheckForHang(state, kStart, 1s, kStart + 1001ms);
  CHECK_TRUE(state.mHung);
  CHECK_FALSE(Admission::IsProbeDue(state, kStart + 2s));
  CHECK_TRUE(Admission::IsProbeDue(state, kStart + 2001ms));
  Admission::OnUpstreamResponse(state, kStart + 3s);
  CHECK_FALSE(state.mHung);
}

// Guards against treating an upstream as hung because of one slow item while it answers other work.
TEST(HangDetection, DoesNotMistakeOneSlowItemForAHang)
{
  Admission::HangState state;
  Admission::OnUpstreamResponse(state, kStart + 9s);
  Admission::CheckForHang(state, kStart, 1s, kStart + 9500ms);
  CHECK_FALSE(state.mHung);
}
