#include "floodchecks.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(ClientFloodTag){};

// Guards against a flooding client that degrades the goodput or latency of other clients on hosts
// with two slots.
TEST(ClientFloodTag, DoesNotAffectOtherClients)
{
  CheckFloodTargets("tag", FloodSource::OneClient);
}
