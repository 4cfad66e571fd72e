#include "floodchecks.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(ClientFloodTag){};

// Guards against one client that takes goodput or latency from the others on hosts with two slots.
TEST(ClientFloodTag, LeavesOtherClients)
{
  CheckFloodTargets("tag", FloodOf::OneClient);
}
