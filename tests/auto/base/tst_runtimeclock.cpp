#include "base/runtimeclock.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(RuntimeClock){ void teardown() override{ Base::RuntimeClock::Resume();
}
}
;

// Guards against a paused clock that still follows real time.
TEST(RuntimeClock, MovesOnlyByAdvanceWhilePaused)
{
  Base::RuntimeClock::Pause();
  const Base::TimePoint start = Base::RuntimeClock::now();
  CHECK_TRUE(Base::RuntimeClock::now() == start);
  Base::RuntimeClock::Advance(5s);
  CHECK_TRUE(Base::RuntimeClock::now() == start + 5s);
}

// Guards against a clock that jumps back on resume.
TEST(RuntimeClock, DoesNotGoBackOnResume)
{
  Base::RuntimeClock::Pause();
  Base::RuntimeClock::Advance(1h);
  const Base::TimePoint paused = Base::RuntimeClock::now();
  Base::RuntimeClock::Resume();
  CHECK_TRUE(Base::RuntimeClock::now() >= paused);
}
