#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace RequestsTest;

namespace {

constexpr uint64_t kTermSeconds = 100;

/// Adds terms for one client to the service definition.
void
ConfigureClient(Node& aNode)
{
  auto service = std::make_shared<Config::ServiceView>(*aNode.mServices.mByAddress.begin()->second);
  lw::config::ClientTerms* terms = service->mDefinition.add_clients();
  terms->set_client("partner");
  terms->set_starting_share_permille(100);
  terms->set_growth_permille(50);
  terms->set_ceiling_permille(300);
  terms->set_term_seconds(kTermSeconds);
  aNode.mServices.mByAddress.begin()->second = service;
}

/// Opens a flow for the client.
/// \return the sealed terms record in the reply.
std::string
OpenWithTerms(Node& aNode, uint64_t aOpenId, const std::string& aTerms)
{
  lw::caller::CallerPacket packet = MakeOpen(aOpenId);
  packet.mutable_open()->set_client("partner");
  packet.mutable_open()->set_terms(aTerms);
  const Requests::Effects effects = aNode.Caller(packet);
  lw::caller::EntryPacket answer;
  CHECK_TRUE(effects.mToCallers.size() == 1);
  CHECK_TRUE(answer.ParseFromString(effects.mToCallers.at(0).mPayload) && answer.has_opened());
  return answer.opened().terms();
}

/// \return the share of the client in the policy of the only upstream.
uint32_t
ShareInPolicy(Node& aNode)
{
  aNode.Caller(MakeRequest(Open(aNode, 900), 1));
  const auto& queues = aNode.mState.mQueues;
  CHECK_TRUE(queues.size() == 1 && queues.begin()->second.mPolicy.mClients.size() == 1);
  return queues.begin()->second.mPolicy.mClients.at(0).mSharePermille;
}

} // namespace

TEST_GROUP(ClientTerms)
{
  Node mNode{ 1 };
  void setup() override
  {
    mNode.mSettings.mTermsKey = "0123456789abcdef";
    ConfigureClient(mNode);
  }
};

// Guards against renewed terms that are stored but not applied to the scheduler policy.
TEST(ClientTerms, ShareGrowsAfterATermInGoodStanding)
{
  const std::string first = OpenWithTerms(mNode, 1, "");
  CHECK_FALSE(first.empty());
  UNSIGNED_LONGS_EQUAL(100, ShareInPolicy(mNode));
  mNode.mWallNow = Terms::WallSeconds(mNode.mWallNow.mValue + kTermSeconds);
  const std::string second = OpenWithTerms(mNode, 2, first);
  UNSIGNED_LONGS_EQUAL(150, ShareInPolicy(mNode));
  // Presenting the earlier record again does not lower the share.
  OpenWithTerms(mNode, 3, first);
  UNSIGNED_LONGS_EQUAL(150, ShareInPolicy(mNode));
}

// Guards against terms being lost when the owner of a client's flows fails.
TEST(ClientTerms, TermsSurviveTheLossOfTheInstance)
{
  const std::string first = OpenWithTerms(mNode, 1, "");
  mNode.mWallNow = Terms::WallSeconds(mNode.mWallNow.mValue + kTermSeconds);
  const std::string second = OpenWithTerms(mNode, 2, first);
  Node other{ 2 };
  other.mSettings.mTermsKey = mNode.mSettings.mTermsKey;
  other.mWallNow = mNode.mWallNow;
  ConfigureClient(other);
  OpenWithTerms(other, 1, second);
  UNSIGNED_LONGS_EQUAL(150, ShareInPolicy(other));
}

// Guards against accepting a forged record, and against storing terms for an unknown client.
TEST(ClientTerms, ForgedRecordGivesTheStartingTerms)
{
  std::string forged = OpenWithTerms(mNode, 1, "");
  forged[forged.size() / 2] = static_cast<char>(forged[forged.size() / 2] ^ 1);
  mNode.mWallNow = Terms::WallSeconds(mNode.mWallNow.mValue + kTermSeconds);
  OpenWithTerms(mNode, 2, forged);
  UNSIGNED_LONGS_EQUAL(100, ShareInPolicy(mNode));
  lw::caller::CallerPacket unnamed = MakeOpen(5);
  unnamed.mutable_open()->set_client("unknown");
  mNode.Caller(unnamed);
  UNSIGNED_LONGS_EQUAL(1, mNode.mState.mClients.size());
}

// Guards against memory growth when services are repeatedly deleted and created.
TEST(ClientTerms, ForgetsClientsOfGoneServices)
{
  OpenWithTerms(mNode, 1, "");
  auto service = std::make_shared<Config::ServiceView>(*mNode.mServices.mByAddress.begin()->second);
  service->mGeneration = Base::ServiceGeneration(9);
  mNode.mServices.mByAddress.begin()->second = service;
  mNode.mServices.mByName["counter"] = service;
  mNode.mView.mUpstreams[0].mGeneration = service->mGeneration;
  OpenWithTerms(mNode, 2, "");
  UNSIGNED_LONGS_EQUAL(1, mNode.mState.mClients.size());
  CHECK_TRUE(mNode.mState.mClients.begin()->first.mGeneration == service->mGeneration);
}

// Guards against raising the share of a client that floods its queue.
TEST(ClientTerms, ClientThatFillsItsQueueDoesNotGrow)
{
  const std::string first = OpenWithTerms(mNode, 1, "");
  Requests::KnownClient& known = mNode.mState.mClients.begin()->second;
  known.mRequests = 100;
  known.mRefused = 50;
  mNode.mWallNow = Terms::WallSeconds(mNode.mWallNow.mValue + kTermSeconds);
  const std::string second = OpenWithTerms(mNode, 2, first);
  UNSIGNED_LONGS_EQUAL(100, ShareInPolicy(mNode));
  mNode.mWallNow = Terms::WallSeconds(mNode.mWallNow.mValue + kTermSeconds);
  OpenWithTerms(mNode, 3, second);
  UNSIGNED_LONGS_EQUAL(150, ShareInPolicy(mNode));
}
