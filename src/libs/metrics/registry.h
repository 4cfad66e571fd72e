#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Metrics {

/// Monotonic counter. Each thread adds to a shard of its own, so that the packet path takes no lock
/// and threads do not share a cache line.
class Counter
{
public:
  void Add(uint64_t aCount = 1);

  /// \return the sum over all shards.
  uint64_t Value() const;

private:
  static constexpr size_t kShards = 16;
  static constexpr size_t kCacheLineBytes = 64;
  struct alignas(kCacheLineBytes) Shard
  {
    std::atomic<uint64_t> mCount{ 0 };
  };
  std::array<Shard, kShards> mShards;
};

/// Value that can increase and decrease.
class Gauge
{
public:
  void Set(int64_t aValue);
  int64_t Value() const;

private:
  std::atomic<int64_t> mValue{ 0 };
};

/// Distribution of durations in fixed buckets, in milliseconds.
class Histogram
{
public:
  /// Upper bounds of the buckets; longer durations are counted in the +Inf bucket.
  static constexpr std::array<int64_t, 10> kBoundsMs{ 1, 2, 5, 10, 25, 50, 100, 250, 1000, 5000 };

  void Observe(std::chrono::nanoseconds aDuration);

  /// Appends the histogram in the Prometheus text format.
  void AppendText(const std::string& aName, std::string& aText) const;

private:
  std::array<std::atomic<uint64_t>, kBoundsMs.size() + 1> mCounts{};
  std::atomic<uint64_t> mSumMicroseconds{ 0 };
};

/// Metrics of a program by name. Look up a metric once and keep the reference, which stays valid
/// for the lifetime of the registry.
class Registry
{
public:
  /// \param aName in Prometheus form, with labels if any, for example
  /// drops_total{reason="malformed"}.
  Counter& CounterFor(const std::string& aName);
  Gauge& GaugeFor(const std::string& aName);
  /// \param aName without labels.
  Histogram& HistogramFor(const std::string& aName);

  /// \return all values in the Prometheus text format, sorted by name.
  std::string PrometheusText() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::unique_ptr<Counter>> mCounters;
  std::map<std::string, std::unique_ptr<Gauge>> mGauges;
  std::map<std::string, std::unique_ptr<Histogram>> mHistograms;
};

} // namespace Metrics
