#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace Base {

/// Holds the newest immutable version of a value. Writers replace it as a whole; readers keep the
/// version that they loaded for as long as they need it.
template<typename T>
class Snapshot
{
public:
  explicit Snapshot(std::shared_ptr<const T> aInitial)
    : mValue(std::move(aInitial))
  {
  }

  void Publish(std::shared_ptr<const T> aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mValue = std::move(aValue);
    mRevision.fetch_add(1, std::memory_order_release);
  }

  std::shared_ptr<const T> Load() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mValue;
  }

  /// \return a number that grows with each Publish.
  uint64_t Revision() const { return mRevision.load(std::memory_order_acquire); }

private:
  mutable std::mutex mMutex;
  std::shared_ptr<const T> mValue;
  std::atomic<uint64_t> mRevision{ 1 };
};

/// Per-thread cache of a Snapshot. Takes the lock only when the value has changed, which keeps the
/// lock off the packet path.
template<typename T>
class SnapshotReader
{
public:
  explicit SnapshotReader(const Snapshot<T>& aSource)
    : mSource(aSource)
  {
  }

  const std::shared_ptr<const T>& Load()
  {
    const uint64_t revision = mSource.Revision();
    if (revision != mRevision) {
      mValue = mSource.Load();
      mRevision = revision;
    }
    return mValue;
  }

private:
  const Snapshot<T>& mSource;
  std::shared_ptr<const T> mValue;
  uint64_t mRevision = 0;
};

} // namespace Base
