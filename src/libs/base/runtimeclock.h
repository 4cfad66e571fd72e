#pragma once

#include <chrono>

namespace Base {

/// Monotonic clock of the runtime, which tests can pause and advance explicitly. Meets the standard
/// Clock requirements, so that it can be used with boost::asio::basic_waitable_timer.
class RuntimeClock
{
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;

  /// Stops the clock at the current time.
  static void Pause();

  /// Moves a paused clock forward.
  /// \param aStep must not be negative.
  static void Advance(duration aStep);

  /// Resumes the clock from the time at which it was paused or to which it was advanced.
  static void Resume();
};

/// Point in time of RuntimeClock.
using TimePoint = RuntimeClock::time_point;

using Duration = RuntimeClock::duration;

} // namespace Base
