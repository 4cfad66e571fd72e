#pragma once

#include "base/runtimeclock.h"
#include "eventlog/line.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace EventLog {

/// Limits of a log.
struct Settings
{
  int mDescriptor = 1;
  /// Bytes that wait for the reader of the descriptor; lines beyond it are dropped and counted.
  size_t mMaxWaitingBytes = size_t{ 256 } * 1024;
  /// Lines of one kind in a second; the rest is counted and told in the next second.
  uint32_t mLinesPerSecond = 100;
};

/// Structured log with bounded volume that never blocks its callers. May be used by several
/// threads.
class Log
{
public:
  explicit Log(const Settings& aSettings);

  void Add(const Line& aLine, Base::TimePoint aNow);

  /// Writes what the descriptor takes without blocking. To be called several times a second.
  void Flush(Base::TimePoint aNow);

  /// \return lines that were dropped because the descriptor took nothing.
  uint64_t Dropped() const;

private:
  struct KindState
  {
    Base::TimePoint mSecond;
    uint32_t mLines = 0;
    uint64_t mSuppressed = 0;
  };

  void Append(const std::string& aKind, const std::string& aFields, Base::TimePoint aNow);
  void TellSuppressed(Base::TimePoint aNow);

  const Settings mSettings;
  mutable std::mutex mMutex;
  std::map<std::string, KindState> mKinds;
  std::string mWaiting;
  uint64_t mDropped = 0;
};

} // namespace EventLog
