#include "fixture.h"

#include "base/random.h"

#include <google/protobuf/stubs/logging.h>

#include <CppUTest/TestHarness.h>

using namespace RequestsTest;

namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kIterations = 20000;

std::string
Corrupt(Base::RandomSource& aRandom, std::string aBytes)
{
  const uint64_t changes = Base::NextBelow(aRandom, 4);
  for (uint64_t i = 0; i < changes && !aBytes.empty(); ++i) {
    aBytes[Base::NextBelow(aRandom, aBytes.size())] = static_cast<char>(Base::NextRandom(aRandom));
  }
  if (Base::NextBelow(aRandom, 4) == 0) {
    aBytes.resize(Base::NextBelow(aRandom, aBytes.size() + 1));
  }
  return aBytes;
}

/// \return all payloads that a leaving node sends to its peers.
std::vector<std::string>
PeerPayloads(Node& aNode, const Node& aOther)
{
  const OpenedFlow flow = Open(aNode);
  aNode.Caller(MakeRequest(flow, 1));
  aNode.Caller(MakeCancel(flow, 2));
  aNode.SetMembers({ &aOther });
  aNode.Leave();
  std::vector<std::string> payloads;
  for (int i = 0; i < 30; ++i) {
    aNode.Advance(std::chrono::milliseconds(50));
    for (const Requests::ToPeer& packet : aNode.Tick().mToPeers) {
      payloads.push_back(packet.mPayload);
    }
  }
  return payloads;
}

} // namespace

TEST_GROUP(Decoders)
{
  // protobuf logs every corrupt text field.
  google::protobuf::LogSilencer mSilencer;
};

// Guards against crashes on corrupt caller packets, and against accepting a corrupt ticket.
TEST(Decoders, SurviveCorruptCallerPackets)
{
  Base::RandomSource random{ kSeed };
  Node node(1);
  const OpenedFlow flow = Open(node);
  const std::string valid = MakeRequest(flow, 1).SerializeAsString();
  for (int i = 0; i < kIterations; ++i) {
    const auto message =
      Requests::DecodeCallerPacket(node.mSettings.mTicketKey, kAddresses, Corrupt(random, valid));
    if (message.ok() && message->mPacket.has_request()) {
      CHECK_TRUE(message->mTicket.mFlow == Base::FlowNumber(flow.mFlow));
      Requests::HandleCallerMessage(node.mState, node.Context(), *message, kUpstream);
    }
  }
  CHECK_TRUE(node.mState.mFlows.mFlows.size() == 1);
}

// Guards against crashes and inconsistent state caused by corrupt peer messages.
TEST(Decoders, SurviveCorruptPeerPayloads)
{
  Base::RandomSource random{ kSeed };
  Node leaving(1);
  Node node(2);
  const std::vector<std::string> payloads = PeerPayloads(leaving, node);
  CHECK_TRUE(payloads.size() > 2);
  for (int i = 0; i < kIterations; ++i) {
    node.Peer(Corrupt(random, payloads[Base::NextBelow(random, payloads.size())]));
    node.Advance(std::chrono::milliseconds(1));
    if (i % 50 == 0) {
      node.Tick();
    }
  }
  for (const auto& [number, flow] : node.mState.mFlows.mFlows) {
    CHECK_TRUE(flow.mWindow.mEntries.size() <= Requests::kWindowSize);
  }
}

// Guards against crashes on corrupt packets of an upstream, and against exceeding the answer memory
// limit.
TEST(Decoders, SurviveCorruptUpstreamPackets)
{
  Base::RandomSource random{ kSeed };
  Node node(1);
  const OpenedFlow flow = Open(node);
  const auto works = DispatchedWork(node.Caller(MakeRequest(flow, 1)));
  const std::string valid = MakePiece(works.at(0).id(), 1, 3, "piece").SerializeAsString();
  for (int i = 0; i < kIterations; ++i) {
    lw::upstream::FromUpstream packet;
    if (packet.ParseFromString(Corrupt(random, valid))) {
      node.Upstream(packet);
    }
    CHECK_TRUE(node.mState.mAssemblyBytes <= node.mLimits.mMaxAnswerBytes);
  }
}
