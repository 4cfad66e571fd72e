#include "admission/ejection.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace {

const Base::TimePoint kStart(100s);

Base::Endpoint
Upstream(uint16_t aNumber)
{
  return { 0x7F000001, aNumber };
}

Admission::HealthTable
TableOf(uint16_t aCount)
{
  Admission::HealthTable table;
  for (uint16_t i = 0; i < aCount; ++i) {
    table[Upstream(i)];
  }
  return table;
}

void
FailTimes(Admission::HealthTable& aTable, uint16_t aNumber, int aTimes, Base::TimePoint aNow)
{
  for (int i = 0; i < aTimes; ++i) {
    Admission::RecordOutcome(aTable, Upstream(aNumber), false, aNow);
  }
}

int
CountEjected(const Admission::HealthTable& aTable, Base::TimePoint aNow)
{
  int count = 0;
  for (const auto& [endpoint, health] : aTable) {
    count += Admission::IsEjected(health, aNow) ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_GROUP(Ejection){};

// Guards against a fault of all upstreams causing the ejection of the whole availability zone.
TEST(Ejection, EjectsAtMostAThird)
{
  for (uint16_t size = 1; size <= 12; ++size) {
    Admission::HealthTable table = TableOf(size);
    for (uint16_t i = 0; i < size; ++i) {
      FailTimes(table, i, 20, kStart);
    }
    LONGS_EQUAL(size / 3, CountEjected(table, kStart));
  }
}

// Guards against ejection because of occasional failures among successes.
TEST(Ejection, NeedsFailuresInARow)
{
  Admission::HealthTable table = TableOf(3);
  for (int i = 0; i < 10; ++i) {
    FailTimes(table, 0, 4, kStart);
    Admission::RecordOutcome(table, Upstream(0), true, kStart);
  }
  LONGS_EQUAL(0, CountEjected(table, kStart));
}

// Guards against ejections of constant duration for a failing upstream, and against permanent
// ejection.
TEST(Ejection, LastsLongerEachTimeAndEnds)
{
  Admission::HealthTable table = TableOf(3);
  FailTimes(table, 0, 5, kStart);
  CHECK_TRUE(Admission::IsEjected(table[Upstream(0)], kStart + 4999ms));
  CHECK_FALSE(Admission::IsEjected(table[Upstream(0)], kStart + 5s));
  FailTimes(table, 0, 1, kStart + 5s);
  CHECK_TRUE(Admission::IsEjected(table[Upstream(0)], kStart + 14s));
  CHECK_FALSE(Admission::IsEjected(table[Upstream(0)], kStart + 15s));
}
