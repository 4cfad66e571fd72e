#include "metrics/registry.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace Metrics {

namespace {

size_t
ThreadIndex()
{
  static std::atomic<size_t> sNext{ 0 };
  thread_local const size_t sIndex = sNext.fetch_add(1);
  return sIndex;
}

std::string
FamilyName(const std::string& aName)
{
  return aName.substr(0, aName.find('{'));
}

template<typename Map>
void
AppendValues(const Map& aValues, const char* aType, std::string& aText)
{
  std::string lastFamily;
  for (const auto& [name, value] : aValues) {
    const std::string family = FamilyName(name);
    if (family != lastFamily) {
      absl::StrAppend(&aText, "# TYPE ", family, " ", aType, "\n");
      lastFamily = family;
    }
    absl::StrAppend(&aText, name, " ", value->Value(), "\n");
  }
}

template<typename Map>
auto&
FindOrAdd(Map& aMap, const std::string& aName)
{
  auto& metric = aMap[aName];
  if (metric == nullptr) {
    metric = std::make_unique<typename Map::mapped_type::element_type>();
  }
  return *metric;
}

} // namespace

void
Counter::Add(uint64_t aCount)
{
  mShards[ThreadIndex() % kShards].mCount.fetch_add(aCount, std::memory_order_relaxed);
}

uint64_t
Counter::Value() const
{
  uint64_t sum = 0;
  for (const Shard& shard : mShards) {
    sum += shard.mCount.load(std::memory_order_relaxed);
  }
  return sum;
}

void
Gauge::Set(int64_t aValue)
{
  mValue = aValue;
}

int64_t
Gauge::Value() const
{
  return mValue;
}

void
Histogram::Observe(std::chrono::nanoseconds aDuration)
{
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  const auto* bound = std::lower_bound(kBoundsMs.begin(), kBoundsMs.end(), count);
  mCounts[static_cast<size_t>(bound - kBoundsMs.begin())].fetch_add(1, std::memory_order_relaxed);
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  mSumMicroseconds.fetch_add(static_cast<uint64_t>(std::max<int64_t>(microseconds, 0)),
                             std::memory_order_relaxed);
}

void
Histogram::AppendText(const std::string& aName, std::string& aText) const
{
  absl::StrAppend(&aText, "# TYPE ", aName, " histogram\n");
  uint64_t sum = 0;
  for (size_t i = 0; i < mCounts.size(); ++i) {
    sum += mCounts[i].load(std::memory_order_relaxed);
    const std::string bound = i < kBoundsMs.size() ? absl::StrCat(kBoundsMs[i]) : "+Inf";
    absl::StrAppend(&aText, aName, "_bucket{le=\"", bound, "\"} ", sum, "\n");
  }
  const uint64_t microseconds = mSumMicroseconds.load(std::memory_order_relaxed);
  absl::StrAppend(&aText, aName, "_sum ", static_cast<double>(microseconds) / 1000, "\n");
  absl::StrAppend(&aText, aName, "_count ", sum, "\n");
}

Counter&
Registry::CounterFor(const std::string& aName)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return FindOrAdd(mCounters, aName);
}

Gauge&
Registry::GaugeFor(const std::string& aName)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return FindOrAdd(mGauges, aName);
}

Histogram&
Registry::HistogramFor(const std::string& aName)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return FindOrAdd(mHistograms, aName);
}

std::string
Registry::PrometheusText() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::string text;
  AppendValues(mCounters, "counter", text);
  AppendValues(mGauges, "gauge", text);
  for (const auto& [name, histogram] : mHistograms) {
    histogram->AppendText(name, text);
  }
  return text;
}

} // namespace Metrics
