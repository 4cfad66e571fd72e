#pragma once

#include "base/runtimeclock.h"
#include "eventlog/line.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace EventLog {

/// Output descriptor and limits of a log.
struct Settings
{
  int mDescriptor = 1;
  /// Size of the buffer for unwritten lines; further lines are dropped and counted.
  size_t mMaxBufferedBytes = size_t{ 256 } * 1024;
  /// Lines of one kind in a second; the number of suppressed lines is logged afterwards.
  uint32_t mLinesPerSecond = 100;
};

/// Structured log with bounded volume that never blocks its callers. May be used by several
/// threads.
class Log
{
public:
  explicit Log(const Settings& aSettings);

  void Add(const Line& aLine, Base::TimePoint aNow);

  /// Writes as many buffered bytes as the descriptor accepts without blocking. Call it several
  /// times a second.
  void Flush(Base::TimePoint aNow);

  /// \return the number of lines that were dropped because the buffer was full.
  uint64_t Dropped() const;

private:
  struct KindState
  {
    Base::TimePoint mSecondStart;
    uint32_t mLinesInSecond = 0;
    uint64_t mSuppressed = 0;
  };

  void Append(const std::string& aKind, const std::string& aFields, Base::TimePoint aNow);
  void AppendSuppressedCounts(Base::TimePoint aNow);

  const Settings mSettings;
  mutable std::mutex mMutex;
  std::map<std::string, KindState> mKinds;
  std::string mBuffer;
  uint64_t mDropped = 0;
};

} // namespace EventLog
