#include "base/runtimeclock.h"

#include <atomic>

namespace Base {

namespace {

// now() returns the steady clock plus sOffset, or sPausedAt while the clock is paused.
std::atomic<bool> sPaused{ false };
std::atomic<RuntimeClock::rep> sPausedAt{ 0 };
std::atomic<RuntimeClock::rep> sOffset{ 0 };

RuntimeClock::rep
SteadyNow()
{
  const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<RuntimeClock::duration>(sinceStart).count();
}

} // namespace

RuntimeClock::time_point
RuntimeClock::now() noexcept
{
  const rep count = sPaused ? sPausedAt.load() : SteadyNow() + sOffset.load();
  return time_point(duration(count));
}

void
RuntimeClock::Pause()
{
  sPausedAt = now().time_since_epoch().count();
  sPaused = true;
}

void
RuntimeClock::Advance(duration aStep)
{
  sPausedAt += aStep.count();
}

void
RuntimeClock::Resume()
{
  sOffset = sPausedAt - SteadyNow();
  sPaused = false;
}

} // namespace Base
