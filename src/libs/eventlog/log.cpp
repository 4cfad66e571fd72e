#include "eventlog/log.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <chrono>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace EventLog {

namespace {

constexpr std::chrono::seconds kSecond{ 1 };

/// \return true if a write of PIPE_BUF bytes would not block.
bool
IsWritable(int aDescriptor)
{
  pollfd item{ aDescriptor, POLLOUT, 0 };
  return poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

} // namespace

Log::Log(const Settings& aSettings)
  : mSettings(aSettings)
{
}

void
Log::Add(const Line& aLine, Base::TimePoint aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  KindState& kind = mKinds[aLine.Kind()];
  if (aNow - kind.mSecondStart >= kSecond) {
    kind.mSecondStart = aNow;
    kind.mLinesInSecond = 0;
  }
  if (kind.mLinesInSecond >= mSettings.mLinesPerSecond) {
    ++kind.mSuppressed;
    return;
  }
  ++kind.mLinesInSecond;
  Append(aLine.Kind(), aLine.Fields(), aNow);
}

void
Log::Flush(Base::TimePoint aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  AppendSuppressedCounts(aNow);
  while (!mBuffer.empty() && IsWritable(mSettings.mDescriptor)) {
    const size_t size = std::min<size_t>(mBuffer.size(), PIPE_BUF);
    const ssize_t written = write(mSettings.mDescriptor, mBuffer.data(), size);
    if (written <= 0) {
      return;
    }
    mBuffer.erase(0, static_cast<size_t>(written));
  }
}

uint64_t
Log::Dropped() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mDropped;
}

void
Log::Append(const std::string& aKind, const std::string& aFields, Base::TimePoint aNow)
{
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(aNow.time_since_epoch());
  const std::string line =
    absl::StrCat("{\"t_ms\":", now.count(), ",\"event\":\"", aKind, "\"", aFields, "}\n");
  if (mBuffer.size() + line.size() > mSettings.mMaxBufferedBytes) {
    ++mDropped;
    return;
  }
  mBuffer += line;
}

void
Log::AppendSuppressedCounts(Base::TimePoint aNow)
{
  for (auto& [name, kind] : mKinds) {
    if (kind.mSuppressed > 0 && aNow - kind.mSecondStart >= kSecond) {
      Append(
        "suppressed", absl::StrCat(",\"kind\":\"", name, "\",\"lines\":", kind.mSuppressed), aNow);
      kind.mSuppressed = 0;
    }
  }
}

} // namespace EventLog
