#include "eventlog/log.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using std::chrono::seconds;

TEST_GROUP(Log)
{
  std::array<int, 2> mPipe{};
  Base::TimePoint mNow{ seconds(100) };

  void setup() override
  {
    CHECK_EQUAL(0, pipe(mPipe.data()));
    CHECK_EQUAL(0, fcntl(mPipe[0], F_SETFL, O_NONBLOCK));
  }

  void teardown() override
  {
    close(mPipe[0]);
    close(mPipe[1]);
  }

  EventLog::Settings Settings(size_t aMaxBytes, uint32_t aLines) const
  {
    EventLog::Settings settings;
    settings.mDescriptor = mPipe[1];
    settings.mMaxBufferedBytes = aMaxBytes;
    settings.mLinesPerSecond = aLines;
    return settings;
  }

  std::vector<nlohmann::json> Read() const
  {
    std::string text;
    std::array<char, 65536> block{};
    for (ssize_t size = 0; (size = read(mPipe[0], block.data(), block.size())) > 0;) {
      text.append(block.data(), static_cast<size_t>(size));
    }
    std::vector<nlohmann::json> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(nlohmann::json::parse(line));
    }
    return lines;
  }
};

// Guards against a received text that fills the buffer of the log.
TEST(Log, LongValuesAreCut)
{
  constexpr size_t kMaxLineBytes = 2048;
  EventLog::Log log(Settings(size_t{ 256 } * 1024, 100));
  log.Add(EventLog::Line("refused").Add("reason", std::string(size_t{ 1024 } * 1024, 'a')), mNow);
  log.Flush(mNow);
  const std::vector<nlohmann::json> lines = Read();
  LONGS_EQUAL(1, lines.size());
  CHECK_TRUE(lines[0].dump().size() < kMaxLineBytes);
}

// Guards against invalid JSON when a text contains quotes, control characters or invalid UTF-8.
TEST(Log, EachLineIsAJsonObject)
{
  EventLog::Log log(Settings(10000, 10));
  log.Add(EventLog::Line("odd").Add("text", "a\"b\n\xff").Add("number", -4), mNow);
  log.Flush(mNow);
  const auto lines = Read();
  LONGS_EQUAL(1, lines.size());
  STRCMP_EQUAL("odd", lines[0]["event"].get<std::string>().c_str());
  LONGS_EQUAL(-4, lines[0]["number"].get<int>());
}

// Guards against a log volume that grows with the load, and against uncounted suppressed lines.
TEST(Log, LimitsLinesPerKindAndCountsSuppressed)
{
  EventLog::Log log(Settings(100000, 3));
  for (int i = 0; i < 10; ++i) {
    log.Add(EventLog::Line("busy"), mNow);
  }
  log.Add(EventLog::Line("other"), mNow);
  mNow += seconds(1);
  log.Flush(mNow);
  const auto lines = Read();
  LONGS_EQUAL(5, lines.size());
  LONGS_EQUAL(7, lines[4]["lines"].get<int>());
}

// Guards against a process that blocks on a log pipe that nobody reads.
TEST(Log, DropsLinesWhenTheReaderStalls)
{
  EventLog::Log log(Settings(2000, 1000000));
  for (int i = 0; i < 5000; ++i) {
    log.Add(EventLog::Line("event").Add("text", std::string(100, 'x')), mNow);
    log.Flush(mNow);
  }
  CHECK_TRUE(log.Dropped() > 0);
}
