#include "controlcluster.h"

#include "feed.pb.h"

#include <future>
#include <optional>
#include <vector>
#include <zmq.hpp>

#include <CppUTest/TestHarness.h>

namespace {

constexpr int kReportWindowSeconds = 2;

lw::config::Change
MakeChange(uint64_t aBase, uint64_t aRequest)
{
  lw::config::Change change;
  change.set_base_version(aBase);
  change.set_operator_id("tester");
  change.set_request_number(aRequest);
  return change;
}

lw::config::Change
Put(uint64_t aBase, uint64_t aRequest, const std::string& aName)
{
  lw::config::Change change = MakeChange(aBase, aRequest);
  change.mutable_put_service()->set_name(aName);
  change.mutable_put_service()->set_address("192.0.2.1:4000");
  change.mutable_put_service()->set_kind(lw::config::OPAQUE);
  return change;
}

} // namespace

TEST_GROUP(Feed)
{
  ControlCluster mCluster{ 3, kReportWindowSeconds };
  zmq::context_t mContext;

  void setup() override
  {
    CHECK_TRUE(mCluster.WaitForLeader() != 0);
  }

  std::optional<lw::feed::PullReply> Pull(
    uint32_t aInstance, uint64_t aAfter, uint32_t aWaitMs, uint64_t aReporter)
  {
    zmq::socket_t socket(mContext, zmq::socket_type::req);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::rcvtimeo, 5000);
    socket.connect(mCluster.FeedAddress(aInstance));
    lw::feed::PullRequest request;
    request.set_after_version(aAfter);
    request.set_wait_ms(aWaitMs);
    lw::feed::InstanceReport* report = request.add_reports();
    report->set_instance(aReporter);
    report->set_version_in_force(aAfter);
    socket.send(zmq::buffer(request.SerializeAsString()), zmq::send_flags::none);
    zmq::message_t bytes;
    lw::feed::PullReply reply;
    if (!socket.recv(bytes) ||
        !reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
      return std::nullopt;
    }
    return reply;
  }

  void MustAccept(const lw::config::Change& aChange, uint64_t aVersion)
  {
    uint64_t version = 0;
    const grpc::Status status = mCluster.ApplyUntilKnown(aChange, version);
    CHECK_TRUE_TEXT(status.ok(), status.error_message().c_str());
    LONGS_EQUAL(aVersion, version);
  }
};

// Guards against followers that miss a change or receive it late. Each control instance must answer
// a waiting pull request with the change before the wait time ends.
TEST(Feed, EachInstanceAnswersAWaitingPullWithTheChange)
{
  constexpr uint32_t kWaitMs = 4500;
  MustAccept(Put(0, 1, "a"), 1);
  std::vector<std::future<std::optional<lw::feed::PullReply>>> replies;
  for (uint32_t instance = 1; instance <= 3; ++instance) {
    CHECK_TRUE(ControlCluster::WaitUntil([&] { return mCluster.Status(instance).version() == 1; },
                                         std::chrono::seconds(10)));
    replies.push_back(std::async(
      std::launch::async, [this, instance] { return Pull(instance, 1, kWaitMs, instance); }));
  }
  const auto start = std::chrono::steady_clock::now();
  MustAccept(Put(1, 2, "a"), 2);
  for (auto& future : replies) {
    const auto reply = future.get();
    CHECK_TRUE(reply.has_value());
    LONGS_EQUAL(1, reply->revisions_size());
    LONGS_EQUAL(2, reply->revisions(0).version());
  }
  CHECK_TRUE(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(kWaitMs));
}

// Guards against reusing an address while an instance still has the removed service, and against
// never releasing it. The instance that is behind reports to a control instance other than the
// leader.
TEST(Feed, ReleasesARetiredAddressOnceTheRemovalIsInForceEverywhere)
{
  MustAccept(Put(0, 1, "a"), 1);
  lw::config::Change removal = MakeChange(1, 2);
  removal.set_delete_service("a");
  MustAccept(removal, 2);
  const uint32_t follower = mCluster.WaitForLeader() % 3 + 1;
  const bool early = ControlCluster::WaitUntil(
    [&] {
      Pull(follower, 1, 0, 10);
      Pull(follower, 2, 0, 11);
      return mCluster.Status(follower).version() > 2;
    },
    std::chrono::seconds(2 * kReportWindowSeconds));
  CHECK_FALSE(early);
  uint64_t version = 0;
  LONGS_EQUAL(grpc::StatusCode::FAILED_PRECONDITION,
              mCluster.ApplyUntilKnown(Put(2, 3, "b"), version).error_code());
  CHECK_TRUE(ControlCluster::WaitUntil(
    [&] {
      Pull(follower, 2, 0, 10);
      return mCluster.ReadFromLeader().retired_addresses_size() == 0;
    },
    std::chrono::seconds(10)));
  // The feed contains the release, so that followers accept the address too.
  const auto reply = Pull(follower, 2, 4000, 10);
  CHECK_TRUE(reply.has_value());
  CHECK_TRUE(reply->revisions(0).change().has_release_addresses());
  MustAccept(Put(3, 4, "b"), 4);
}
