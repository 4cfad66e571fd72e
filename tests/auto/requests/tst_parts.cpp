#include "fixture.h"
#include "requests/answers.h"
#include "requests/retrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace RequestsTest;
using namespace Requests;

namespace {

const Ticket kTicket{ { Base::InstanceId(4), Base::Incarnation(0x1122334455667788) },
                      Base::FlowNumber(99),
                      kUpstream,
                      Base::ServiceGeneration(3) };

const TicketKey kKey = MakeTicketKey("key");

void
Add(Window& aWindow, uint64_t aNumber)
{
  AddEntry(aWindow, Base::RequestNumber(aNumber), 1);
}

bool
HasEntry(Window& aWindow, uint64_t aNumber)
{
  return FindEntry(aWindow, Base::RequestNumber(aNumber)) != nullptr;
}

} // namespace

TEST_GROUP(Parts){};

TEST(Parts, TicketOpensForItsAddresses)
{
  const auto opened = OpenTicket(kKey, SealTicket(kKey, kTicket, kAddresses), kAddresses);
  CHECK_TRUE(opened.ok());
  CHECK_TRUE(IsSameRun(opened->mOwner, kTicket.mOwner));
  CHECK_TRUE(opened->mFlow == kTicket.mFlow && opened->mUpstream == kTicket.mUpstream);
  CHECK_TRUE(opened->mGeneration == kTicket.mGeneration);
}

// Guards against accepting forged or corrupt tickets, tickets sealed with another key, and tickets
// of another caller or service.
TEST(Parts, TicketIsRefusedAfterAnyChange)
{
  const std::string sealed = SealTicket(kKey, kTicket, kAddresses);
  for (size_t bit = 0; bit < sealed.size() * 8; ++bit) {
    std::string damaged = sealed;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    CHECK_FALSE(OpenTicket(kKey, damaged, kAddresses).ok());
  }
  CHECK_FALSE(OpenTicket(kKey, sealed.substr(1), kAddresses).ok());
  CHECK_FALSE(OpenTicket(MakeTicketKey("other"), sealed, kAddresses).ok());
  CHECK_FALSE(OpenTicket(kKey, sealed, { { 1, 1 }, kService }).ok());
  CHECK_FALSE(OpenTicket(kKey, sealed, { kCaller, { 1, 1 } }).ok());
}

// Guards against a window that loses numbers inside it or keeps numbers below it.
TEST(Parts, WindowHoldsTheNewestNumbers)
{
  Window window;
  Add(window, 1);
  Add(window, 64);
  CHECK_TRUE(HasEntry(window, 1));
  Add(window, 65);
  CHECK_FALSE(HasEntry(window, 1));
  UNSIGNED_LONGS_EQUAL(2, window.mBase.mValue);
  Add(window, 2);
  CHECK_TRUE(HasEntry(window, 2) && HasEntry(window, 64) && HasEntry(window, 65));
}

// Guards against integer overflow at the largest request number.
TEST(Parts, WindowMovesToTheLargestNumber)
{
  Window window;
  Add(window, 5);
  Add(window, UINT64_MAX);
  UNSIGNED_LONGS_EQUAL(UINT64_MAX - 63, window.mBase.mValue);
  UNSIGNED_LONGS_EQUAL(1, window.mEntries.size());
}

TEST(Parts, PiecesCompleteInAnyOrder)
{
  AnswerAssembly assembly;
  CHECK_TRUE(AddPiece(assembly, 2, 3, "c", 100) == PieceResult::Added);
  CHECK_TRUE(AddPiece(assembly, 0, 3, "a", 100) == PieceResult::Added);
  CHECK_TRUE(AddPiece(assembly, 0, 3, "x", 100) == PieceResult::Duplicate);
  CHECK_TRUE(AddPiece(assembly, 1, 2, "x", 100) == PieceResult::Invalid);
  CHECK_TRUE(AddPiece(assembly, 3, 3, "x", 100) == PieceResult::Invalid);
  CHECK_TRUE(AddPiece(assembly, 0, 0, "x", 100) == PieceResult::Invalid);
  CHECK_TRUE(AddPiece(assembly, 1, 3, std::string(99, 'x'), 100) == PieceResult::TooLarge);
  CHECK_TRUE(AddPiece(assembly, 1, 3, "b", 100) == PieceResult::Complete);
  CHECK_TRUE(assembly.mPieces == std::vector<std::string>({ "a", "b", "c" }));
}

// Guards against a store that exceeds its size limit or evicts the newest answers.
TEST(Parts, AnswerStoreEvictsTheOldest)
{
  AnswerStore store;
  const Base::TimePoint now;
  for (uint64_t i = 0; i < 100; ++i) {
    const CallKey key{ Base::FlowNumber(1), Base::RequestNumber(i) };
    StoreAnswer(store, key, { std::string(1000, 'x') }, 5000, now + std::chrono::seconds(1));
    CHECK_TRUE(store.mBytes <= 5000);
    CHECK_TRUE(FindAnswer(store, key, now) != nullptr);
  }
  CHECK_TRUE(FindAnswer(store, { Base::FlowNumber(1), Base::RequestNumber(0) }, now) == nullptr);
  TrimAnswers(store, 5000, now + std::chrono::seconds(1));
  UNSIGNED_LONGS_EQUAL(0, store.mBytes);
}

// Guards against retries exceeding 10 % of the requests of the last 10 s.
TEST(Parts, RetryBudgetIsATenthOfRecentRequests)
{
  RetryBudget budget;
  const Base::TimePoint start(std::chrono::seconds(500));
  for (int i = 0; i < 25; ++i) {
    CountRequest(budget, start);
  }
  CHECK_TRUE(TakeRetry(budget, 100, start));
  CHECK_TRUE(TakeRetry(budget, 100, start + std::chrono::seconds(9)));
  CHECK_FALSE(TakeRetry(budget, 100, start + std::chrono::seconds(9)));
  CHECK_FALSE(TakeRetry(budget, 100, start + std::chrono::seconds(10)));
}

// Guards against events that share a counter name or have the name of another event.
TEST(Parts, EveryEventHasItsOwnCounter)
{
  std::set<std::string> names;
  for (size_t i = 0; i < static_cast<size_t>(Event::Count); ++i) {
    names.insert(CounterName(static_cast<Event>(i)));
  }
  UNSIGNED_LONGS_EQUAL(static_cast<size_t>(Event::Count), names.size());
  STRCMP_EQUAL("lw_request_flow_transfers_total{reason=\"confirmed\"}",
               CounterName(Event::TransferConfirmed));
}
