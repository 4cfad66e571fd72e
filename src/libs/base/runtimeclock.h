#pragma once

#include <chrono>

namespace Base {

/// The clock of the runtime. It is monotonic; tests pause it and advance it by hand. It meets the
/// standard Clock requirements, so that boost::asio::basic_waitable_timer<RuntimeClock> works with
/// it.
class RuntimeClock
{
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;

  /// Stops the clock at the present time.
  static void Pause();

  /// Moves a paused clock forward.
  /// \param aStep must not be negative.
  static void Advance(duration aStep);

  /// Lets the clock run again from the time it shows.
  static void Resume();
};

/// Point in time of the runtime's clock.
using TimePoint = RuntimeClock::time_point;

using Duration = RuntimeClock::duration;

} // namespace Base
